"""Baseline proxy: waitress and urllib3 without routing or admission control."""

import sys

from urllib3 import PoolManager
from waitress import create_server

THREADS = 16


class PassThrough:
    """Forwards every request to one upstream.

    Parameters
    ----------
    address : str
        ``IP:port`` of the upstream.
    """

    __slots__ = ("address", "pool")

    def __init__(self, address):
        self.address = address
        self.pool = PoolManager(retries=False, maxsize=THREADS)

    def __call__(self, environ, start_response):
        """Answer a WSGI request."""
        url = f"http://{self.address}{environ['PATH_INFO']}"
        body = environ["wsgi.input"].read()
        response = self.pool.request(environ["REQUEST_METHOD"], url, body=body)
        headers = [("Content-Length", str(len(response.data)))]
        start_response(f"{response.status} {response.reason}", headers)
        return [response.data]


def main():
    """Serve; arguments: port and address of the upstream."""
    port, address = sys.argv[1:]
    application = PassThrough(address)
    create_server(application, host="127.0.0.1", port=int(port), threads=THREADS).run()


if __name__ == "__main__":
    main()
