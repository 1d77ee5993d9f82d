"""Data types carried by messages between nodes."""

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
        Requests that it can execute at the same time.
    connections : int
        Connections that it accepts at the same time.
    draining : bool
        Whether it accepts no new requests.
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
    """State of one node, as replicated between nodes.

    Parameters
    ----------
    node : str
        Identifier, unique in the fleet.
    incarnation : int
        Incremented by the node itself at each change of its record.
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
    """One version of a profile as sent between nodes.

    Parameters
    ----------
    name : str
        Profile.
    version : int
        Version of the profile.
    base : int
        Version that the delta applies to; 0 for a full body.
    deleted : bool
        Whether the version is a tombstone.
    body : bytes
        Compressed delta or compressed full body.
    digest : int
        Hash of the full, uncompressed body.
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
    """A profile version that a node refused, with the reason."""

    __slots__ = ("name", "version", "reason")

    def __init__(self, name: str, version: int, reason: str):
        self.name = name
        self.version = version
        self.reason = reason


class DomainStatus(Record):
    """Progress of the nodes of a failure domain towards the newest versions.

    Parameters
    ----------
    domain : str
        Failure domain.
    region : str
        Its region.
    live : int
        Number of live members.
    current : int
        Number of members with the same versions as the reporting relay.
    behind : list of str
        Members with other versions; the list is limited in length.
    refused : list of RefusedVersion
        Versions that members refuse; the list is limited in length.
    names : list of str
        Profiles installed on the relay.
    versions : list of int
        Installed version of each profile.
    stale_ms : int
        Time for which new versions may not have reached the relay, in ms.
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
    """An answer stored for repeats of a request with an idempotency key.

    Parameters
    ----------
    status : str
        Status code and reason phrase.
    header_names, header_values : list of str
        Names and values of the headers, in the same order.
    body : bytes
        Complete body.
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
    """Record that an upstream was lost while it executed a request.

    Parameters
    ----------
    fingerprint : int
        Hash of the request.
    address : str
        The upstream.
    is_repeat : bool
        Whether the request was sent after an earlier loss was known. Only
        such a mark is evidence against the request: upstreams that are lost
        together also take down requests that are merely frequent.
    """

    __slots__ = ("fingerprint", "address", "is_repeat")

    def __init__(self, fingerprint: int, address: str, is_repeat: bool):
        self.fingerprint = fingerprint
        self.address = address
        self.is_repeat = is_repeat
