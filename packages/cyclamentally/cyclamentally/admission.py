"""Admission of requests to upstreams: slots, queues and retry budgets."""

from collections import deque

from cyclamentally.effects import Count
from cyclamentally.endpoints import Endpoint, Observation
from cyclamentally.errors import Kind, Refused
from cyclamentally.records import Record
from cyclamentally.snapshot import EMPTY_SNAPSHOT

BULK = "bulk"
LOOKUPS_PER_BULK = 4
BUDGET_CAPACITY = 10.0
BUDGET_START = 3.0
SHORT_PAUSE_S = 0.1
UNUSABLE = ("draining", "gone")
MS = 1_000.0


class Call(Record):
    """A request that asks for a slot.

    Parameters
    ----------
    number : int
        Identifies the request on this node.
    service : str
        Service that it goes to.
    call_class : str
        ``lookup`` or ``bulk``.
    deadline : float
        Time in seconds after which the answer is of no use.
    attempt : int
        1 for the first attempt.
    avoid : list of str
        Addresses that have failed this request.
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
    """A queued request with the time at which it is refused."""

    __slots__ = ("call", "expires")

    def __init__(self, call, expires):
        self.call = call
        self.expires = expires


class Desk:
    """Queue, upstreams and retry budget of one service.

    Parameters
    ----------
    cluster : Cluster
        Service with its policy.
    chooser : Chooser
        Choice among upstreams with room.
    """

    __slots__ = ("budget", "chooser", "endpoints", "policy", "queues", "turn")

    def __init__(self, cluster, chooser):
        self.policy = cluster.policy
        self.chooser = chooser
        self.endpoints = {}
        self.queues = {"lookup": deque(), BULK: deque()}
        self.budget = BUDGET_START
        self.turn = 0

    def update(self, cluster):
        """Take over a new snapshot of the service."""
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
        """Return an endpoint with room for a request, or None."""
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
        """Return whether any upstream may get requests now or soon."""
        usable = (e.state not in UNUSABLE for e in self.endpoints.values())
        return any(usable)

    def is_overloaded(self, now):
        """Return whether every upstream is paused for long.

        To wait then would hold places that requests to other services need.
        """
        states = [e for e in self.endpoints.values() if e.state not in UNUSABLE]
        return all(e.paused_until - now > SHORT_PAUSE_S for e in states)

    def enqueue(self, call, now):
        """Queue a request; return the refusal if there is no place."""
        queue = self.queues[call.call_class]
        if sum(len(q) for q in self.queues.values()) >= self.policy.queue_length:
            return Refused(Kind.QUEUE_FULL, f"{len(queue)} requests wait")
        expires = min(call.deadline, now + self.policy.queue_wait_ms / MS)
        queue.append(Waiting(call, expires))
        return None

    def next_waiting(self, now):
        """Remove and return a queued request for which there is room."""
        for name in self._order():
            queue = self.queues[name]
            if queue and self.find_room(queue[0].call, now):
                self.turn = 0 if name == BULK else self.turn + 1
                return queue.popleft().call
        return None

    def expired(self, now):
        """Remove and return the queued requests whose time is over."""
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

    def pay(self, attempt):
        """Charge an attempt to the retry budget; return whether it is allowed."""
        if attempt == 1:
            gain = self.policy.retry_percent / 100
            self.budget = min(BUDGET_CAPACITY, self.budget + gain)
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

    def _order(self):
        if self.turn >= LOOKUPS_PER_BULK:
            return (BULK, "lookup")
        return ("lookup", BULK)


class Lease(Record):
    """A granted slot that has not been returned."""

    __slots__ = ("service", "endpoint", "is_bulk", "granted_at")

    def __init__(self, service, endpoint, is_bulk, granted_at):
        self.service = service
        self.endpoint = endpoint
        self.is_bulk = is_bulk
        self.granted_at = granted_at


class Admission:
    """Decide which request goes to which upstream and when.

    Parameters
    ----------
    chooser : Chooser
        Choice among upstreams with room.
    max_bulk : int
        Bulk requests that may hold or await a slot at once on this node, so
        that lookups always find a thread.
    """

    __slots__ = ("bulk", "chooser", "desks", "leases", "max_bulk", "snapshot")

    def __init__(self, chooser, max_bulk=1_000):
        self.chooser = chooser
        self.max_bulk = max_bulk
        self.bulk = set()
        self.desks = {}
        self.leases = {}
        self.snapshot = EMPTY_SNAPSHOT

    def update(self, snapshot, now):
        """Take over a new snapshot."""
        self.snapshot = snapshot
        effects = []
        for service, cluster in snapshot.clusters.items():
            if service not in self.desks:
                self.desks[service] = Desk(cluster, self.chooser)
            effects += self.desks[service].update(cluster)
            effects += self._serve(service, now)
        for service in self.desks.keys() - snapshot.clusters.keys():
            effects += self._close(service)
        return effects

    def request(self, call, now):
        """Ask for a slot.

        Returns
        -------
        list
            `Granted` or `Denied`, or neither if the request is queued.
        """
        desk = self.desks.get(call.service)
        if desk is None or not desk.is_usable():
            return self._deny(call, Kind.NO_UPSTREAM, "no upstream takes requests")
        if now >= call.deadline:
            return self._deny(call, Kind.DEADLINE_EXCEEDED, "deadline is over")
        if call.call_class == BULK and len(self.bulk) >= self.max_bulk:
            return self._deny(call, Kind.QUEUE_FULL, "too many bulk requests")
        if not desk.pay(call.attempt):
            return self._deny(call, Kind.RETRY_BUDGET_SPENT, "too many retries")
        endpoint = desk.find_room(call, now)
        if endpoint is not None:
            return self._grant(call, endpoint, now)
        if desk.is_overloaded(now):
            detail = "every upstream sheds requests"
            return self._deny(call, Kind.UPSTREAM_OVERLOADED, detail)
        refusal = desk.enqueue(call, now)
        if refusal is not None:
            return self._deny(call, refusal.kind, refusal.detail)
        if call.call_class == BULK:
            self.bulk.add(call.number)
        return []

    def finish(self, number, outcome, now):
        """Return a slot.

        Parameters
        ----------
        number : int
            The request.
        outcome : Kind or None
            Kind of the failure, None for an answer.
        now : float
            Time in seconds.

        Returns
        -------
        list
            Effects, with grants to requests that were queued.
        """
        lease = self.leases.pop(number, None)
        if lease is None:
            return []
        self.bulk.discard(number)
        endpoint = lease.endpoint
        endpoint.in_flight -= 1
        endpoint.bulk_in_flight -= lease.is_bulk
        effects = self._observe(lease, outcome, now)
        return effects + self._serve(lease.service, now)

    def cancel(self, number):
        """Forget a queued request."""
        for desk in self.desks.values():
            if desk.remove(number):
                self.bulk.discard(number)
                return [Count("requests_refused_total", Kind.CANCELLED)]
        return []

    def tick(self, now):
        """Refuse queued requests whose time is over; end ejections."""
        effects = []
        for service, desk in self.desks.items():
            for call in desk.expired(now):
                is_late = now >= call.deadline
                kind = Kind.DEADLINE_EXCEEDED if is_late else Kind.QUEUE_TIMEOUT
                effects += self._deny(call, kind, "no slot in time")
            for endpoint in desk.endpoints.values():
                effects += endpoint.tick(now)
            effects += self._serve(service, now)
        return effects

    def _grant(self, call, endpoint, now):
        is_bulk = call.call_class == BULK
        endpoint.in_flight += 1
        endpoint.bulk_in_flight += is_bulk
        if is_bulk:
            self.bulk.add(call.number)
        self.leases[call.number] = Lease(call.service, endpoint, is_bulk, now)
        return [Granted(call.number, endpoint.location)]

    def _deny(self, call, kind, detail):
        self.bulk.discard(call.number)
        refusal = Refused(kind, f"{call.service}: {detail}")
        return [Denied(call.number, refusal)]

    def _observe(self, lease, outcome, now):
        desk = self.desks.get(lease.service)
        if desk is None or outcome == Kind.CANCELLED:
            return []
        if outcome == Kind.UPSTREAM_OVERLOADED:
            lease.endpoint.overload(now)
            return []
        observation = Observation(now, desk.policy, desk.may_eject())
        if outcome is None and not lease.is_bulk:
            lease.endpoint.observe(now - lease.granted_at)
        event = "success" if outcome is None else "failure"
        return lease.endpoint.fire(event, observation)

    def _serve(self, service, now):
        desk = self.desks.get(service)
        effects = []
        while desk is not None and (call := desk.next_waiting(now)):
            effects += self._grant(call, desk.find_room(call, now), now)
        return effects

    def _close(self, service):
        desk = self.desks.pop(service)
        effects = []
        for queue in desk.queues.values():
            for waiting in queue:
                effects += self._deny(waiting.call, Kind.NO_UPSTREAM, "service left")
        return effects
