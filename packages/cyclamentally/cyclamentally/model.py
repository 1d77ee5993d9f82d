"""Data that messages between nodes carry."""

from cyclamentally.records import Record


class Upstream(Record):
    """An announced upstream.

    Parameters
    ----------
    service : str
        Service that the upstream serves.
    profile : str
        Profile that the service follows.
    address : str
        ``IP:port`` of its HTTP server.
    slots : int
        Requests that it executes at once.
    connections : int
        Connections that it accepts.
    draining : bool
        Whether it takes no new work.
    """

    __slots__ = ("service", "profile", "address", "slots", "connections", "draining")

    def __init__(
        self,
        service: str,
        profile: str,
        address: str,
        slots: int,
        connections: int,
        draining: bool,
    ):
        self.service = service
        self.profile = profile
        self.address = address
        self.slots = slots
        self.connections = connections
        self.draining = draining


class MemberRecord(Record):
    """What the nodes know of one node.

    Parameters
    ----------
    node : str
        Identifier, unique in the fleet.
    incarnation : int
        Raised by the node itself at each change of its record.
    status : str
        ``alive``, ``suspect``, ``dead`` or ``left``.
    domain : str
        Failure domain.
    region : str
        Region of the failure domain.
    address : str
        Peer address, ``IP:port``.
    upstreams : list of Upstream
        Upstreams that run on its host.
    started_ms : int
        Start of the process, in ms since the epoch.
    """

    __slots__ = (
        "node",
        "incarnation",
        "status",
        "domain",
        "region",
        "address",
        "upstreams",
        "started_ms",
    )

    def __init__(
        self,
        node: str,
        incarnation: int,
        status: str,
        domain: str,
        region: str,
        address: str,
        upstreams: list[Upstream],
        started_ms: int,
    ):
        self.node = node
        self.incarnation = incarnation
        self.status = status
        self.domain = domain
        self.region = region
        self.address = address
        self.upstreams = upstreams
        self.started_ms = started_ms


class Change(Record):
    """One version of a profile on the wire.

    Parameters
    ----------
    name : str
        Profile.
    version : int
        Version of the profile.
    base : int
        Version that a delta applies to; 0 for a whole body.
    deleted : bool
        Whether the version is a tombstone.
    body : bytes
        Compressed delta or compressed whole body.
    digest : int
        Hash of the whole body.
    """

    __slots__ = (
        "name",
        "version",
        "base",
        "deleted",
        "body",
        "digest",
    )

    def __init__(
        self,
        name: str,
        version: int,
        base: int,
        deleted: bool,
        body: bytes,
        digest: int,
    ):
        self.name = name
        self.version = version
        self.base = base
        self.deleted = deleted
        self.body = body
        self.digest = digest


class RefusedVersion(Record):
    """A profile version that a node has refused, with the reason."""

    __slots__ = ("name", "version", "reason")

    def __init__(self, name: str, version: int, reason: str):
        self.name = name
        self.version = version
        self.reason = reason


class DomainStatus(Record):
    """How far the nodes of a failure domain have come.

    Parameters
    ----------
    domain : str
        Failure domain.
    region : str
        Its region.
    live : int
        Members alive.
    current : int
        Members whose versions equal the reporting relay's.
    behind : list of str
        Some members that differ.
    refused : list of RefusedVersion
        Versions that members refuse.
    names : list of str
        Profiles known to the relay.
    versions : list of int
        Installed version of each profile.
    stale_ms : int
        Time since new versions would have reached the relay, ms.
    """

    __slots__ = (
        "domain",
        "region",
        "live",
        "current",
        "behind",
        "refused",
        "names",
        "versions",
        "stale_ms",
    )

    def __init__(
        self,
        domain: str,
        region: str,
        live: int,
        current: int,
        behind: list[str],
        refused: list[RefusedVersion],
        names: list[str],
        versions: list[int],
        stale_ms: int,
    ):
        self.domain = domain
        self.region = region
        self.live = live
        self.current = current
        self.behind = behind
        self.refused = refused
        self.names = names
        self.versions = versions
        self.stale_ms = stale_ms


class StoredAnswer(Record):
    """An answer kept for resends of a keyed request.

    Parameters
    ----------
    status : str
        Code and reason.
    header_names, header_values : list of str
        Headers.
    body : bytes
        Whole body.
    """

    __slots__ = ("status", "header_names", "header_values", "body")

    def __init__(
        self,
        status: str,
        header_names: list[str],
        header_values: list[str],
        body: bytes,
    ):
        self.status = status
        self.header_names = header_names
        self.header_values = header_values
        self.body = body


class CrashMark(Record):
    """An upstream was lost while it ran a request.

    Parameters
    ----------
    fingerprint : int
        Hash of the request.
    address : str
        The upstream.
    is_repeat : bool
        Whether the request was sent after an earlier loss was known. Only
        then does it prove anything: upstreams lost together take popular
        requests with them.
    """

    __slots__ = ("fingerprint", "address", "is_repeat")

    def __init__(self, fingerprint: int, address: str, is_repeat: bool):
        self.fingerprint = fingerprint
        self.address = address
        self.is_repeat = is_repeat
