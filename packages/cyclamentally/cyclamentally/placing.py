"""Selection of the upstream that a request is offered to."""

from abc import ABC, abstractmethod

from cyclamentally.errors import Kind
from cyclamentally.gate_messages import DEFAULT_SERVICE_TIME_S
from cyclamentally.records import Record
from cyclamentally.typical_times import SLOWNESS_WEIGHT, TypicalTimes

# Round trips within a failure domain, within a region and between regions, as in
# the users' deployments.
DOMAIN_RTT_S = 0.0005
REGION_RTT_S = 0.002
CROSS_REGION_RTT_S = 0.017
# Traffic between failure domains costs money, and more so between regions: a
# remote upstream has to be faster by this much to be chosen. The penalty also
# counts as time when the expected time is compared with the target.
CROSS_DOMAIN_PENALTY_S = 0.004
CROSS_REGION_PENALTY_S = 0.03
# Multiplies the distance of downloads, which are about 18 times larger than other
# answers. About a quarter of that keeps them local, but does not make them wait for
# a full upstream.
DOWNLOAD_DISTANCE_FACTOR = 5.0
# Upstreams have capacity up to this share of their slots; some slow down beyond it.
MAX_OCCUPANCY_SHARE = 0.8
# Multiple of the expected time that has to fit into the target: service times vary
# by a third.
TARGET_MARGIN = 1.3
# Upstreams whose cost is within this of the best are chosen among at random, so
# that the nodes do not all send to the same one.
COST_TOLERANCE_S = 0.004
# The load reported by a gate loses half of its weight in this time.
LOAD_HALF_LIFE_S = 0.5
# An upstream that has left returns only under another entry, which has a view of its
# own without a pause.
LEFT_PAUSE_S = 2.0
# An upstream that has told this node that it leaves is gone after this time.
LEFT_MEMORY_S = 60.0
# A restarted node knows its upstream after one liveness check or at the upstream's
# next heartbeat.
RESTART_PAUSE_S = 0.25
# An overloaded upstream may have a free slot after about half a service time.
OVERLOAD_PAUSE_S = 0.05
# Upper bound of the pause if the gate names a wait. The wait is an estimate; longer
# pauses would leave slots unused.
QUEUE_FULL_PAUSE_S = 0.05
# The reported share of shed requests loses half of its weight in this time; then the
# upstream is tried again.
SHED_HALF_LIFE_S = 2.0
# Upstreams that shed at most this share more than the best one are equal to it.
SHED_TOLERANCE = 0.1
# A limit that makes a gate report fewer slots may have ended after this time.
REPORTED_SLOTS_S = 2.0
# Exponential backoff for a host that does not answer or cannot reach its upstream.
# The maximum lets a host that is back be found within about a heartbeat of its
# upstream.
FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 4.0


class UpstreamView(Record):
    """An upstream as this node knows it from its own requests.

    The sender of the requests counts ``in_flight`` and ``sent_since_load``.

    Parameters
    ----------
    entry : HostEntry
        The host with its upstream.
    distance_s : float
        Round trip plus the penalty for remote traffic, in seconds.
    typical_times : TypicalTimes, optional
        Service times of all upstreams, shared by the views of a node.
    """

    __slots__ = (
        "entry",
        "distance_s",
        "failures",
        "in_flight",
        "left_until",
        "load",
        "paused_until",
        "load_known_at",
        "sent_since_load",
        "service_times",
        "slowness",
        "typical_times",
    )

    def __init__(self, entry, distance_s, typical_times=None):
        self.typical_times = typical_times or TypicalTimes()
        # Mean ratio of its service times to the typical ones; None until it has
        # answered. Such an upstream counts as fast, so that it is tried.
        self.slowness = None
        self.entry = entry
        self.distance_s = distance_s
        self.failures = 0
        self.in_flight = 0
        # Time in seconds until which it gets no requests, since it leaves.
        self.left_until = 0.0
        self.load = None
        self.paused_until = 0.0
        self.load_known_at = 0.0
        self.sent_since_load = 0
        self.service_times = {}

    def update_load(self, load, route, now, is_answered=True):
        """Store the load that the gate has reported.

        Parameters
        ----------
        load : Load
            The load.
        route : str
            Route of the request that it was reported with.
        now : float
            Time in seconds.
        is_answered : bool
            Whether the upstream has answered the request. If not, the gate may never
            have measured the route.
        """
        self.load = load
        self.load_known_at = now
        self.sent_since_load = 0
        if is_answered:
            self.service_times[route] = load.service_time_s
            ratio = self.typical_times.update(route, load.service_time_s)
            known = ratio if self.slowness is None else self.slowness
            self.slowness = known + SLOWNESS_WEIGHT * (ratio - known)

    def succeed(self):
        """Reset the backoff after an answer."""
        self.failures = 0
        self.paused_until = 0.0

    def note_leaving(self, now):
        """Exclude the upstream, which has told this node that it leaves.

        Its gate may have forgotten that in a restart.
        """
        self.left_until = now + LEFT_MEMORY_S

    def fail(self, now):
        """Pause the upstream, which could not be reached, with exponential backoff."""
        pause = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**self.failures)
        self.failures = min(self.failures + 1, 10)
        self.paused_until = now + pause

    def pause(self, now, delay):
        """Exclude the upstream for a delay in seconds."""
        self.paused_until = max(self.paused_until, now + delay)

    def is_silent_since(self, moment):
        """Whether the host has reported no load since a given time."""
        return self.load_known_at < moment

    def occupancy(self, now):
        """Return the expected number of requests at the upstream.

        Combines the last reported load, which decays, with the requests that this
        node has sent since.
        """
        if self.load is None:
            return self.in_flight
        age = now - self.load_known_at
        known = self.load.busy + self.load.waiting
        faded = known * 0.5 ** (age / LOAD_HALF_LIFE_S)
        return max(self.in_flight, faded + self.sent_since_load)

    def slots(self, now):
        """Return the slots in use at most: fewer if the upstream limits its requests.

        A gate reports with each load how many slots the limit keeps in use.
        """
        listed = self.entry.upstream.slots
        if self.load is None or now - self.load_known_at >= REPORTED_SLOTS_S:
            return listed
        return min(listed, self.load.slots)

    def shed_share(self, now):
        """Return the expected share of requests that the upstream rejects."""
        if self.load is None or not self.load.shed_share:
            return 0.0
        age = now - self.load_known_at
        return self.load.shed_share * 0.5 ** (age / SHED_HALF_LIFE_S)

    def finish_time(self, route, now):
        """Return the expected time until an answer, in seconds."""
        usual = self.service_times.get(route)
        if usual is None and self.slowness is None:
            usual = DEFAULT_SERVICE_TIME_S
        elif usual is None:
            usual = self.slowness * self.typical_times.mean(route)
        slots = self.slots(now)
        excess = self.occupancy(now) + 1 - slots
        return usual * (1 + max(0.0, excess) / slots)


class Placement(ABC):
    """Strategy that chooses one of several upstreams."""

    __slots__ = ()

    @abstractmethod
    def choose(self, views, rule, now):
        """Return one `UpstreamView` of a list that is not empty."""


class NearestWithCapacity(Placement):
    """Chooses the nearest upstream with capacity, else the one of least cost.

    An answer gains nothing by arriving well before its target, while traffic
    between failure domains and regions costs money.

    Parameters
    ----------
    random : random.Random
        Chooses among upstreams of similar cost.
    """

    __slots__ = ("random",)

    def __init__(self, random):
        self.random = random

    def choose(self, views, rule, now):
        """Return a nearest view with capacity, or one of least expected cost.

        Upstreams that shed more than others are left out, wherever they are.
        """
        shares = [view.shed_share(now) for view in views]
        bound = min(shares) + SHED_TOLERANCE
        if max(shares) > bound:
            views = [
                v for v, share in zip(views, shares, strict=True) if share <= bound
            ]
        with_capacity = [view for view in views if self._has_capacity(view, rule, now)]
        if with_capacity:
            nearest = min(view.distance_s for view in with_capacity)
            views = [view for view in with_capacity if view.distance_s == nearest]
        factor = DOWNLOAD_DISTANCE_FACTOR if rule.kind.name == "DOWNLOAD" else 1.0
        costs = [
            view.finish_time(rule.name, now) + factor * view.distance_s
            for view in views
        ]
        bound = min(costs) + COST_TOLERANCE_S
        similar = [v for v, cost in zip(views, costs, strict=True) if cost <= bound]
        return similar[0] if len(similar) == 1 else self.random.choice(similar)

    def _has_capacity(self, view, rule, now):
        if view.occupancy(now) + 1 > MAX_OCCUPANCY_SHARE * view.slots(now):
            return False
        expected = view.finish_time(rule.name, now) + view.distance_s
        return TARGET_MARGIN * expected <= rule.target_s


class UpstreamViews:
    """The views of all upstreams, updated from the directory.

    Parameters
    ----------
    domain, region : str
        Failure domain and region of this node.
    placement : Placement
        Strategy of the choice.
    """

    __slots__ = ("domain", "placement", "region", "typical_times", "views")

    def __init__(self, domain, region, placement):
        self.domain = domain
        self.region = region
        self.placement = placement
        self.typical_times = TypicalTimes()
        self.views = {}

    def update(self, entries):
        """Replace the known hosts; an upstream of the same name keeps its view."""
        known = {}
        for entry in entries:
            view = self.views.get(entry.name)
            if view is None or view.entry.upstream.name != entry.upstream.name:
                distance_s = self._distance(entry)
                view = UpstreamView(entry, distance_s, self.typical_times)
            if entry.upstream.started_ms > view.entry.upstream.started_ms:
                # A later lifetime under the name of one that has left.
                view.left_until = 0.0
            view.entry = entry
            known[entry.name] = view
        self.views = known

    def choose(self, entries, rule, tried, now):
        """Return the `UpstreamView` to offer a request to, or None.

        Parameters
        ----------
        entries : iterable of HostEntry
            Upstreams of the service.
        rule : RouteRule
            Route of the request.
        tried : set of str
            Upstreams that the request has been offered to.
        now : float
            Time in seconds.
        """
        usable = []
        paused = []
        for entry in entries:
            view = self.views.get(entry.name)
            if view is None or now < view.left_until:
                continue
            if entry.upstream.name in tried:
                continue
            (usable if view.paused_until <= now else paused).append(view)
        if not usable:
            # A paused upstream is tried only with the first offer. Later on the
            # request is refused at once, and the caller is told when to retry.
            is_first = not tried
            return min(paused, key=_pause_end) if paused and is_first else None
        return self.placement.choose(usable, rule, now)

    def _distance(self, entry):
        if entry.domain == self.domain:
            return DOMAIN_RTT_S
        if entry.region == self.region:
            return REGION_RTT_S + CROSS_DOMAIN_PENALTY_S
        return CROSS_REGION_RTT_S + CROSS_REGION_PENALTY_S


def _pause_end(view):
    return view.paused_until


def pause_for_refusal(view, refusal, now):
    """Pause an upstream for a time that depends on the kind of its refusal.

    Other kinds cause no pause; a full link, for example, concerns only routes with
    large answers.

    Parameters
    ----------
    view : UpstreamView
        The upstream.
    refusal : Refused
        Refusal by its gate, or failure to reach it.
    now : float
        Time in seconds.
    """
    kind = refusal.kind
    if kind in (Kind.QUEUE_FULL, Kind.QUEUE_TIMEOUT):
        view.pause(now, min(refusal.wait or 0.0, QUEUE_FULL_PAUSE_S))
    elif kind == Kind.NOT_READY:
        view.pause(now, RESTART_PAUSE_S)
    elif kind in (Kind.UPSTREAM_LEFT, Kind.STOPPING):
        view.pause(now, LEFT_PAUSE_S)
    elif kind == Kind.UPSTREAM_OVERLOADED:
        view.pause(now, OVERLOAD_PAUSE_S)
    elif kind == Kind.UPSTREAM_UNREACHABLE:
        view.fail(now)
