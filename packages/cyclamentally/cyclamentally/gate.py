"""Admission control of the upstream on a node's host.

All requests for an upstream pass through the node on its host, so that node
knows the used slots and the queue exactly. A request refused here has not run.
"""

from cyclamentally.chart import runs_chart
from cyclamentally.departures import LastDeparture
from cyclamentally.effects import Count, StateChanged
from cyclamentally.errors import Kind, Refused
from cyclamentally.gate_checks import find_refusal, suspended
from cyclamentally.gate_messages import (
    Heartbeat,
    Load,
    RefuseWork,
    Running,
    StartWork,
)
from cyclamentally.isolation import Isolation
from cyclamentally.rate_limit import RateLimit
from cyclamentally.shedding import ShedShare
from cyclamentally.uplink import Uplink
from cyclamentally.urgency import Urgency

# Limit of queued requests that will miss their target, as a share of the slots.
# Within a priority they start after all others, so with a higher limit they would
# only wait longer (`test_gate_under_load.py`).
MAX_LATE_SHARE_OF_SLOTS = 0.25
# Lower bound of the wait that a refusal names. With a shorter one, callers would
# retry before the load has changed.
MIN_RETRY_WAIT_S = 0.02


@runs_chart("gate")
class Gate:
    """Decides which requests the upstream gets and when; runs the chart ``gate``.

    Parameters
    ----------
    uplink : Uplink, optional
        Link shared by the answers to other hosts; without one, the link does not
        limit requests.
    """

    __slots__ = (
        "departure",
        "has_routes",
        "last_heartbeat_at",
        "heartbeat",
        "isolation",
        "admitted_late",
        "rate_limit",
        "running",
        "shed_share",
        "state",
        "uplink",
        "urgency",
        "waiting",
    )

    def __init__(self, uplink=None):
        self.uplink = uplink or Uplink()
        self.state = self.chart.initial
        self.heartbeat = None
        self.departure = LastDeparture()
        self.has_routes = False
        self.last_heartbeat_at = 0.0
        self.waiting = []
        # Numbers of requests that were queued although they were expected to miss
        # their target.
        self.admitted_late = set()
        self.running = {}
        self.urgency = self.make_urgency()
        self.shed_share = ShedShare()
        self.isolation = Isolation()
        self.rate_limit = RateLimit()

    def make_urgency(self):
        """Return the order of requests for a new lifetime of the upstream."""
        return Urgency()

    # Guards and actions of the chart.

    def is_next_lifetime(self, heartbeat):
        """Whether a heartbeat begins a later lifetime than the current one."""
        present = self.heartbeat
        if self.is_same_lifetime(heartbeat):
            return False
        if heartbeat.started_ms != present.started_ms:
            return heartbeat.started_ms > present.started_ms
        return heartbeat.upstream != present.upstream

    def is_after_end(self, heartbeat):
        """Whether a heartbeat is not of the upstream that has departed last."""
        return self.departure.precedes(heartbeat)

    def is_same_lifetime(self, heartbeat):
        """Whether a heartbeat belongs to the current lifetime."""
        present = self.heartbeat
        if present is None or heartbeat.upstream != present.upstream:
            return False
        # A liveness check does not tell when the upstream started; its end does.
        if not present.started_ms:
            return not (present.is_leaving and self.departure.precedes(heartbeat))
        return present.started_ms == heartbeat.started_ms

    def is_newer(self, heartbeat):
        """Whether a heartbeat is later than the last one of the current lifetime."""
        later = heartbeat.sequence > self.heartbeat.sequence
        return later and self.is_same_lifetime(heartbeat)

    def begin_lifetime(self, heartbeat):
        """Switch to another lifetime.

        Refuses the queued requests of the former one, and drops its running ones
        and its service times.
        """
        effects = self.refuse_waiting(heartbeat)
        self.heartbeat = heartbeat
        self.running = {}
        self.urgency = self.make_urgency()
        self.shed_share = ShedShare()
        self.rate_limit = RateLimit()
        return effects

    def note_heartbeat(self, heartbeat):
        """Store the newest heartbeat."""
        self.heartbeat = heartbeat

    def refuse_waiting(self, message):
        """Refuse all queued requests as not run, so that they go elsewhere."""
        waiting, self.waiting = self.waiting, []
        return [self._refuse(t, Kind.UPSTREAM_LEFT, "gate was closed") for t in waiting]

    # Events.

    def on_heartbeat(self, heartbeat, now):
        """Handle a heartbeat; returns effects."""
        self.departure.expire(now)
        event = "leaving" if heartbeat.is_leaving else "ready"
        known = self.heartbeat
        if known is None or not known.started_ms > heartbeat.started_ms:
            self.last_heartbeat_at = now
        return self._fire(event, heartbeat) + self._start_waiting(now)

    def on_upstream_ended(self, upstream, reported_ms, now):
        """Close the gate for an upstream that has reported its end.

        Parameters
        ----------
        upstream : str
            Its identifier.
        reported_ms : int
            When it was reported, Unix milliseconds.
        now : float
            Time in seconds.
        """
        known = self.heartbeat
        if known is None or (known.upstream == upstream and not known.started_ms):
            # Prevents a delayed heartbeat of this upstream from opening the gate.
            self.departure.record_report(upstream, reported_ms, now)
        if known is None or known.upstream != upstream:
            return []
        return self._close(known.started_ms, now)

    def on_own_entry(self, entry, now):
        """Take over the departure that an earlier process of this node has published.

        Parameters
        ----------
        entry : UpstreamEntry
            Upstream in the listed entry of this host.
        now : float
            Time in seconds.
        """
        if not entry.names_departure:
            return []
        self.departure.record_lifetime(entry.name, entry.started_ms)
        known = self.heartbeat
        if known is None or self.is_after_end(known):
            return []
        return self._close(entry.started_ms, now)

    def _close(self, started_ms, now):
        """Handle that the current upstream has left."""
        known = self.heartbeat
        last = Heartbeat(
            known.upstream,
            known.service,
            known.address,
            started_ms,
            known.sequence,
            known.slots,
            True,
        )
        return self.on_heartbeat(last, now)

    def on_liveness_check(self, heartbeat, now):
        """Use the result of a liveness check if no upstream is known yet."""
        return self.on_heartbeat(heartbeat, now) if self.state == "unknown" else []

    def on_routes_known(self):
        """Note that the routes are known; until then all requests are refused."""
        self.has_routes = True

    def on_suspects(self, suspects, now):
        """Apply the `Suspects` known at present; returns effects."""
        self.isolation.suspects = suspects
        out = [t for t in self.waiting if t.fingerprint in suspects.quarantined]
        for ticket in out:
            self.cancel(ticket.number)
        refusals = [RefuseWork(t.number, suspended(t)) for t in out]
        return refusals + self._start_waiting(now)

    def stop(self):
        """Refuse queued and new requests because the node is stopping."""
        return self._fire("stop", None)

    def on_upstream_lost(self, event):
        """Close the gate of an upstream that is ``silent`` or ``unreachable``."""
        return self._fire(event, None)

    def admit(self, ticket, now):
        """Start (`StartWork`), refuse (`RefuseWork`) or queue a request.

        Returns effects, which may concern other queued requests too.
        """
        refusal = find_refusal(self, ticket)
        if refusal is not None:
            return [RefuseWork(ticket.number, refusal)]
        wait = self.expected_wait(ticket, now)
        if ticket.crosses_link and self._is_link_full(ticket, now + wait):
            detail = f"{ticket.service}: answer would miss its target on the full link"
            hint = self.uplink.delay(ticket.route)
            return [RefuseWork(ticket.number, Refused(Kind.LINK_FULL, detail, hint))]
        is_in_time = self.urgency.meets_deadline(ticket, now + wait)
        if not is_in_time or self._exceeds_late_limit(ticket, now, wait):
            detail = (
                f"expected wait {wait:.3f} s, {len(self.waiting)} requests queued, "
                f"{ticket.expires - now:.3f} s to the deadline"
            )
            return [self._refuse(ticket, Kind.QUEUE_FULL, detail, self._wait_hint(now))]
        if wait > 0 and self.urgency.is_late(ticket, now + wait):
            self.admitted_late.add(ticket.number)
        self.waiting.append(ticket)
        if ticket.crosses_link:
            self.uplink.reserve(ticket.number, ticket.route)
        return self._start_waiting(now)

    def finish(self, number, is_answered, now, is_shed=False):
        """Free the slot of a request; returns effects.

        Parameters
        ----------
        number : int
            Number of the request.
        is_answered : bool
            Whether the upstream has answered it.
        now : float
            Time in seconds.
        is_shed : bool
            Whether the upstream has rejected it without running it.
        """
        self.uplink.release(number)
        running = self.running.pop(number, None)
        if running is None:
            return self._start_waiting(now)
        if is_answered:
            self.urgency.service_times.update(running.ticket.route, now - running.since)
        if is_answered or is_shed:
            self.shed_share.note(is_shed)
        return self._start_waiting(now)

    def cancel(self, number):
        """Remove a queued request."""
        self.uplink.release(number)
        self.waiting = [t for t in self.waiting if t.number != number]

    def tick(self, now):
        """Start queued requests; refuse those that can no longer be in time."""
        return self._start_waiting(now)

    def load(self, route):
        """Return the `Load`; the delay on the link is part of its expected time."""
        slots = self.heartbeat.slots if self.heartbeat else 1
        service_time_s = self.urgency.service_times.mean(route)
        usual = service_time_s + self.uplink.delay(route)
        slots = self.rate_limit.slots(slots, service_time_s)
        share = self.shed_share.share
        return Load(len(self.running), len(self.waiting), slots, usual, share)

    def expected_wait(self, ticket, now):
        """Return the expected time until a request would start, in seconds."""
        wait = self._wait_for_slot(ticket, now)
        if self.isolation.is_suspect(ticket):
            ahead = self.isolation.find_ahead(self.waiting, self.running)
            wait = max(wait, self.urgency.total_time(*ahead, now))
        return wait

    def _wait_for_slot(self, ticket, now):
        own = self.urgency.key(ticket, now)
        ahead = [t for t in self.waiting if self.urgency.key(t, now) <= own]
        delay = self.rate_limit.delay(len(ahead), now)
        free = self.heartbeat.slots - len(self.running) - len(self.waiting)
        if free > 0:
            return delay
        work = self.urgency.total_time(ahead, self.running.values(), now)
        return max(delay, work / self.heartbeat.slots)

    def _exceeds_late_limit(self, ticket, now, wait):
        """Whether a request would miss its target and too many such are queued."""
        if wait == 0 or not self.urgency.is_late(ticket, now + wait):
            return False
        late = {t.number for t in self.waiting if self.urgency.is_late(t, now)}
        self.admitted_late.intersection_update(t.number for t in self.waiting)
        return len(late | self.admitted_late) >= self._max_late()

    def _max_late(self):
        """Return how many queued requests may be expected to miss their target."""
        return max(1, int(MAX_LATE_SHARE_OF_SLOTS * self.heartbeat.slots))

    def _is_link_full(self, ticket, start):
        needed = self.urgency.service_times.needed(ticket.route)
        return self.uplink.would_miss_target(
            ticket.route, ticket.target - start - needed
        )

    def _wait_hint(self, now):
        """Return the wait to name in a refusal, in seconds.

        By then all running and queued requests are expected to be finished.
        """
        work = self.urgency.total_time(self.waiting, self.running.values(), now)
        delay = self.rate_limit.delay(len(self.waiting), now)
        return max(MIN_RETRY_WAIT_S, delay, work / self.heartbeat.slots)

    def _start_waiting(self, now):
        if self.state != "open":
            return []
        effects = []
        while len(self.running) < self.heartbeat.slots:
            if not self.waiting or self.rate_limit.delay(0, now) > 0:
                break
            startable = self.isolation.startable(self.waiting, self.running)
            if not startable:
                break
            ticket = min(startable, key=lambda t: self.urgency.key(t, now))
            self.waiting.remove(ticket)
            if self.urgency.meets_deadline(ticket, now):
                self.rate_limit.take()
                self.running[ticket.number] = Running(ticket, now)
                effects.append(StartWork(ticket.number, self.heartbeat))
            else:
                hint = self._wait_hint(now)
                detail = f"too late, {ticket.expires - now:.3f} s to the deadline"
                effects.append(self._refuse(ticket, Kind.QUEUE_TIMEOUT, detail, hint))
        return effects + self._expire_waiting(now)

    def _expire_waiting(self, now):
        """Refuse requests that would miss their deadline, and excess late ones."""
        ordered = self.waiting
        if self.rate_limit.rate is not None:
            ordered = sorted(self.waiting, key=lambda t: self.urgency.key(t, now))
        starts = [now + self.rate_limit.delay(n, now) for n in range(len(ordered))]
        meets = self.urgency.meets_deadline
        out = [
            t for t, start in zip(ordered, starts, strict=True) if not meets(t, start)
        ]
        late = [
            t for t in self.waiting if self.urgency.is_late(t, now) and t not in out
        ]
        late.sort(key=lambda t: self.urgency.key(t, now))
        out += late[self._max_late() :]
        if not out:
            return []
        numbers = {t.number for t in out}
        self.waiting = [t for t in self.waiting if t.number not in numbers]
        hint = self._wait_hint(now)
        return [
            self._refuse(
                t, Kind.QUEUE_TIMEOUT, "deadline or target can no longer be met", hint
            )
            for t in out
        ]

    def _refuse(self, ticket, kind, detail, wait=None):
        """Return the refusal of a request and drop its link reservation."""
        self.uplink.release(ticket.number)
        refusal = Refused(kind, f"{ticket.service}: {detail}", wait)
        return RefuseWork(ticket.number, refusal)

    def _fire(self, event, message):
        before = self.state
        effects = self.chart.fire(self, event, message)
        if self.state != before:
            name = self.heartbeat.upstream if self.heartbeat else "none"
            effects.append(Count("gate_changes_total", self.state))
            effects.append(StateChanged(f"upstream {name}", self.state, event))
        return effects
