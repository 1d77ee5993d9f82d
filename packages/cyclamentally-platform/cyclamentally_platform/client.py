"""HTTP client of the platform's key-value store."""

from base64 import b64decode

from msgspec import DecodeError
from msgspec.json import decode
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.platform import Entry, Listing, Platform

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
CONNECT_TIMEOUT_S = 1.0


class HttpPlatform(Platform):
    """Client of the platform's store over HTTP and JSON.

    Parameters
    ----------
    url : str
        Base URL, such as ``http://10.0.0.1:7000``.
    timeout : float
        Timeout of a call in seconds; that of a watch is longer by its wait.
    count_bytes : callable, optional
        Takes the numbers of body bytes sent and received by a call.
    """

    __slots__ = ("count_bytes", "pool", "timeout", "url")

    def __init__(self, url, timeout, count_bytes=None):
        self.url = url.rstrip("/")
        self.timeout = timeout
        self.count_bytes = count_bytes
        self.pool = PoolManager(maxsize=1, retries=False)

    def read(self, key):
        """Read one key."""
        return self._call("GET", f"/v1/key/{key}", self.timeout, _decode_entry)

    def read_all(self, prefix):
        """Read all keys below a prefix."""
        return self._call("GET", f"/v1/keys/{prefix}", self.timeout, _decode_listing)

    def watch(self, prefix, cursor, wait):
        """Wait for changes below a prefix."""
        path = f"/v1/watch/{prefix}?cursor={cursor}&wait={wait}"
        return self._call("GET", path, self.timeout + wait, _decode_listing)

    def write(self, key, value, revision):
        """Compare-and-swap one key."""
        path = f"/v1/key/{key}?revision={revision}"
        return self._call("PUT", path, self.timeout, _decode_revision, value)

    def close(self):
        """Close all connections."""
        self.pool.clear()

    def _call(self, method, path, timeout, decode_body, body=None):
        limits = Timeout(connect=CONNECT_TIMEOUT_S, read=timeout)
        is_write = method == "PUT"
        try:
            response = self.pool.request(
                method, self.url + path, body=body, timeout=limits
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return Refused(Kind.PLATFORM_UNAVAILABLE, str(error)[:200])
        except HTTPError as error:
            kind = Kind.PLATFORM_UNAVAILABLE
            if is_write:
                kind = Kind.PLATFORM_OUTCOME_UNKNOWN
            return Refused(kind, str(error)[:200])
        if self.count_bytes is not None:
            self.count_bytes(len(body or b""), len(response.data))
        return _decode_response(response, decode_body, is_write)


def _decode_response(response, decode_body, is_write):
    if response.status == HTTP_CONFLICT:
        return Refused(Kind.VERSION_CONFLICT, "the revision of the key has changed")
    if response.status != HTTP_OK:
        detail = f"platform: HTTP status {response.status}"
        # A gateway may answer with an error although the write took effect.
        kind = Kind.PLATFORM_UNAVAILABLE
        if is_write and response.status != HTTP_UNAVAILABLE:
            kind = Kind.PLATFORM_OUTCOME_UNKNOWN
        return Refused(kind, detail)
    try:
        return Done(decode_body(decode(response.data)))
    except (DecodeError, KeyError, TypeError, ValueError, RecursionError) as error:
        kind = Kind.PLATFORM_UNAVAILABLE
        if is_write:
            kind = Kind.PLATFORM_OUTCOME_UNKNOWN
        return Refused(kind, f"platform: malformed answer: {error!r}"[:200])


def _decode_entry(document):
    value = b64decode(document["value"])
    return Entry(str(document["key"]), value, int(document["revision"]))


def _decode_listing(document):
    entries = [_decode_entry(entry) for entry in document["entries"]]
    return Listing(entries, int(document["cursor"]))


def _decode_revision(document):
    return int(document["revision"])
