"""Runs of repeated requests on the upstream of a host, and the calls that they make."""

# Separates the ID of a call from that of the request whose run has made it.
ID_SEPARATOR = "."


def find_run(call_id, running):
    """Return the ID of the innermost running request that has made a call, or None.

    Parameters
    ----------
    call_id : str
        ID of the call: the ID of the request whose run made it, a separator and
        a suffix. An ID of another form belongs to no run.
    running : container of str
        IDs of running requests.
    """
    end = call_id.rfind(ID_SEPARATOR)
    while end > 0:
        if call_id[:end] in running:
            return call_id[:end]
        end = call_id.rfind(ID_SEPARATOR, 0, end)
    return None


class RepeatedRuns:
    """IDs of the repeated requests that the upstream of this host runs.

    The calls of a repeated run have been made before by the first run. They load
    the service that they go to like repeats of their own, and count as such.
    """

    __slots__ = ("running",)

    def __init__(self):
        self.running = set()

    def update(self, request_id, is_running):
        """Note that the run of a repeated request starts or has ended."""
        if is_running:
            self.running.add(request_id)
        else:
            self.running.discard(request_id)

    def has_made(self, call_id):
        """Whether a repeated run, or a call of one, has made a call."""
        return find_run(call_id, self.running) is not None
