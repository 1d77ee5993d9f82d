"""Admission of requests to upstreams: slots, queues and retry budgets."""

from collections import deque

from cyclamentally.effects import Count
from cyclamentally.endpoints import Endpoint, Observation
from cyclamentally.errors import Kind, Refused
from cyclamentally.records import Record
from cyclamentally.snapshot import EMPTY_SNAPSHOT

BULK = "bulk"
LOOKUPS_PER_BULK = 4
RETRY_BUDGET_CAPACITY = 10.0
RETRY_BUDGET_INITIAL = 3.0
MAX_QUEUEABLE_PAUSE_S = 0.1
UNUSABLE_STATES = ("draining", "gone")
MS_PER_S = 1_000.0


class Call(Record):
    """A request for a slot.

    Parameters
    ----------
    number : int
        Identifies the request on this node.
    service : str
        Destination service.
    call_class : str
        ``lookup`` or ``bulk``.
    deadline : float
        Time in seconds after which the answer is useless.
    attempt : int
        1 for the first attempt.
    avoid : list of str
        Addresses of upstreams where earlier attempts failed.
    """

    __slots__ = ("number", "service", "call_class", "deadline", "attempt", "avoid")

    def __init__(self, number, service, call_class, deadline, attempt, avoid):
        self.number = number
        self.service = service
        self.call_class = call_class
        self.deadline = deadline
        self.attempt = attempt
        self.avoid = avoid


class Granted(Record):
    """Effect: a request may be sent to an upstream."""

    __slots__ = ("number", "location")

    def __init__(self, number, location):
        self.number = number
        self.location = location


class Denied(Record):
    """Effect: a request gets no slot."""

    __slots__ = ("number", "refusal")

    def __init__(self, number, refusal):
        self.number = number
        self.refusal = refusal


class Waiting(Record):
    """A queued request and the time in seconds at which it is refused."""

    __slots__ = ("call", "expires")

    def __init__(self, call, expires):
        self.call = call
        self.expires = expires


class ServiceState:
    """Queue, upstreams and retry budget of one service.

    Parameters
    ----------
    cluster : Cluster
        Service with its policy.
    chooser : Chooser
        Choice among upstreams with a free slot.
    """

    __slots__ = (
        "budget",
        "chooser",
        "endpoints",
        "policy",
        "queues",
        "lookups_since_bulk",
    )

    def __init__(self, cluster, chooser):
        self.policy = cluster.policy
        self.chooser = chooser
        self.endpoints = {}
        self.queues = {"lookup": deque(), BULK: deque()}
        self.budget = RETRY_BUDGET_INITIAL
        self.lookups_since_bulk = 0

    def update(self, cluster):
        """Apply a new snapshot of the service; returns effects."""
        self.policy = cluster.policy
        effects = []
        present = set()
        for location in cluster.locations:
            address = location.upstream.address
            present.add(address)
            if address not in self.endpoints:
                self.endpoints[address] = Endpoint(location)
            if self.endpoints[address].location != location or (
                location.upstream.draining
            ):
                effects += self.endpoints[address].update(location)
        for address in self.endpoints.keys() - present:
            effects += self.endpoints.pop(address).fire("withdraw")
        return effects

    def find_room(self, call, now):
        """Return an endpoint with a free slot for a request, or None."""
        is_bulk = call.call_class == BULK
        percent = self.policy.bulk_percent
        free = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.has_room(now, is_bulk, percent)
        ]
        untried = [e for e in free if e.address not in call.avoid]
        return self.chooser.choose(untried or free, call.call_class) if free else None

    def is_usable(self):
        """Return whether any upstream is neither draining nor gone."""
        usable = (e.state not in UNUSABLE_STATES for e in self.endpoints.values())
        return any(usable)

    def is_overloaded(self, now):
        """Return whether every upstream is paused for too long to queue.

        Queued requests would occupy threads that other services need.
        """
        states = [e for e in self.endpoints.values() if e.state not in UNUSABLE_STATES]
        return all(e.paused_until - now > MAX_QUEUEABLE_PAUSE_S for e in states)

    def enqueue(self, call, now):
        """Queue a request; return the refusal if the queue is full."""
        queue = self.queues[call.call_class]
        if sum(len(q) for q in self.queues.values()) >= self.policy.queue_length:
            return Refused(
                Kind.QUEUE_FULL, f"queue of {self.policy.queue_length} requests is full"
            )
        expires = min(call.deadline, now + self.policy.queue_wait_ms / MS_PER_S)
        queue.append(Waiting(call, expires))
        return None

    def take_next(self, now):
        """Remove and return a queued request that can get a slot, or None."""
        for name in self._queue_order():
            queue = self.queues[name]
            if queue and self.find_room(queue[0].call, now):
                self.lookups_since_bulk = (
                    0 if name == BULK else self.lookups_since_bulk + 1
                )
                return queue.popleft().call
        return None

    def take_expired(self, now):
        """Remove and return the queued requests that have expired."""
        calls = []
        for queue in self.queues.values():
            late = [waiting for waiting in queue if now >= waiting.expires]
            for waiting in late:
                queue.remove(waiting)
                calls.append(waiting.call)
        return calls

    def remove(self, number):
        """Remove a queued request; return whether it was queued."""
        for queue in self.queues.values():
            for waiting in queue:
                if waiting.call.number == number:
                    queue.remove(waiting)
                    return True
        return False

    def charge_attempt(self, attempt):
        """Charge an attempt to the retry budget; return whether it is allowed."""
        if attempt == 1:
            gain = self.policy.retry_percent / 100
            self.budget = min(RETRY_BUDGET_CAPACITY, self.budget + gain)
            return True
        if self.budget < 1:
            return False
        self.budget -= 1
        return True

    def may_eject(self):
        """Return whether one more upstream may be ejected."""
        out = [e for e in self.endpoints.values() if e.state in ("ejected", "trial")]
        share = (len(out) + 1) * 100
        return share <= self.policy.max_ejected_percent * len(self.endpoints)

    def _queue_order(self):
        if self.lookups_since_bulk >= LOOKUPS_PER_BULK:
            return (BULK, "lookup")
        return ("lookup", BULK)


class SlotGrant(Record):
    """A granted slot that has not been released."""

    __slots__ = ("service", "endpoint", "is_bulk", "granted_at")

    def __init__(self, service, endpoint, is_bulk, granted_at):
        self.service = service
        self.endpoint = endpoint
        self.is_bulk = is_bulk
        self.granted_at = granted_at


class Admission:
    """Decides which request goes to which upstream and when.

    Parameters
    ----------
    chooser : Chooser
        Choice among upstreams with a free slot.
    max_bulk : int
        Limit of bulk requests on this node that hold or wait for a slot, so that
        lookups always find a free thread.
    """

    __slots__ = ("bulk", "chooser", "services", "grants", "max_bulk", "snapshot")

    def __init__(self, chooser, max_bulk=1_000):
        self.chooser = chooser
        self.max_bulk = max_bulk
        self.bulk = set()
        self.services = {}
        self.grants = {}
        self.snapshot = EMPTY_SNAPSHOT

    def update(self, snapshot, now):
        """Apply a new snapshot; returns effects."""
        self.snapshot = snapshot
        effects = []
        for service, cluster in snapshot.clusters.items():
            if service not in self.services:
                self.services[service] = ServiceState(cluster, self.chooser)
            effects += self.services[service].update(cluster)
            effects += self._grant_waiting(service, now)
        for service in self.services.keys() - snapshot.clusters.keys():
            effects += self._remove_service(service)
        return effects

    def request(self, call, now):
        """Request a slot.

        Returns
        -------
        list
            `Granted` or `Denied`, or neither if the request is queued.
        """
        service_state = self.services.get(call.service)
        if service_state is None or not service_state.is_usable():
            return self._deny(call, Kind.NO_UPSTREAM, "no upstream takes requests")
        if now >= call.deadline:
            return self._deny(call, Kind.DEADLINE_EXCEEDED, "deadline has passed")
        if call.call_class == BULK and len(self.bulk) >= self.max_bulk:
            return self._deny(
                call, Kind.QUEUE_FULL, f"limit of {self.max_bulk} bulk requests reached"
            )
        if not service_state.charge_attempt(call.attempt):
            return self._deny(call, Kind.RETRY_BUDGET_SPENT, "retry budget is spent")
        endpoint = service_state.find_room(call, now)
        if endpoint is not None:
            return self._grant(call, endpoint, now)
        if service_state.is_overloaded(now):
            detail = "all upstreams are overloaded"
            return self._deny(call, Kind.UPSTREAM_OVERLOADED, detail)
        refusal = service_state.enqueue(call, now)
        if refusal is not None:
            return self._deny(call, refusal.kind, refusal.detail)
        if call.call_class == BULK:
            self.bulk.add(call.number)
        return []

    def finish(self, number, outcome, now):
        """Release a slot.

        Parameters
        ----------
        number : int
            The request.
        outcome : Kind or None
            Kind of the failure; None after an answer.
        now : float
            Time in seconds.

        Returns
        -------
        list
            Effects, including grants to queued requests.
        """
        grant = self.grants.pop(number, None)
        if grant is None:
            return []
        self.bulk.discard(number)
        endpoint = grant.endpoint
        endpoint.in_flight -= 1
        endpoint.bulk_in_flight -= grant.is_bulk
        effects = self._record_outcome(grant, outcome, now)
        return effects + self._grant_waiting(grant.service, now)

    def cancel(self, number):
        """Remove a queued request."""
        for service_state in self.services.values():
            if service_state.remove(number):
                self.bulk.discard(number)
                return [Count("requests_refused_total", Kind.CANCELLED)]
        return []

    def tick(self, now):
        """Refuse expired requests, end ejections and grant free slots."""
        effects = []
        for service, service_state in self.services.items():
            for call in service_state.take_expired(now):
                is_late = now >= call.deadline
                kind = Kind.DEADLINE_EXCEEDED if is_late else Kind.QUEUE_TIMEOUT
                effects += self._deny(call, kind, "no slot was free in time")
            for endpoint in service_state.endpoints.values():
                effects += endpoint.tick(now)
            effects += self._grant_waiting(service, now)
        return effects

    def _grant(self, call, endpoint, now):
        is_bulk = call.call_class == BULK
        endpoint.in_flight += 1
        endpoint.bulk_in_flight += is_bulk
        if is_bulk:
            self.bulk.add(call.number)
        self.grants[call.number] = SlotGrant(call.service, endpoint, is_bulk, now)
        return [Granted(call.number, endpoint.location)]

    def _deny(self, call, kind, detail):
        self.bulk.discard(call.number)
        refusal = Refused(kind, f"{call.service}: {detail}")
        return [Denied(call.number, refusal)]

    def _record_outcome(self, grant, outcome, now):
        service_state = self.services.get(grant.service)
        if service_state is None or outcome == Kind.CANCELLED:
            return []
        if outcome == Kind.UPSTREAM_OVERLOADED:
            grant.endpoint.on_overload(now)
            return []
        observation = Observation(now, service_state.policy, service_state.may_eject())
        if outcome is None and not grant.is_bulk:
            grant.endpoint.record_latency(now - grant.granted_at)
        event = "success" if outcome is None else "failure"
        return grant.endpoint.fire(event, observation)

    def _grant_waiting(self, service, now):
        service_state = self.services.get(service)
        effects = []
        while service_state is not None and (call := service_state.take_next(now)):
            effects += self._grant(call, service_state.find_room(call, now), now)
        return effects

    def _remove_service(self, service):
        service_state = self.services.pop(service)
        effects = []
        for queue in service_state.queues.values():
            for waiting in queue:
                effects += self._deny(waiting.call, Kind.NO_UPSTREAM, "service removed")
        return effects
