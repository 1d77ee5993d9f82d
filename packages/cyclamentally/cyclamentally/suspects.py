"""Requests that may crash upstreams, by the upstreams that ended under them."""

from cyclamentally.chart import runs_chart
from cyclamentally.effects import Count, StateChanged
from cyclamentally.model import CrashMark
from cyclamentally.records import Record

# Time from the last crash until the marks of a request expire.
MARK_LIFETIME_S = 600.0
# Bounds the memory for marks.
MAX_SUSPECTS = 2_000


class SuspicionRule(Record):
    """When a request is quarantined.

    Parameters
    ----------
    crashes : int
        Upstreams that it must have crashed.
    lifetime_s : float
        Time from the last crash until its marks expire, in seconds.
    """

    __slots__ = ("crashes", "lifetime_s")

    def __init__(self, crashes, lifetime_s):
        self.crashes = crashes
        self.lifetime_s = lifetime_s


class Suspects(Record):
    """Fingerprints of the marked and of the quarantined requests."""

    __slots__ = ("marked", "quarantined")

    def __init__(self, marked=frozenset(), quarantined=frozenset()):
        self.marked = marked
        self.quarantined = quarantined


class Crash(Record):
    """The crash of an upstream, with the time in seconds."""

    __slots__ = ("address", "is_repeat", "now")

    def __init__(self, address, is_repeat, now):
        self.address = address
        self.is_repeat = is_repeat
        self.now = now


@runs_chart("suspect_request")
class SuspectRequest:
    """A request that may crash upstreams; runs the chart ``suspect_request``.

    Parameters
    ----------
    fingerprint : int
        Hash of the request.
    rule : SuspicionRule
        When it is quarantined, and for how long.
    """

    __slots__ = ("crashes", "expires", "fingerprint", "rule", "state")

    def __init__(self, fingerprint, rule):
        self.fingerprint = fingerprint
        self.rule = rule
        self.state = self.chart.initial
        # Upstreams that ended, and whether the request was a repeat there.
        self.crashes = {}
        self.expires = 0.0

    def fire(self, event, crash=None):
        """Run an event and return the effects."""
        before = self.state
        effects = self.chart.fire(self, event, crash)
        if self.state == "quarantined" != before:
            subject = f"request {self.fingerprint:016x}"
            detail = ", ".join(sorted(self.crashes))
            effects.append(StateChanged(subject, "quarantined", detail))
            effects.append(Count("quarantines_total"))
        return effects

    def is_confirmed(self, crash):
        """Whether enough upstreams have crashed, one of them under a repeat.

        The order does not count: nodes may learn of the crashes in any.
        """
        crashes = {**self.crashes, crash.address: crash.is_repeat}
        return any(crashes.values()) and len(crashes) >= self.rule.crashes

    def add_mark(self, crash):
        """Add the upstream and extend the lifetime of the marks."""
        self.crashes[crash.address] = crash.is_repeat
        self.expires = crash.now + self.rule.lifetime_s

    def clear(self, crash):
        """Drop the marks."""
        self.crashes.clear()


class MarkChanges(Record):
    """Effects of added or cleared marks, and those that were new to this node."""

    __slots__ = ("effects", "fresh")

    def __init__(self, effects, fresh):
        self.effects = effects
        self.fresh = fresh


class SuspectTable:
    """Requests with crash marks.

    Parameters
    ----------
    rule : SuspicionRule
        When a request is quarantined, and for how long.
    """

    __slots__ = ("rule", "suspects")

    def __init__(self, rule):
        self.rule = rule
        self.suspects = {}

    def fingerprints(self, state):
        """Return the fingerprints of the requests in a state."""
        suspects = self.suspects.values()
        return frozenset(s.fingerprint for s in suspects if s.state == state)

    @property
    def present(self):
        """The `Suspects` at present."""
        return Suspects(self.fingerprints("marked"), self.fingerprints("quarantined"))

    def marks_of(self, fingerprints):
        """Return all `CrashMark` objects of requests with some fingerprints."""
        found = [self.suspects[x] for x in fingerprints if x in self.suspects]
        return [
            CrashMark(suspect.fingerprint, address, is_repeat)
            for suspect in found
            for address, is_repeat in suspect.crashes.items()
        ]

    def add(self, marks, now):
        """Add crash marks; returns `MarkChanges`.

        Parameters
        ----------
        marks : list of CrashMark
            Marks, some of which may be known.
        now : float
            Time in seconds.
        """
        effects, fresh = [], []
        for mark in marks:
            suspect = self.suspects.get(mark.fingerprint)
            if suspect is None:
                if len(self.suspects) >= MAX_SUSPECTS:
                    effects.append(Count("marks_dropped_total", "table_full"))
                    continue
                suspect = SuspectRequest(mark.fingerprint, self.rule)
                self.suspects[mark.fingerprint] = suspect
            if mark.address in suspect.crashes:
                continue
            effects += suspect.fire("crash", Crash(mark.address, mark.is_repeat, now))
            fresh.append(mark)
        return MarkChanges(effects, fresh)

    def clear(self, fingerprints):
        """Clear the marks of requests that were answered; returns `MarkChanges`."""
        effects, fresh = [], []
        for fingerprint in fingerprints:
            suspect = self.suspects.get(fingerprint)
            if suspect is not None and suspect.state == "marked":
                effects += suspect.fire("success")
                fresh.append(fingerprint)
        return MarkChanges(effects, fresh)

    def expire(self, now):
        """Drop expired marks; returns whether any have expired."""
        has_expired = False
        for fingerprint, suspect in list(self.suspects.items()):
            if suspect.state != "unmarked" and now >= suspect.expires:
                suspect.fire("expire")
                has_expired = True
            if suspect.state == "unmarked":
                del self.suspects[fingerprint]
        return has_expired
