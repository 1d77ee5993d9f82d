"""HTTP/1.1 messages: parsing with httptools, encoding, and header forwarding."""

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
)

from cyclamentally_calls.body_buffer import BodyBuffer

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
STATUSES_WITHOUT_BODY = (204, 304)
# Framing of the smallest chunks, with one byte each, is this much of their body.
MAX_FRAMING_RATIO = 6
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class Request:
    """A complete HTTP request.

    Parameters
    ----------
    method, target : bytes
        Method, and path with query as received.
    headers : list
        Pairs of name and value as received, in order.
    body : bytes
        Complete body.
    has_body : bool
        Whether the headers announce a body, even an empty one.
    keep_alive : bool
        Whether the client keeps the connection alive.
    """

    __slots__ = (
        "body",
        "has_body",
        "headers",
        "index",
        "keep_alive",
        "method",
        "target",
    )

    def __init__(self, method, target, headers, body, has_body, keep_alive):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.has_body = has_body
        self.keep_alive = keep_alive
        self.index = {name.lower(): value for name, value in headers}

    def find(self, name, default=b""):
        """Return the value of a header by its name in lower case."""
        return self.index.get(name, default)


class Response:
    """A complete HTTP response.

    Parameters
    ----------
    status : int
        Status code.
    headers : list
        Pairs of name and value, in order.
    body : bytes
        Complete body.
    keep_alive : bool
        Whether the connection may be reused.
    length : int, optional
        Content length in the received headers; needed for a response to HEAD.
    """

    __slots__ = ("body", "headers", "index", "keep_alive", "length", "status")

    def __init__(self, status, headers, body, keep_alive=True, length=None):
        self.length = length
        self.status = status
        self.headers = headers
        self.body = body
        self.keep_alive = keep_alive
        self.index = {name.lower(): value for name, value in headers}

    def find(self, name, default=b""):
        """Return the value of a header by its name in lower case."""
        return self.index.get(name, default)


class RequestParser:
    """Parse the requests of one connection.

    Parameters
    ----------
    sink : object
        Has ``on_request(request)`` and ``on_head(length, expects_continue)``; the
        length is that of the body, None for a chunked one.
    """

    __slots__ = (
        "body",
        "error",
        "head_bytes",
        "headers",
        "in_body",
        "in_message",
        "parser",
        "raw_bytes",
        "read_bytes",
        "sink",
        "target",
    )

    def __init__(self, sink):
        self.sink = sink
        self.parser = HttpRequestParser(self)
        self.body = BodyBuffer()
        self.in_message = False
        self.in_body = False
        self.error = ""
        # Bytes of the present message. Where it began in the same read as another
        # one ended, that read does not count.
        self.raw_bytes = 0
        self.read_bytes = 0
        self._reset()

    def feed(self, data):
        """Parse bytes; returns False from the first protocol error on."""
        if self.error:
            return False
        self.raw_bytes += len(data)
        self.read_bytes = len(data)
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade:
            self.error = "protocol upgrades are not supported"
        except HttpParserError as error:
            self.error = str(error)
        return not self.error

    def unparsed_bytes(self):
        """Return the bytes of the present message that are no part of its body.

        They hold a header line that has no end yet, trailers and framing.
        """
        framing = MAX_FRAMING_RATIO * self.body.size
        return max(0, self.raw_bytes - self.body.size - framing)

    def on_message_begin(self):
        """Start a request."""
        self._reset()
        self.raw_bytes = self.read_bytes
        self.in_message = True

    def on_url(self, part):
        """Add a part of the request target."""
        self.target += part
        self.head_bytes += len(part)

    def on_header(self, name, value):
        """Add a header; trailers are dropped."""
        self.head_bytes += len(name) + len(value)
        if not self.in_body:
            self.headers.append((name, value))

    def on_headers_complete(self):
        """Report the end of the head to the sink."""
        self.in_body = True
        index = {name.lower(): value for name, value in self.headers}
        is_chunked = b"transfer-encoding" in index
        length = None if is_chunked else int(index.get(b"content-length", 0))
        self.sink.on_head(length, b"expect" in index)

    def on_body(self, part):
        """Add a part of the body."""
        self.body.add(part)

    def on_message_complete(self):
        """Pass the request to the sink."""
        self.in_message = False
        self.in_body = False
        names = {name.lower() for name, _ in self.headers}
        has_body = b"content-length" in names or b"transfer-encoding" in names
        request = Request(
            self.parser.get_method(),
            self.target,
            self.headers,
            self.body.take(),
            has_body,
            self.parser.should_keep_alive(),
        )
        self._reset()
        self.read_bytes = 0
        self.sink.on_request(request)

    def _reset(self):
        self.target = b""
        self.headers = []
        self.body.clear()
        self.head_bytes = 0
        self.in_body = False


def end_to_end_headers(headers, excluded):
    """Return the end-to-end headers that may be forwarded.

    Parameters
    ----------
    headers : list
        Pairs of name and value.
    excluded : frozenset of bytes
        Lower-case names of further headers to remove.
    """
    nominated = ()
    for name, value in headers:
        if name.lower() == b"connection":
            nominated = [token.strip().lower() for token in value.split(b",")]
    kept = []
    for pair in headers:
        name = pair[0].lower()
        if name in HOP_BY_HOP_HEADERS or name in excluded or name in nominated:
            continue
        kept.append(pair)
    return kept


def encode_request(method, target, headers, body, has_body):
    """Return the bytes of a request."""
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    _add_headers(parts, headers)
    if has_body or body:
        parts.append(b"Content-Length: %d\r\n" % len(body))
    parts += [b"\r\n", body]
    return b"".join(parts)


def encode_response(response, closes=False, is_head=False, keep_alive_s=None):
    """Return the bytes of a response.

    Parameters
    ----------
    response : Answer
        The response.
    closes : bool
        Whether the connection is closed after it.
    is_head : bool
        Whether the request was HEAD; the body is omitted.
    keep_alive_s : int, optional
        Idle timeout of the connection in seconds, for the ``Keep-Alive`` header.
    """
    reason = REASONS.get(response.status, b"Status")
    parts = [b"HTTP/1.1 %d %s\r\n" % (response.status, reason)]
    _add_headers(parts, response.headers)
    if response.status not in STATUSES_WITHOUT_BODY:
        has_named = is_head and response.length is not None
        length = response.length if has_named else len(response.body)
        parts.append(b"Content-Length: %d\r\n" % length)
    if closes:
        parts.append(b"Connection: close\r\n")
    elif keep_alive_s is not None:
        parts.append(b"Keep-Alive: timeout=%d\r\n" % keep_alive_s)
    parts.append(b"\r\n")
    if not is_head and response.status not in STATUSES_WITHOUT_BODY:
        parts.append(response.body)
    return b"".join(parts)


def _add_headers(parts, headers):
    for name, value in headers:
        parts += [name, b": ", value, b"\r\n"]
