"""An immutable view of routes, policies and upstreams at one point in time."""

from cyclamentally.records import Record


class Location(Record):
    """An upstream with the location of its host.

    Parameters
    ----------
    upstream : Upstream
        The announced upstream.
    node : str
        Node on the host of the upstream.
    domain, region : str
        Failure domain and region of the host.
    """

    __slots__ = ("upstream", "node", "domain", "region")

    def __init__(self, upstream, node, domain, region):
        self.upstream = upstream
        self.node = node
        self.domain = domain
        self.region = region


class Cluster(Record):
    """Upstreams of a service, and its policy from the profile it follows."""

    __slots__ = ("service", "profile", "policy", "locations")

    def __init__(self, service, profile, policy, locations):
        self.service = service
        self.profile = profile
        self.policy = policy
        self.locations = locations


class Route(Record):
    """A path prefix that is routed to a cluster of the same snapshot."""

    __slots__ = ("prefix", "service", "call_class")

    def __init__(self, prefix, service, call_class):
        self.prefix = prefix
        self.service = service
        self.call_class = call_class


class Snapshot(Record):
    """Routes and clusters that are replaced together.

    Parameters
    ----------
    generation : int
        Number of the snapshot on this node; grows by one with each.
    routes : tuple of Route
        Longest prefix first.
    clusters : dict of str to Cluster
        Clusters by service.
    """

    __slots__ = ("generation", "routes", "clusters")

    def __init__(self, generation, routes, clusters):
        self.generation = generation
        self.routes = routes
        self.clusters = clusters

    def find_route(self, path):
        """Return the route with the longest prefix of a path, or None."""
        for route in self.routes:
            if _has_prefix(path, route.prefix):
                return route
        return None


EMPTY_SNAPSHOT = Snapshot(0, (), {})


def _has_prefix(path, prefix):
    if not path.startswith(prefix):
        return False
    rest = path[len(prefix) :]
    return prefix.endswith("/") or not rest or rest[0] in "/?"


def build_snapshot(generation, profiles, records):
    """Build a snapshot in which every route has its cluster.

    A service is included if a live node announces it and the profile that it
    follows describes it. If its upstreams name several profiles, the one
    named most often applies; on a tie, the first by name.

    Parameters
    ----------
    generation : int
        Number of the snapshot.
    profiles : dict of str to Profile
        Profiles in force.
    records : iterable of MemberRecord
        Records of the live nodes.

    Returns
    -------
    Snapshot
        The routes and clusters.
    """
    clusters = {}
    for service, locations in _locations(records).items():
        profile = profiles.get(_most_announced_profile(locations))
        if profile is None or service not in profile.services:
            continue
        policy = profile.services[service]
        clusters[service] = Cluster(service, profile.name, policy, locations)
    return Snapshot(generation, _routes(profiles, clusters), clusters)


def _locations(records):
    located = {}
    for record in records:
        for upstream in record.upstreams:
            entry = Location(upstream, record.node, record.domain, record.region)
            located.setdefault(upstream.service, []).append(entry)
    return located


def _most_announced_profile(locations):
    votes = {}
    for location in locations:
        name = location.upstream.profile
        votes[name] = votes.get(name, 0) + 1
    return min(votes, key=lambda name: (-votes[name], name))


def _routes(profiles, clusters):
    rules = {}
    for service in sorted(clusters):
        for rule in profiles[clusters[service].profile].routes:
            if rule.service == service:
                route = Route(rule.prefix, service, rule.call_class)
                rules.setdefault(rule.prefix, route)
    ordered = sorted(rules.values(), key=lambda r: (-len(r.prefix), r.prefix))
    return tuple(ordered)
