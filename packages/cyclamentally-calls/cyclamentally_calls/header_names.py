"""Names of the headers that the mesh shares with callers and upstreams."""


class HeaderName:
    """A header name as it is written, and in lower case for look-ups."""

    __slots__ = ("lower", "text")

    def __init__(self, text):
        self.text = text.encode()
        self.lower = self.text.lower()


class HeaderNames:
    """The names in use; the adapter of a platform gives its own.

    Parameters
    ----------
    request_id : str
        Identifier of one request, repeated in its answer.
    deadline_ms : str
        Milliseconds that the sender goes on waiting.
    signature : str
        Proof that an upstream made the answer.
    expected_upstream : str
        Upstream that alone may run the request.
    not_run : str
        Present where an upstream has not run the request.
    calling_service : str
        Service beside the node where the request arrived.
    upstream_name : str
        Identifier of the upstream, on answers to its liveness check.
    upstream_load : str
        Requests that run, that wait, and slots, separated by commas.
    """

    __slots__ = (
        "calling_service",
        "deadline_ms",
        "expected_upstream",
        "not_run",
        "request_id",
        "signature",
        "upstream_load",
        "upstream_name",
    )

    def __init__(
        self,
        request_id,
        deadline_ms,
        signature,
        expected_upstream,
        not_run,
        calling_service,
        upstream_name,
        upstream_load,
    ):
        self.request_id = HeaderName(request_id)
        self.deadline_ms = HeaderName(deadline_ms)
        self.signature = HeaderName(signature)
        self.expected_upstream = HeaderName(expected_upstream)
        self.not_run = HeaderName(not_run)
        self.calling_service = HeaderName(calling_service)
        self.upstream_name = HeaderName(upstream_name)
        self.upstream_load = HeaderName(upstream_load)

    @property
    def set_by_mesh(self):
        """Lower-case names that a caller cannot set."""
        return frozenset(
            (
                self.deadline_ms.lower,
                self.expected_upstream.lower,
                self.calling_service.lower,
            )
        )
