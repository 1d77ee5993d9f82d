"""Names of the headers exchanged with callers and upstreams."""


class HeaderName:
    """A header name as sent, and in lower case for look-ups."""

    __slots__ = ("lower", "text")

    def __init__(self, text):
        self.text = text.encode()
        self.lower = self.text.lower()


class HeaderNames:
    """Header names of a platform, defined by its adapter.

    Parameters
    ----------
    request_id : str
        Request ID, repeated in the response.
    deadline_ms : str
        Time left until the deadline, in milliseconds.
    signature : str
        Proof that the response comes from an upstream.
    expected_upstream : str
        Name of the only upstream that may run the request.
    not_run : str
        Present if the upstream has not run the request.
    calling_service : str
        Service on the host of the node that received the request.
    upstream_name : str
        Name of the upstream, in responses to liveness checks.
    upstream_load : str
        Numbers of running requests, waiting requests and slots, comma-separated.
    upstream_limit : str
        Requests a second that the upstream takes, a decimal number.
    upstream_leaving : str
        ``1`` if the upstream leaves.
    """

    __slots__ = (
        "calling_service",
        "deadline_ms",
        "expected_upstream",
        "not_run",
        "request_id",
        "signature",
        "upstream_leaving",
        "upstream_limit",
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
        upstream_limit,
        upstream_leaving,
    ):
        self.request_id = HeaderName(request_id)
        self.deadline_ms = HeaderName(deadline_ms)
        self.signature = HeaderName(signature)
        self.expected_upstream = HeaderName(expected_upstream)
        self.not_run = HeaderName(not_run)
        self.calling_service = HeaderName(calling_service)
        self.upstream_name = HeaderName(upstream_name)
        self.upstream_load = HeaderName(upstream_load)
        self.upstream_limit = HeaderName(upstream_limit)
        self.upstream_leaving = HeaderName(upstream_leaving)

    @property
    def set_by_node(self):
        """Lower-case names of headers that the node sets and callers may not."""
        return frozenset(
            (
                self.deadline_ms.lower,
                self.expected_upstream.lower,
                self.calling_service.lower,
            )
        )
