"""Messages about requests that may end upstreams."""

from cyclamentally.records import Record
from cyclamentally_calls.call_events import NodeRequest


class UpstreamCrashed(Record):
    """The upstream of this host has ended, with a `CrashMark` of each suspect."""

    __slots__ = ("marks",)

    def __init__(self, marks):
        self.marks = marks


class SuspectAnswered(Record):
    """The upstream of this host has answered a marked request."""

    __slots__ = ("fingerprint",)

    def __init__(self, fingerprint):
        self.fingerprint = fingerprint


class SuspectsReplaced(Record):
    """The marked or the quarantined requests have changed, to these `Suspects`."""

    __slots__ = ("suspects",)

    def __init__(self, suspects):
        self.suspects = suspects


class MarksRequest(NodeRequest):
    """Another node has sent crash marks, and requests those of this one."""

    __slots__ = ()
