import pytest
from cyclamentally_platform.bodies import JsonBodyCodec

from cyclamentally.effects import ConfigurationChanged
from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.profiles import MAX_BODY_BYTES
from cyclamentally.tests.support import document_of, version_of
from cyclamentally.versions import VersionTable

BAD = {"services": {}, "routes": {"/x": {"service": "missing"}}}


def tracked_of(table):
    return table.tracked["night"]


def test_newer_version_replaces_older(table):
    table.install(version_of("night", 1))
    effects = table.install(version_of("night", 2))
    assert ConfigurationChanged() in effects
    assert tracked_of(table).installed.version == 2


@pytest.mark.parametrize("number", [1, 2])
def test_older_or_equal_version_is_refused(table, number):
    table.install(version_of("night", 2))
    effects = table.install(version_of("night", number, document_of("other")))
    assert ConfigurationChanged() not in effects
    assert tracked_of(table).profile.services.keys() == {"standings"}


def test_bad_version_leaves_the_last_good_one_in_force(table):
    table.install(version_of("night", 1))
    effects = table.install(version_of("night", 2, BAD))
    assert ConfigurationChanged() not in effects
    assert tracked_of(table).state == "retained"
    assert tracked_of(table).installed.version == 1
    assert table.refused()[0].version == 2
    assert "missing" in table.refused()[0].reason


def test_good_version_after_a_bad_one_is_installed(table):
    table.install(version_of("night", 1))
    table.install(version_of("night", 2, BAD))
    table.install(version_of("night", 3))
    assert tracked_of(table).installed.version == 3
    assert table.refused() == []


def test_deleted_profile_refuses_lower_versions(table):
    table.install(version_of("night", 4))
    table.install(version_of("night", 5, deleted=True))
    assert table.profiles() == {}
    table.install(version_of("night", 1))
    assert table.profiles() == {}
    table.install(version_of("night", 6))
    assert table.profiles().keys() == {"night"}


def test_delta_yields_the_same_body(table):
    other = VersionTable(JsonBodyCodec())
    services = [f"service-{n}" for n in range(50)]
    first = version_of("night", 1, document_of(*services))
    second = version_of("night", 2, document_of(*services, "standings"))
    for version in (first, second):
        table.install(version)
    other.install(first)
    change = table.change_since("night", 1)
    assert change.base == 1
    assert len(change.body) < len(table.change_since("night", 0).body) / 2
    restored = other.decode_change(change)
    assert isinstance(restored, Done)
    assert restored.value.body == second.body
    assert restored.value.version == 2


def test_delta_without_its_base_is_refused(table):
    other = VersionTable(JsonBodyCodec())
    table.install(version_of("night", 1))
    table.install(version_of("night", 2, document_of("other")))
    refused = other.decode_change(table.change_since("night", 1))
    assert refused.kind == Kind.DELTA_UNUSABLE


def test_change_with_a_wrong_hash_is_refused(table):
    table.install(version_of("night", 1))
    change = table.change_since("night", 0)
    change.digest ^= 1
    assert isinstance(VersionTable(JsonBodyCodec()).decode_change(change), Refused)


def test_refused_version_is_forwarded_to_peers(table):
    other = VersionTable(JsonBodyCodec())
    table.install(version_of("night", 1))
    table.install(version_of("night", 2, BAD))
    other.install(other.decode_change(table.change_since("night", 0)).value)
    assert other.refused()[0].version == 2
    assert other.hash == table.hash


def test_body_over_the_limit_is_refused_with_its_size(table):
    version = version_of("night", 1)
    version.body = b" " * (MAX_BODY_BYTES + 1)
    table.install(version)
    assert str(MAX_BODY_BYTES) in table.refused()[0].reason
    assert Kind.PROFILE_TOO_LARGE in table.refused()[0].reason


def test_decompression_bomb_is_refused():
    codec = JsonBodyCodec()
    refused = codec.unpack(codec.pack(b" " * (3 * MAX_BODY_BYTES)))
    assert refused.kind == Kind.PROFILE_TOO_LARGE


def test_hash_depends_on_versions_and_not_on_their_order(table):
    other = VersionTable(JsonBodyCodec())
    for name in ("a", "b"):
        table.install(version_of(name, 1))
    for name in ("b", "a"):
        other.install(version_of(name, 1))
    assert table.hash == other.hash != 0
    assert table.version_sum == other.version_sum == 2
