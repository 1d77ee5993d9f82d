"""Parser of HTTP/1.1 responses with limits for what a faulty server may send."""

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from cyclamentally_calls.body_buffer import BodyBuffer
from cyclamentally_calls.http_codec import MAX_FRAMING_RATIO, Response

FIRST_FINAL_STATUS = 200
# Bounds of what a message holds beside its body: bytes of the head or the trailers,
# number of header lines, and interim responses before the final one.
MAX_HEAD_BYTES = 32 * 1024
MAX_HEADER_LINES = 128
MAX_INTERIM_RESPONSES = 16


class ResponseParser:
    """Parse the responses of one connection.

    Parameters
    ----------
    sink : object
        Has ``on_response(response)``.
    """

    __slots__ = (
        "body",
        "declared_length",
        "error",
        "headers",
        "in_body",
        "in_message",
        "interim_count",
        "parser",
        "raw_bytes",
        "read_bytes",
        "sink",
    )

    def __init__(self, sink):
        self.sink = sink
        self.parser = HttpResponseParser(self)
        self.in_message = False
        self.headers = []
        self.body = BodyBuffer()
        self.in_body = False
        self.declared_length = None
        self.interim_count = 0
        # Bytes of the present message. Where it began in the same read as another
        # one ended, that read does not count.
        self.raw_bytes = 0
        self.read_bytes = 0
        self.error = ""

    @property
    def cost_bytes(self):
        """Bytes of the present body with its framing, which costs time to parse.

        0 before the first byte of the body.
        """
        return max(self.body.size, self.raw_bytes) if self.body.size else 0

    def feed(self, data):
        """Parse bytes; returns False from the first error on.

        Errors are those of the protocol, and heads, trailers, framing and numbers
        of interim responses beyond their limits.
        """
        if self.error:
            return False
        self.raw_bytes += len(data)
        self.read_bytes = len(data)
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            self.error = self.error or str(error) or "protocol upgrade"
        limit = MAX_HEAD_BYTES + (1 + MAX_FRAMING_RATIO) * self.body.size
        if self.in_message and self.raw_bytes > limit:
            self.error = self.error or "head, trailers or framing are too long"
        return not self.error

    def discard(self):
        """Free the memory of an unfinished response; nothing is parsed after it."""
        self.error = self.error or "connection was released"
        self.parser = None
        self.headers = []
        self.body.clear()

    def finish_at_close(self):
        """Complete a response that is delimited by the close of the connection.

        Returns whether there was one.
        """
        if not self.in_body or self.error:
            return False
        index = {name.lower() for name, _ in self.headers}
        if b"content-length" in index or b"transfer-encoding" in index:
            return False
        self._emit_response(keep_alive=False)
        return True

    def finish_head_response(self):
        """Complete the response to a HEAD request, which has no body."""
        if self.in_body and not self.error:
            self._emit_response(keep_alive=False)

    def on_message_begin(self):
        """Start a response."""
        self.in_message = True
        self.headers = []
        self.body.clear()
        self.in_body = False
        self.declared_length = None
        self.raw_bytes = self.read_bytes

    def on_header(self, name, value):
        """Add a header; trailers are dropped.

        Raises
        ------
        ValueError
            If there are too many, so that the parser stops at once.
        """
        if self.in_body:
            return
        if len(self.headers) >= MAX_HEADER_LINES:
            self.error = f"more than {MAX_HEADER_LINES} header lines"
            raise ValueError(self.error)
        self.headers.append((name, value))

    def on_headers_complete(self):
        """Start the body."""
        self.in_body = True
        for name, value in self.headers:
            if name.lower() == b"content-length" and value.isdigit():
                self.declared_length = int(value)

    def on_body(self, part):
        """Add a part of the body."""
        self.body.add(part)

    def on_message_complete(self):
        """Pass a final response to the sink; interim ones are dropped."""
        self._emit_response(self.parser.should_keep_alive())

    def _emit_response(self, keep_alive):
        self.in_body = False
        self.in_message = False
        self.read_bytes = 0
        status = self.parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self.interim_count += 1
            if self.interim_count > MAX_INTERIM_RESPONSES:
                self.error = f"more than {MAX_INTERIM_RESPONSES} interim responses"
                raise ValueError(self.error)
        else:
            self.interim_count = 0
            body = self.body.take()
            response = Response(status, self.headers, body, keep_alive)
            response.length = self.declared_length
            self.sink.on_response(response)
