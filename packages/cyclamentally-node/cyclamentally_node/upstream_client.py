"""Send one attempt of a request to one upstream."""

from http.client import HTTPException
from select import select

from urllib3.exceptions import HTTPError

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally_node.exchange import (
    DEADLINE_HEADER,
    HOP_HEADERS,
    RAN_HEADER,
    RETRIED_HEADER,
    UpstreamAnswer,
)

BUFFER_BYTES = 256 * 1024
CHUNK_BYTES = 64 * 1024
CALLER_CHECK_S = 0.25
MS = 1_000
HTTP_UNAVAILABLE = 503
HTTP_TOO_MANY = 429


class UpstreamClient:
    """Send attempts through a pool of connections.

    Parameters
    ----------
    pool : ConnectionPool
        Connections.
    clock : callable
        Returns the time in seconds.
    """

    __slots__ = ("clock", "pool")

    def __init__(self, pool, clock):
        self.pool = pool
        self.clock = clock

    def send(self, request, address, deadline, is_caller_gone):
        """Send a request and read the answer.

        Parameters
        ----------
        request : CallerRequest
            What to send.
        address : str
            ``IP:port`` of the upstream.
        deadline : float
            Time in seconds at which the attempt ends.
        is_caller_gone : callable
            Whether the caller has closed its connection.

        Returns
        -------
        Done or Refused
            ``Done`` holds an `UpstreamAnswer` whose body is whole or, if it
            is large, a stream that raises when it is cut off.
        """
        connection = self.pool.take(address)
        refusal = self._open(connection, address)
        if refusal is not None:
            return refusal
        try:
            return self._exchange(
                connection, request, address, deadline, is_caller_gone
            )
        except TimeoutError:
            connection.close()
            return Refused(Kind.UPSTREAM_TIMEOUT, f"{address}: no answer in time")
        except (HTTPError, HTTPException, OSError, ValueError) as error:
            connection.close()
            return Refused(Kind.UPSTREAM_FAILED, f"{address}: {error!r}"[:200])

    def _open(self, connection, address):
        if connection.sock is not None:
            return None
        try:
            connection.connect()
        except (HTTPError, OSError) as error:
            connection.close()
            detail = f"{address}: {error!r}"[:200]
            return Refused(Kind.UPSTREAM_UNREACHABLE, detail)
        return None

    def _exchange(self, connection, request, address, deadline, is_caller_gone):
        remaining = max(deadline - self.clock(), 0.001)
        connection.sock.settimeout(remaining)
        headers = dict(request.headers)
        headers[DEADLINE_HEADER] = str(int(remaining * MS))
        connection.request(
            request.method,
            request.target,
            body=request.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )
        refusal = self._await(connection, address, deadline, is_caller_gone)
        if refusal is not None:
            connection.close()
            return refusal
        response = connection.getresponse()
        if not _has_end(request, response):
            connection.close()
            detail = f"{address}: the answer has no length, so it may be cut"
            return Refused(Kind.UPSTREAM_TRUNCATED, detail)
        return self._read(connection, response, address)

    def _await(self, connection, address, deadline, is_caller_gone):
        """Wait for the first byte; look after the caller while waiting."""
        while True:
            remaining = deadline - self.clock()
            if remaining <= 0:
                return Refused(Kind.UPSTREAM_TIMEOUT, f"{address}: no answer in time")
            wait = min(remaining, CALLER_CHECK_S)
            readable, _, _ = select([connection.sock], [], [], wait)
            if readable:
                return None
            if is_caller_gone():
                return Refused(Kind.CANCELLED, "the caller has gone")

    def _read(self, connection, response, address):
        headers = [
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_HEADERS
        ]
        status = f"{response.status} {response.reason or 'Unknown'}"
        refusal = _shed(response, address)
        length = response.headers.get("Content-Length")
        if refusal is None and length and int(length) > BUFFER_BYTES:
            headers.append(("Content-Length", length))
            stream = self._stream(connection, response, address)
            return Done(UpstreamAnswer(status, headers, stream))
        first = self._read_some(response)
        if isinstance(first, Refused):
            connection.close()
            return Refused(first.kind, f"{address}: {first.detail}")
        if len(first) > BUFFER_BYTES:
            stream = self._stream(connection, response, address, first)
            return Done(UpstreamAnswer(status, headers, stream))
        self._release(connection, response, address)
        if refusal is not None:
            return refusal
        headers.append(("Content-Length", length or str(len(first))))
        return Done(UpstreamAnswer(status, headers, [first]))

    def _read_some(self, response):
        try:
            body = response.read(BUFFER_BYTES + 1)
            # Only a read at the end tells a short body from a whole one.
            return body + response.read(1)
        except HTTPError as error:
            return Refused(Kind.UPSTREAM_TRUNCATED, repr(error)[:200])

    def _stream(self, connection, response, address, first=b""):
        """Yield a large body; an error ends the caller's connection early."""
        is_whole = False
        try:
            if first:
                yield first
            yield from response.stream(CHUNK_BYTES)
            is_whole = True
        finally:
            if is_whole:
                self._release(connection, response, address)
            else:
                connection.close()

    def _release(self, connection, response, address):
        is_kept = response.headers.get("Connection", "").lower() != "close"
        if is_kept and response.version == HTTP_11:
            self.pool.give(address, connection)
        else:
            connection.close()


HTTP_11 = 11
STATUSES_WITHOUT_BODY = (204, 304)


def _has_end(request, response):
    """Return whether the end of the answer can be told from a cut."""
    if request.method == "HEAD" or response.status in STATUSES_WITHOUT_BODY:
        return True
    return "Content-Length" in response.headers or response.chunked


def _shed(response, address):
    """Return a refusal if the upstream states that it did not run the request."""
    if response.status not in (HTTP_UNAVAILABLE, HTTP_TOO_MANY):
        return None
    if response.headers.get(RAN_HEADER) != "no":
        return None
    is_final = RETRIED_HEADER in response.headers
    detail = f"{address} sheds load"
    return Refused(Kind.UPSTREAM_OVERLOADED, detail, is_final=is_final)
