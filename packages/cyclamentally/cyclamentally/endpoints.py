"""State of an upstream as seen by one node: limits, outlier ejection, slow start."""

from cyclamentally.chart import runs_chart
from cyclamentally.effects import Count, StateChanged
from cyclamentally.records import Record

MAX_EJECT_S = 300.0
LIMIT_DECREASE_FACTOR = 0.7
FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 2.0
LATENCY_EWMA_WEIGHT = 0.2
LATENCY_HALF_LIFE_S = 5.0
MIN_LATENCY_S = 0.001
MS_PER_S = 1_000.0


class Observation(Record):
    """Outcome of an attempt, with the data that the endpoint's decisions need.

    Parameters
    ----------
    now : float
        Time in seconds.
    policy : ServicePolicy
        Limits of the service.
    may_eject : bool
        Whether the share of ejected upstreams allows one more.
    """

    __slots__ = ("now", "policy", "may_eject")

    def __init__(self, now, policy, may_eject):
        self.now = now
        self.policy = policy
        self.may_eject = may_eject


@runs_chart("endpoint")
class Endpoint:
    """Decides how many requests an upstream gets; runs the chart ``endpoint``.

    Parameters
    ----------
    location : Location
        The upstream with its failure domain and region.
    """

    __slots__ = (
        "bulk_in_flight",
        "decayed_at",
        "ejected_until",
        "ejections",
        "failures",
        "in_flight",
        "latency",
        "limit",
        "location",
        "paused_until",
        "sheds",
        "state",
        "warm_until",
        "warming_since",
    )

    def __init__(self, location):
        self.location = location
        self.state = self.chart.initial
        self.in_flight = 0
        self.bulk_in_flight = 0
        self.limit = float(self.hard_limit)
        self.failures = 0
        self.sheds = 0
        self.paused_until = 0.0
        self.latency = MIN_LATENCY_S
        self.decayed_at = 0.0
        self.ejections = 0
        self.ejected_until = 0.0
        self.warming_since = 0.0
        self.warm_until = 0.0

    @property
    def address(self):
        """``IP:port`` of the upstream."""
        return self.location.upstream.address

    @property
    def hard_limit(self):
        """Maximum of requests in flight that the upstream has announced."""
        upstream = self.location.upstream
        return max(1, min(upstream.slots, upstream.connections))

    @property
    def cost(self):
        """Relative cost of one more request; lower is better.

        It grows with requests in flight and latency, and as the concurrency limit
        falls, so that fast refusals do not attract requests.
        """
        return (self.in_flight + 1) / self.limit * self.latency

    def fire(self, event, observation=None):
        """Run an event and return the effects."""
        before = self.state
        effects = self.chart.fire(self, event, observation)
        if self.state != before and self.state in ("ejected", "trial", "draining"):
            effects.append(Count("endpoint_changes_total", self.state))
            effects.append(StateChanged(f"upstream {self.address}", self.state, event))
        return effects

    def update(self, location):
        """Apply a changed announcement."""
        self.location = location
        self.limit = min(self.limit, float(self.hard_limit))
        if location.upstream.draining:
            return self.fire("drain")
        return self.fire("resume")

    def tick(self, now):
        """Decay the latency; end a due ejection or slow start."""
        elapsed = max(0.0, now - self.decayed_at)
        self.decayed_at = now
        faded = self.latency * 0.5 ** (elapsed / LATENCY_HALF_LIFE_S)
        self.latency = max(MIN_LATENCY_S, faded)
        if self.state == "ejected" and now >= self.ejected_until:
            return self.fire("eject_over")
        if self.state == "warming" and now >= self.warm_until:
            return self.fire("warm")
        return []

    def capacity(self, now):
        """Return how many requests may be in flight now."""
        limit = int(self.limit)
        if self.state == "serving":
            return limit
        if self.state == "suspect":
            return max(1, limit // 2)
        if self.state == "warming":
            span = max(self.warm_until - self.warming_since, 1e-9)
            share = min(1.0, (now - self.warming_since) / span)
            return max(1, int(limit * share))
        return 1 if self.state in ("announced", "trial") else 0

    def has_room(self, now, is_bulk, bulk_percent):
        """Return whether one more request may be sent now."""
        capacity = self.capacity(now)
        if self.in_flight >= capacity or now < self.paused_until:
            return False
        return not is_bulk or self.bulk_in_flight < max(
            1, capacity * bulk_percent // 100
        )

    def on_overload(self, now):
        """Lower the limit and pause after the upstream has shed a request.

        Consecutive sheds double the pause.
        """
        self.limit = max(1.0, min(self.limit, self.in_flight) * LIMIT_DECREASE_FACTOR)
        pause = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**self.sheds)
        self.sheds = min(self.sheds + 1, 16)
        self.paused_until = now + pause

    def record_latency(self, seconds):
        """Update the latency with the time of a lookup's answer, in seconds."""
        self.latency += LATENCY_EWMA_WEIGHT * (seconds - self.latency)

    def should_eject(self, observation):
        """Whether this failure reaches the limit of consecutive failures."""
        reached = self.failures + 1 >= observation.policy.eject_failures
        return reached and observation.may_eject

    def count_failure(self, observation):
        """Count a consecutive failure."""
        self.failures += 1

    def clear_failures(self, observation):
        """Reset the failure counts and raise the limit by a step."""
        self.failures = 0
        self.sheds = 0
        self.ejections = 0
        self.limit = min(float(self.hard_limit), self.limit + 1 / self.limit)

    def eject(self, observation):
        """Eject the upstream; the time doubles with each ejection."""
        span = observation.policy.eject_ms / MS_PER_S * 2**self.ejections
        self.ejected_until = observation.now + min(span, MAX_EJECT_S)
        self.ejections = min(self.ejections + 1, 16)
        self.failures = 0

    def begin_warming(self, observation):
        """Start the slow start."""
        self.warming_since = observation.now
        self.warm_until = observation.now + observation.policy.slow_start_ms / MS_PER_S
