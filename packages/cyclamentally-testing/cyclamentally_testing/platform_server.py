"""HTTP server of the platform stand-in.

Faults are set through ``PUT /fault?up=0|1&delay_ms=N&lose_answers=N``.
"""

from base64 import b64encode
from threading import Event
from time import monotonic
from urllib.parse import parse_qs

from msgspec.json import encode

from cyclamentally.records import Record
from cyclamentally_node.http_server import HttpServer
from cyclamentally_testing.key_values import KeyValues

MAX_VALUE_BYTES = 2_000_000
THREADS = 256


class Faults(Record):
    """Injected faults of the stand-in.

    Parameters
    ----------
    up : bool
        Whether calls are served.
    delay_s : float
        Delay of every call in seconds.
    lose_answers : int
        Number of writes that are carried out and answered with 504.
    """

    __slots__ = ("up", "delay_s", "lose_answers")

    def __init__(self):
        self.up = True
        self.delay_s = 0.0
        self.lose_answers = 0


class PlatformServer:
    """Serves a `KeyValues` by HTTP.

    Parameters
    ----------
    host : str
        IP number to listen on.
    port : int
        Port; 0 lets the system choose.
    """

    __slots__ = ("calls", "faults", "keys", "pause", "server", "started")

    def __init__(self, host="127.0.0.1", port=0):
        self.keys = KeyValues()
        self.faults = Faults()
        self.calls = {}
        self.pause = Event()
        self.started = monotonic()
        address = f"{host}:{port}"
        self.server = HttpServer(self, address, THREADS, MAX_VALUE_BYTES)

    @property
    def url(self):
        """Base address of the server."""
        return f"http://127.0.0.1:{self.server.port}"

    def start(self):
        """Start to serve."""
        self.server.start()

    def close(self):
        """Stop serving."""
        self.server.close()

    def __call__(self, environ, start_response):
        """Answer a WSGI request."""
        path = environ["PATH_INFO"]
        query = parse_qs(environ["QUERY_STRING"])
        if path == "/fault":
            return self._set_faults(query, start_response)
        if path == "/calls":
            return _answer(start_response, "200 OK", self.calls)
        kind = path.split("/")[2] if path.startswith("/v1/") else "other"
        self.calls[kind] = self.calls.get(kind, 0) + 1
        if self.faults.delay_s:
            self.pause.wait(self.faults.delay_s)
        if not self.faults.up:
            return _answer(start_response, "503 Service Unavailable", {})
        return self._serve(kind, path, query, environ, start_response)

    def _serve(self, kind, path, query, environ, start_response):
        key = path.removeprefix(f"/v1/{kind}/")
        if kind == "key" and environ["REQUEST_METHOD"] == "PUT":
            return self._write(key, query, environ, start_response)
        if kind == "key":
            return _answer(start_response, "200 OK", _entry(self.keys.read(key)))
        if kind == "keys":
            listing = self.keys.read_all(key)
        elif kind == "watch":
            wait = float(query["wait"][0])
            listing = self.keys.watch(key, int(query["cursor"][0]), wait)
        else:
            return _answer(start_response, "404 Not Found", {})
        document = {
            "entries": [_entry(entry) for entry in listing.entries],
            "cursor": listing.cursor,
        }
        return _answer(start_response, "200 OK", document)

    def _write(self, key, query, environ, start_response):
        value = environ["wsgi.input"].read()
        if len(value) > MAX_VALUE_BYTES:
            return _answer(start_response, "413 Content Too Large", {})
        revision = self.keys.write(key, value, int(query["revision"][0]))
        if revision is None:
            return _answer(start_response, "409 Conflict", {})
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return _answer(start_response, "504 Gateway Timeout", {})
        return _answer(start_response, "200 OK", {"revision": revision})

    def _set_faults(self, query, start_response):
        if "up" in query:
            self.faults.up = query["up"][0] == "1"
        if "delay_ms" in query:
            self.faults.delay_s = int(query["delay_ms"][0]) / 1_000
        if "lose_answers" in query:
            self.faults.lose_answers = int(query["lose_answers"][0])
        return _answer(start_response, "200 OK", {})


def _entry(entry):
    return {
        "key": entry.key,
        "value": b64encode(entry.value).decode(),
        "revision": entry.revision,
    }


def _answer(start_response, status, document):
    body = encode(document)
    start_response(status, [("Content-Length", str(len(body)))])
    return [body]


def main():
    """Run the stand-in; the port is the only argument."""
    import sys

    server = PlatformServer(port=int(sys.argv[1]))
    server.start()
    server.server.thread.join()


if __name__ == "__main__":
    main()
