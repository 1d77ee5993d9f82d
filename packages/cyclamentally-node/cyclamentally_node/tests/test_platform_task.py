"""Outages of the platform, missed changes and malformed stored values."""

from threading import Event

import pytest
from cyclamentally_platform.bodies import JsonBodyCodec
from cyclamentally_platform.stored import JsonStoredCodec
from pykka import ThreadingActor

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.platform import Entry, Listing, Platform
from cyclamentally.publishing import StoredProfile
from cyclamentally.versions import ProfileVersion
from cyclamentally_node.platform_task import PlatformTask
from cyclamentally_node.task_messages import (
    AttachControl,
    PlatformState,
    PlatformVersions,
    ReadSeeds,
    SeedsFound,
    SetWatch,
)

TIMEOUT_S = 10.0
DOWN = Refused(Kind.PLATFORM_UNAVAILABLE, "down")
CODEC = JsonStoredCodec(JsonBodyCodec())


def entry(number):
    version = ProfileVersion("night", number, False, "ann", "op", b"{}")
    value = CODEC.encode(StoredProfile(version, []))
    return Entry("profiles/night", value, number)


def listing(*entries, cursor=0):
    return Done(Listing(list(entries), cursor))


class ScriptedPlatform(Platform):
    """Store that answers calls from a script, then waits as without changes."""

    def __init__(self, script):
        self.script = script
        self.calls = []
        self.closed = Event()

    def answer(self, *call):
        self.calls.append(call)
        if self.script:
            return self.script.pop(0)
        self.closed.wait(TIMEOUT_S)
        return DOWN

    def read(self, key):
        return self.answer("read")

    def read_all(self, prefix):
        return self.answer("read_all")

    def watch(self, prefix, cursor, wait):
        return self.answer("watch", cursor)

    def write(self, key, value, revision):
        return self.answer("write")

    def close(self):
        self.closed.set()


class Collector(ThreadingActor):
    """Records messages; sets ``enough`` on reaching the wanted number."""

    use_daemon_thread = True

    def __init__(self, wanted, enough):
        super().__init__()
        self.wanted = wanted
        self.enough = enough
        self.messages = []

    def on_receive(self, message):
        if message == "messages":
            return list(self.messages)
        self.messages.append(message)
        if len(self.messages) == self.wanted:
            self.enough.set()
        return None


@pytest.fixture
def run_script():
    """Return a function that runs a script; it returns calls and messages."""
    started = []

    def run_script(script, wanted, trigger):
        enough = Event()
        platform = ScriptedPlatform(script)
        control = Collector.start(wanted, enough)
        meters = Collector.start(0, Event())
        task = PlatformTask.start(platform, CODEC, 1.0, "10.0.0.1:1", "d-1", meters)
        started.append((platform, [task, control, meters]))
        task.tell(AttachControl(control))
        task.tell(trigger)
        assert enough.wait(TIMEOUT_S)
        return platform.calls, control.ask("messages")[:wanted]

    yield run_script
    for platform, tasks in started:
        platform.close()
        for task in tasks:
            task.stop()


def summary(messages):
    lines = []
    for message in messages:
        if isinstance(message, PlatformState):
            lines.append("up" if message.is_reachable else "down")
        elif isinstance(message, PlatformVersions):
            numbers = [version.version for version in message.versions]
            lines.append((numbers, message.is_complete))
        elif isinstance(message, SeedsFound):
            lines.append(message.addresses)
    return lines


def test_watch_continues_from_the_cursor(run_script):
    script = [listing(entry(1), cursor=5), listing(entry(2), cursor=6)]
    calls, messages = run_script(script, 4, SetWatch(True))
    assert calls[:2] == [("read_all",), ("watch", 5)]
    assert summary(messages) == ["up", ([1], True), "up", ([2], False)]


def test_all_profiles_are_read_again_after_an_outage(run_script):
    script = [listing(entry(1), cursor=5), DOWN, DOWN, listing(entry(3), cursor=9)]
    calls, messages = run_script(script, 6, SetWatch(True))
    assert calls[:4] == [("read_all",), ("watch", 5), ("read_all",), ("read_all",)]
    expected = ["up", ([1], True), "down", "down", "up", ([3], True)]
    assert summary(messages) == expected


def test_malformed_value_does_not_hide_the_others(run_script):
    broken = Entry("profiles/broken", b"{", 4)
    _, messages = run_script([listing(broken, entry(1))], 2, SetWatch(True))
    assert summary(messages) == ["up", ([1], True)]


def test_reading_seeds_is_retried_until_it_succeeds(run_script):
    seeds = listing(Entry("seeds/d-1/0", b"10.0.0.2:1", 1))
    calls, messages = run_script([DOWN, DOWN, seeds], 1, ReadSeeds())
    assert len(calls) == 3
    assert summary(messages) == [["10.0.0.2:1"]]
