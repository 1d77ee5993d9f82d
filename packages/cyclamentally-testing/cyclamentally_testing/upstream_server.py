"""Stand-in for an upstream that announces itself to the node on its host.

Request headers choose its behaviour: ``X-Work-Ms`` (duration of the work),
``X-Size`` (bytes of padding in the answer) and ``X-Fail`` (``crash``, ``truncate``,
``shed``). It records every executed request for ``GET /record``.
"""

import os
import sys
from threading import Event, Lock, Thread
from urllib.parse import parse_qs

from msgspec.json import decode, encode
from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from cyclamentally.records import Record
from cyclamentally_node.http_server import HttpServer

ANNOUNCE_PERIOD_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0
THREADS = 16
CRASH_EXIT_CODE = 70
MAX_BODY_BYTES = 10_000_000


class Behaviour(Record):
    """Injected faults that affect every request.

    Parameters
    ----------
    slow_ms : int
        Time added to every request, ms.
    is_shedding : bool
        Whether it sheds every request.
    shed_count : int
        Requests shed so far, for any reason.
    """

    __slots__ = ("slow_ms", "is_shedding", "shed_count")

    def __init__(self):
        self.slow_ms = 0
        self.is_shedding = False
        self.shed_count = 0


class UpstreamServer:
    """Serves requests and announces the service.

    Parameters
    ----------
    service, profile : str
        Service and the profile that it follows.
    port : int
        Port; 0 lets the system choose.
    admin : str
        Admin address of the node on the host, ``IP:port``.
    slots : int
        Requests that it executes concurrently; more are shed.
    """

    __slots__ = (
        "admin",
        "behaviour",
        "busy",
        "closed",
        "draining",
        "executed",
        "lock",
        "pool",
        "profile",
        "server",
        "service",
        "slots",
    )

    def __init__(self, service, profile, port, admin, slots=10):
        self.service = service
        self.profile = profile
        self.admin = admin
        self.slots = slots
        self.busy = 0
        self.behaviour = Behaviour()
        self.draining = False
        self.executed = {}
        self.lock = Lock()
        self.closed = Event()
        self.pool = PoolManager(retries=False)
        self.server = HttpServer(self, f"127.0.0.1:{port}", THREADS, MAX_BODY_BYTES)

    @property
    def address(self):
        """``IP:port`` of the server."""
        return f"127.0.0.1:{self.server.port}"

    def start(self):
        """Start to announce and to serve."""
        Thread(target=self._announce_forever, daemon=True).start()
        self.server.start()

    def close(self):
        """Stop announcing and serving."""
        self.closed.set()
        self.server.close()

    def announce(self):
        """Announce the upstream once."""
        body = encode(
            {
                "service": self.service,
                "profile": self.profile,
                "slots": self.slots,
                "connections": 12 * self.slots,
                "draining": self.draining,
            }
        )
        url = f"http://{self.admin}/upstreams/{self.address}"
        try:
            self.pool.request("PUT", url, body=body, timeout=ANNOUNCE_TIMEOUT_S)
        except HTTPError:
            return False
        return True

    def _announce_forever(self):
        while not self.closed.is_set():
            self.announce()
            self.closed.wait(ANNOUNCE_PERIOD_S)

    def __call__(self, environ, start_response):
        """Answer a WSGI request."""
        path = environ["PATH_INFO"]
        if path == "/record":
            return _answer(start_response, encode(self.executed))
        if path == "/drain":
            self.draining = True
            self.announce()
            return _answer(start_response, b"{}")
        if path == "/behave":
            return self._behave(environ, start_response)
        with self.lock:
            if self._must_shed(environ):
                self.behaviour.shed_count += 1
                return _shed(start_response)
            self.busy += 1
        try:
            return self._execute(environ, start_response)
        finally:
            with self.lock:
                self.busy -= 1

    def _behave(self, environ, start_response):
        """Set faults from the query and return those in force."""
        query = parse_qs(environ["QUERY_STRING"])
        behaviour = self.behaviour
        if "slow_ms" in query:
            behaviour.slow_ms = int(query["slow_ms"][0])
        if "shed" in query:
            behaviour.is_shedding = query["shed"][0] == "1"
        document = {"slow_ms": behaviour.slow_ms, "shed": behaviour.shed_count}
        return _answer(start_response, encode(document))

    def _must_shed(self, environ):
        if self.behaviour.is_shedding or environ.get("HTTP_X_FAIL") == "shed":
            return True
        return self.busy >= self.slots

    def _execute(self, environ, start_response):
        body = environ["wsgi.input"].read()
        token = environ.get("HTTP_X_TOKEN", "")
        with self.lock:
            self.executed[token] = self.executed.get(token, 0) + 1
        # The soak counts executions by these lines, which outlive the process.
        print(f"ran {token}", flush=True)
        fault = environ.get("HTTP_X_FAIL", "")
        if fault == "crash":
            os._exit(CRASH_EXIT_CODE)
        work_ms = float(environ.get("HTTP_X_WORK_MS", 0)) + self.behaviour.slow_ms
        if work_ms:
            self.closed.wait(work_ms / 1_000)
        size = int(environ.get("HTTP_X_SIZE", 0))
        document = {
            "service": self.service,
            "token": token,
            "received": len(body),
            "padding": "x" * size,
        }
        answer = encode(document)
        if fault == "truncate":
            start_response("200 OK", [("Content-Length", str(len(answer) + 10))])
            return [answer]
        return _answer(start_response, answer)


def _answer(start_response, body):
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


def _shed(start_response):
    headers = [("Content-Length", "0"), ("Cyclamentally-Ran", "no")]
    start_response("503 Service Unavailable", headers)
    return [b""]


def main():
    """Run the stand-in; arguments: service, profile, port, admin, slots."""
    service, profile, port, admin, slots = sys.argv[1:]
    server = UpstreamServer(service, profile, int(port), admin, int(slots))
    server.start()
    server.server.thread.join()


def read_record(pool, address):
    """Return how often each token was executed by an upstream."""
    response = pool.request("GET", f"http://{address}/record", timeout=2.0)
    return decode(response.data)


if __name__ == "__main__":
    main()
