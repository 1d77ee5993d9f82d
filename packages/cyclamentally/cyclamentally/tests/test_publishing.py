from itertools import count

import pytest
from cyclamentally_platform.bodies import JsonBodyCodec
from cyclamentally_platform.stored import JsonStoredCodec

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.platform import PROFILE_PREFIX, Entry, Listing, Platform
from cyclamentally.publishing import HISTORY_LENGTH, Publisher
from cyclamentally.tests.support import document_of

OUTCOME_UNKNOWN = Refused(Kind.PLATFORM_OUTCOME_UNKNOWN, "no answer")
UNAVAILABLE = Refused(Kind.PLATFORM_UNAVAILABLE, "down")


class MemoryPlatform(Platform):
    """Key-value store in memory, with scripted faults of writes."""

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.faults = []
        self.is_up = True

    def read(self, key):
        if not self.is_up:
            return UNAVAILABLE
        return Done(self.entries.get(key, Entry(key, b"", 0)))

    def read_all(self, prefix):
        found = [e for k, e in self.entries.items() if k.startswith(prefix)]
        return Done(Listing(found, self.revision))

    def watch(self, prefix, cursor, wait):
        return self.read_all(prefix)

    def write(self, key, value, revision):
        fault = self.faults.pop(0) if self.faults and "profiles/" in key else None
        if fault == "down":
            return UNAVAILABLE
        if fault == "lost before":
            return OUTCOME_UNKNOWN
        if self.read(key).value.revision != revision:
            return Refused(Kind.VERSION_CONFLICT, "changed")
        self.revision += 1
        self.entries[key] = Entry(key, value, self.revision)
        if callable(fault):
            fault()
        return OUTCOME_UNKNOWN if fault else Done(self.revision)

    def close(self):
        pass


@pytest.fixture
def platform():
    return MemoryPlatform()


@pytest.fixture
def make_publisher(platform):
    numbers = count()

    def make(writer):
        codec = JsonBodyCodec()
        stored = JsonStoredCodec(codec)
        return Publisher(platform, stored, codec, writer, lambda: f"op{next(numbers)}")

    return make


@pytest.fixture
def ann(make_publisher):
    return make_publisher("ann")


@pytest.fixture
def bob(make_publisher):
    return make_publisher("bob")


def current(publisher):
    return publisher.get("night").value.version


def test_put_increments_the_version(ann):
    assert ann.put("night", document_of("a")).value.version == 1
    assert ann.put("night", document_of("b")).value.version == 2
    assert current(ann).writer == "ann"


def test_bad_profile_is_not_written(ann, platform):
    refused = ann.put("night", {"routes": {"/x": {"service": "no"}}})
    assert refused.kind == Kind.PROFILE_INVALID
    assert platform.entries == {}


def test_conflict_on_the_expected_version_names_the_writer(ann, bob):
    ann.put("night", document_of("a"))
    bob.put("night", document_of("b"), expected=1)
    refused = ann.put("night", document_of("c"), expected=1)
    assert refused.kind == Kind.VERSION_CONFLICT
    assert "version 2, written by bob" in refused.detail
    assert b"/b" in current(ann).body


def test_concurrent_write_after_the_read_conflicts(ann, bob, platform):
    ann.put("night", document_of("a"))
    write = platform.write

    def write_after_bob(key, value, revision):
        platform.write = write
        bob.put("night", document_of("b"))
        return write(key, value, revision)

    platform.write = write_after_bob
    ann.platform = platform
    refused = ann.put("night", document_of("c"))
    assert refused.kind == Kind.VERSION_CONFLICT
    assert current(ann).writer == "bob"
    assert current(ann).version == 2


@pytest.mark.parametrize("fault", ["lost after", "lost before"])
def test_lost_answer_ends_in_one_applied_write(ann, platform, fault):
    platform.faults = [fault]
    assert ann.put("night", document_of("a")).value.version == 1
    assert current(ann).version == 1


def test_lost_answer_of_a_superseded_write_is_reported_as_applied(ann, bob, platform):
    platform.faults = [lambda: bob.put("night", document_of("b"))]
    assert ann.put("night", document_of("a")).value.version == 1
    assert current(ann).writer == "bob"
    assert current(ann).version == 2


def test_lost_answer_without_any_later_one_is_unknown(ann, platform):
    platform.faults = ["lost before"] * 5
    refused = ann.put("night", document_of("a"))
    assert refused.kind == Kind.PLATFORM_OUTCOME_UNKNOWN


def test_lost_answer_then_outage_is_unknown_and_not_unavailable(ann, platform):
    platform.faults = ["lost after", "down", "down", "down", "down"]
    refused = ann.put("night", document_of("a"))
    assert refused.kind == Kind.PLATFORM_OUTCOME_UNKNOWN


def test_outage_before_the_write_says_that_nothing_was_written(ann, platform):
    platform.is_up = False
    refused = ann.put("night", document_of("a"))
    assert refused.kind == Kind.PLATFORM_UNAVAILABLE


def test_version_continues_after_deletion(ann):
    ann.put("night", document_of("a"))
    assert ann.delete("night").value.version == 2
    assert ann.delete("night").kind == Kind.PROFILE_MISSING
    assert ann.put("night", document_of("a")).value.version == 3


def test_history_keeps_the_last_versions(ann):
    for number in range(HISTORY_LENGTH + 5):
        ann.put("night", document_of(f"s{number}"))
    versions = [version.version for version in ann.history("night").value]
    assert versions == list(range(5, HISTORY_LENGTH + 6))


def test_revert_writes_a_higher_version(ann):
    ann.put("night", document_of("a"))
    ann.put("night", document_of("b"))
    assert ann.revert("night", 1).value.version == 3
    assert b"/a" in current(ann).body
    assert ann.revert("night", 99).kind == Kind.PROFILE_MISSING


@pytest.mark.parametrize(
    "value", [b"", b"[]", b"{", b'{"version": 0}', b'{"version": "x"}', b"\xff"]
)
def test_malformed_stored_value_is_refused(ann, platform, value):
    platform.entries[PROFILE_PREFIX + "night"] = Entry("profiles/night", value, 1)
    assert ann.get("night").kind == Kind.PROFILE_INVALID
