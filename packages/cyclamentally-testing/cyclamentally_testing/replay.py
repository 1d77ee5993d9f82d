"""Replay of a recorded trace without sockets and threads.

A trace is a TOML file with ``[[events]]`` in order of time. Calls state their
expected outcome and how often upstreams are expected to execute them.
"""

import tomllib
from heapq import heappop, heappush
from itertools import count
from pathlib import Path
from random import Random
from uuid import UUID

from cyclamentally.admission import Admission, Denied, Granted
from cyclamentally.call_messages import ClaimResult
from cyclamentally.claims import Claimant, ClaimDecided
from cyclamentally.errors import ANSWERS, Kind, Ran, Refused
from cyclamentally.idempotency import GRANTED, REPEATED, KeyOwner
from cyclamentally.messages import Summary
from cyclamentally.model import MemberRecord, StoredAnswer, Upstream
from cyclamentally.profiles import check_profile
from cyclamentally.quarantine import CRASHES_TO_QUARANTINE, fingerprint_of
from cyclamentally.records import Record
from cyclamentally.retries import Failure, RequestAttempts, no_route
from cyclamentally.routing import NearestChooser
from cyclamentally.snapshot import EMPTY_SNAPSHOT, build_snapshot

IDEMPOTENT_METHODS = ("GET", "HEAD", "PUT", "DELETE")
EPOCH_MS = 1_800_000_000_000
TICK_S = 0.1
MS_PER_S = 1_000
NODE = "replay"


class CallOutcome(Record):
    """Outcome of a call of the trace.

    Parameters
    ----------
    name : str
        Name of the call in the trace.
    kind : str
        ``answered``, ``repeated`` or a kind of refusal.
    ran : int
        How often upstreams executed it.
    finished : float
        Time in seconds.
    """

    __slots__ = ("name", "kind", "ran", "finished")

    def __init__(self, name, kind, ran, finished):
        self.name = name
        self.kind = kind
        self.ran = ran
        self.finished = finished


class TraceUpstream(Record):
    """An upstream of the trace and its current behaviour."""

    __slots__ = ("upstream", "behaviour", "latency", "is_present")

    def __init__(self, upstream, behaviour, latency):
        self.upstream = upstream
        self.behaviour = behaviour
        self.latency = latency
        self.is_present = True


class TraceCall(Record):
    """A call of the trace in flight."""

    __slots__ = ("event", "attempts", "ticket", "fingerprint", "serial")

    def __init__(self, event, attempts, fingerprint):
        self.event = event
        self.attempts = attempts
        self.ticket = ""
        self.fingerprint = fingerprint
        self.serial = 0


class Replay:
    """Runs a trace with the decision objects of the product.

    Parameters
    ----------
    document : dict
        Content of the trace file.
    profile : Profile
        Profile that the services follow.
    seed : int
        Seed of the choice among upstreams.
    """

    __slots__ = (
        "admission",
        "calls",
        "claimant",
        "crashed",
        "document",
        "executions",
        "heap",
        "now",
        "numbers",
        "order",
        "outcomes",
        "profile",
        "snapshot",
        "upstreams",
    )

    def __init__(self, document, profile, seed=1):
        self.document = document
        self.profile = profile
        self.now = 0.0
        self.heap = []
        self.order = count()
        self.numbers = count(1)
        self.upstreams = {}
        self.calls = {}
        self.outcomes = []
        self.executions = {}
        self.crashed = {}
        self.snapshot = EMPTY_SNAPSHOT
        self.admission = Admission(NearestChooser("d-1", "r", Random(seed)))
        owner = KeyOwner(NODE, "d-1", _own_summary, 0)
        record = MemberRecord(NODE, 0, "alive", "d-1", "r", "10.0.0.1:1", [], 0)
        owner.update([record], 0)
        self.claimant = Claimant(owner, _own_summary)

    def run(self):
        """Return the list of `CallOutcome` in order of completion."""
        for event in self.document["events"]:
            self._schedule(event["at"], getattr(self, f"_on_{event['event']}"), event)
        last = max(event["at"] for event in self.document["events"])
        for number in range(int((last + self.document["tail_s"]) / TICK_S)):
            self._schedule(number * TICK_S, self._tick, None)
        while self.heap:
            self.now, _, action, argument = heappop(self.heap)
            action(argument)
        return self.outcomes

    def _schedule(self, time, action, argument):
        heappush(self.heap, (time, next(self.order), action, argument))

    def _now_ms(self):
        return EPOCH_MS + int(self.now * MS_PER_S)

    def _tick(self, _):
        self.claimant.owner.tick(self._now_ms())
        self._carry_out(self.admission.tick(self.now))

    def _on_announce(self, event):
        address = event["address"]
        upstream = Upstream(
            event["service"],
            self.profile.name,
            address,
            event.get("slots", 10),
            event.get("connections", 120),
            event.get("draining", False),
        )
        old = self.upstreams.get(address)
        behaviour = old.behaviour if old else "good"
        latency = event.get("latency_ms", 5) / MS_PER_S
        self.upstreams[address] = TraceUpstream(upstream, behaviour, latency)
        self._rebuild()

    def _on_withdraw(self, event):
        self.upstreams[event["address"]].is_present = False
        self._rebuild()

    def _on_behave(self, event):
        upstream = self.upstreams[event["address"]]
        upstream.behaviour = event["behaviour"]
        upstream.latency = (
            event.get("latency_ms", upstream.latency * MS_PER_S) / MS_PER_S
        )

    def _rebuild(self):
        present = [u.upstream for u in self.upstreams.values() if u.is_present]
        record = MemberRecord(NODE, 0, "alive", "d-1", "r", "10.0.0.1:1", present, 0)
        self.snapshot = build_snapshot(
            self.snapshot.generation + 1, {self.profile.name: self.profile}, [record]
        )
        self._carry_out(self.admission.update(self.snapshot, self.now))

    def _on_call(self, event):
        route = self.snapshot.find_route(event["path"])
        if route is None:
            self._end(event["name"], no_route(event["path"]).kind)
            return
        body = event.get("body", "").encode()
        fingerprint = fingerprint_of(event["method"], event["path"], body)
        if len(self.crashed.get(fingerprint, ())) >= CRASHES_TO_QUARANTINE:
            self._end(event["name"], Kind.REQUEST_QUARANTINED)
            return
        policy = self.snapshot.clusters[route.service].policy
        allowed_ms = event.get("deadline_ms", policy.timeout_ms)
        attempts = RequestAttempts(
            next(self.numbers),
            route,
            policy,
            event["method"] in IDEMPOTENT_METHODS,
            self.now + allowed_ms / MS_PER_S,
        )
        call = TraceCall(event, attempts, fingerprint)
        self.calls[attempts.number] = call
        if "key" in event and not attempts.is_idempotent:
            self._claim(call, allowed_ms)
        else:
            self._admit(call)

    def _claim(self, call, allowed_ms):
        call.ticket = f"ticket-{call.attempts.number}"
        key = _make_key(call.event["key"], call.event.get("minted", self.now))
        call.event = call.event | {"minted_key": key}
        effects = self.claimant.ask(
            key, call.fingerprint, call.ticket, allowed_ms, self._now_ms()
        )
        (judged,) = [effect for effect in effects if isinstance(effect, ClaimDecided)]
        verdict = judged.verdict
        if verdict.kind == GRANTED:
            self._admit(call)
            return
        kind = "repeated" if verdict.kind == REPEATED else verdict.kind
        self._end(call.event["name"], kind)

    def _admit(self, call):
        self._carry_out(self.admission.request(call.attempts.call(), self.now))

    def _carry_out(self, effects):
        for effect in effects:
            if isinstance(effect, Granted):
                self._start(effect)
            elif isinstance(effect, Denied):
                call = self.calls[effect.number]
                call.attempts.deny(effect.refusal, self.now)
                self._settle(call)

    def _start(self, granted):
        call = self.calls[granted.number]
        call.attempts.grant(granted.location)
        call.serial += 1
        address = granted.location.upstream.address
        upstream = self.upstreams[address]
        kind, delay = self._attempt(call, upstream)
        remaining = call.attempts.deadline - self.now
        if delay >= remaining:
            kind, delay = Kind.UPSTREAM_TIMEOUT, remaining
        self._schedule(self.now + delay, self._finish, (call, kind, address))

    def _attempt(self, call, upstream):
        """Return the outcome of an attempt and its duration in seconds."""
        behaviour = upstream.behaviour
        if behaviour == "down":
            return Kind.UPSTREAM_UNREACHABLE, 0.0
        if behaviour == "shed":
            return Kind.UPSTREAM_OVERLOADED, 0.0
        name = call.event["name"]
        self.executions[name] = self.executions.get(name, 0) + 1
        if behaviour == "crash" or call.event.get("is_deadly"):
            upstream.behaviour = "down"
            return Kind.UPSTREAM_FAILED, upstream.latency / 2
        if behaviour == "truncate":
            return Kind.UPSTREAM_TRUNCATED, upstream.latency
        return None, upstream.latency

    def _finish(self, argument):
        call, kind, address = argument
        if kind is None:
            call.attempts.answer()
            self.crashed.pop(call.fingerprint, None)
        else:
            if kind == Kind.UPSTREAM_FAILED:
                self.crashed.setdefault(call.fingerprint, set()).add(address)
            call.attempts.fail(Failure(Refused(kind, address), self.now))
        effects = self.admission.finish(call.attempts.number, kind, self.now)
        if call.attempts.state == "waiting":
            self._admit(call)
        else:
            self._settle(call)
        self._carry_out(effects)

    def _settle(self, call):
        attempts = call.attempts
        kind = "answered" if attempts.state == "answered" else attempts.refusal.kind
        if call.ticket:
            self._report(call, kind)
        self._end(call.event["name"], kind)

    def _report(self, call, kind):
        outcome, kept = "answered", StoredAnswer("200 OK", [], [], b"")
        if kind != "answered":
            is_unknown = ANSWERS[kind].ran == Ran.UNKNOWN
            outcome, kept = ("unknown" if is_unknown else "not_run"), None
        key = call.event["minted_key"]
        result = ClaimResult(_own_summary(), key, call.ticket, outcome, kept)
        self.claimant.report(key, call.ticket, outcome, result.answer, self._now_ms())

    def _end(self, name, kind):
        ran = self.executions.get(name, 0)
        self.outcomes.append(CallOutcome(name, str(kind), ran, self.now))


def _own_summary():
    return Summary(NODE, "10.0.0.1:1", "r", 0, 0, 0, True)


def _make_key(number, minted):
    minted_ms = EPOCH_MS + int(minted * MS_PER_S)
    value = (minted_ms << 80) | (7 << 76) | (2 << 62) | number
    return f"d-1.{UUID(int=value)}"


def load_trace(path):
    """Return the document of a trace and the checked profile that it names."""
    path = Path(path)
    document = tomllib.loads(path.read_text())
    profile_path = path.parent / document["profile"]
    content = tomllib.loads(profile_path.read_text())
    return document, check_profile(profile_path.stem, content).value
