"""Routes by host and path prefix, with the operator's rules for each."""

from enum import IntEnum

from cyclamentally.records import Record


class RequestKind(IntEnum):
    """How a request without an answer may be retried."""

    IDEMPOTENT = 0
    ONCE = 1
    DOWNLOAD = 2

    @property
    def may_repeat(self):
        """Whether the request may run more than once."""
        return self is not RequestKind.ONCE


class Destination(Record):
    """A service with its share of a route's requests."""

    __slots__ = ("service", "weight")

    def __init__(self, service, weight):
        self.service = service
        self.weight = weight


class RouteRule(Record):
    """One route.

    Parameters
    ----------
    name : str
        Name, unique in the configuration.
    host, prefix : str
        Host in lower case and path prefix that select the route.
    destinations : tuple of Destination
        Services that share its requests.
    kind : RequestKind
        Whether requests may be retried after they may have run.
    timeout_s : float
        Time limit of the final answer to the caller, in seconds.
    target_s : float
        Target of the answer time, in seconds.
    max_attempts : int
        Maximum of upstreams that a request is sent to.
    priority : int
        Rank; 0 is the most urgent.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "destinations",
        "kind",
        "timeout_s",
        "target_s",
        "max_attempts",
        "priority",
    )

    def __init__(
        self,
        name,
        host,
        prefix,
        destinations,
        kind,
        timeout_s,
        target_s,
        max_attempts,
        priority,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.destinations = destinations
        self.kind = kind
        self.timeout_s = timeout_s
        self.target_s = target_s
        self.max_attempts = max_attempts
        self.priority = priority


class ServiceRule(Record):
    """The operator's settings for a service.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of its liveness check.
    max_connections : int
        Connections that one upstream accepts.
    """

    __slots__ = ("name", "health_path", "max_connections")

    def __init__(self, name, health_path, max_connections):
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections


class CallerLimits(Record):
    """Limits for callers.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest header section and body of a request.
    header_s, idle_s : float
        Longest time for a header section, and between requests, in seconds.
    """

    __slots__ = ("header_bytes", "body_bytes", "header_s", "idle_s")

    def __init__(self, header_bytes, body_bytes, header_s, idle_s):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_s = header_s
        self.idle_s = idle_s


# Used until the first configuration is read; larger than usual settings.
DEFAULT_LIMITS = CallerLimits(64 * 1024, 64 * 1024 * 1024, 5.0, 30.0)


class RouteTable(Record):
    """All routes of a configuration; replaced as a whole.

    Parameters
    ----------
    version : int
        Version of the configuration.
    rules : dict
        From host to a dict from prefix to `RouteRule`.
    services : dict of str to ServiceRule
        Services by name.
    limits : CallerLimits
        Limits for callers.
    """

    __slots__ = ("version", "rules", "services", "limits")

    def __init__(self, version, rules, services, limits):
        self.version = version
        self.rules = rules
        self.services = services
        self.limits = limits

    @property
    def downloads(self):
        """Names of the routes that serve downloads."""
        rules = (rule for rules in self.rules.values() for rule in rules.values())
        return frozenset(r.name for r in rules if r.kind == RequestKind.DOWNLOAD)

    def find(self, host, path):
        """Return the rule with the longest prefix of a path, or None.

        Parameters
        ----------
        host : str
            Host in lower case, without a port.
        path : str
            Path without the query.
        """
        prefixes = self.rules.get(host)
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            rule = prefixes.get(path[: end + 1])
            if rule is not None:
                return rule
            end = path.rfind("/", 0, end)
        return None


class WeightedRoundRobin:
    """Smooth weighted round robin over the destinations of each route.

    With every request, each destination's current weight grows by its weight; the
    largest one is chosen and reduced by the sum of the weights. Shares are exact
    after a few requests. Random initial values keep nodes from choosing alike.

    Parameters
    ----------
    random : random.Random
        Source of the initial values.
    """

    __slots__ = ("current_weights", "random")

    def __init__(self, random):
        self.random = random
        self.current_weights = {}

    def choose(self, rule):
        """Return the service for one request of a rule."""
        destinations = rule.destinations
        if len(destinations) == 1:
            return destinations[0].service
        total = sum(d.weight for d in destinations)
        known = self.current_weights.get(rule.name)
        if known is None or known[0] != destinations:
            gains = [self.random.uniform(0, total) for _ in destinations]
            known = (destinations, gains)
            self.current_weights[rule.name] = known
        gains = known[1]
        for index, destination in enumerate(destinations):
            gains[index] += destination.weight
        best = max(range(len(gains)), key=gains.__getitem__)
        gains[best] -= total
        return destinations[best].service

    def reset(self):
        """Drop the current weights of all routes, after a change of the routes."""
        self.current_weights.clear()
