"""Effects that decision objects return for their owner to carry out."""

from cyclamentally.records import Record


class Send(Record):
    """Send a message to a node.

    Parameters
    ----------
    address : str
        Peer address, ``IP:port``.
    region : str
        Region of the receiver, for the byte counts by region pair.
    message : object
        One of the classes of `cyclamentally.messages`.
    """

    __slots__ = ("address", "message", "region")

    def __init__(self, address, region, message):
        self.address = address
        self.region = region
        self.message = message


class Count(Record):
    """Add to a counter.

    Parameters
    ----------
    name : str
        Name of the counter.
    label : str
        Value of the label, such as a reason or kind.
    amount : int
        Added value.
    message : str
        Class of the counted message, if the counter has that label.
    """

    __slots__ = ("name", "label", "amount", "message")

    def __init__(self, name, label="", amount=1, message=""):
        self.name = name
        self.label = label
        self.amount = amount
        self.message = message


class StateChanged(Record):
    """Log a change of state.

    Parameters
    ----------
    subject : str
        Object that changed, such as ``member node-3``.
    state : str
        The new state.
    detail : str
        Reason, in one line.
    """

    __slots__ = ("detail", "state", "subject")

    def __init__(self, subject, state, detail=""):
        self.subject = subject
        self.state = state
        self.detail = detail


class PeerMessageRefused(Record):
    """Log that a peer's message was refused.

    Parameters
    ----------
    sender : str
        The peer.
    detail : str
        Reason, in one line.
    """

    __slots__ = ("detail", "sender")

    def __init__(self, sender, detail):
        self.sender = sender
        self.detail = detail


class ConfigurationChanged(Record):
    """Routes or upstreams have changed."""

    __slots__ = ()


class WatchPlatform(Record):
    """Start or stop the watch on the platform's store.

    Parameters
    ----------
    active : bool
        Whether the watch should run.
    """

    __slots__ = ("active",)

    def __init__(self, active):
        self.active = active


class DeathRefuted(Record):
    """The node has refuted a record that declared it dead."""

    __slots__ = ()


class SuspectsChanged(Record):
    """The set of marked or quarantined requests has changed."""

    __slots__ = ()


class StartTimer(Record):
    """Run an event of the chart after a delay, in seconds."""

    __slots__ = ("event", "delay_s")

    def __init__(self, event, delay_s):
        self.event = event
        self.delay_s = delay_s
