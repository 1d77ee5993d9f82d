import pytest

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.versions import ProfileVersion
from cyclamentally_cli.node_client import DomainView
from cyclamentally_cli.rollout import RolloutWaiter

VERSION = ProfileVersion("night", 2, False, "ann", "op", b"")
REFUSED = {"name": "night", "version": 2, "reason": "bad"}


def view(domain="d-1", live=3, current=3, refused=(), version=2):
    versions = {"night": version} if version else {}
    return DomainView(domain, "r", live, current, [], list(refused), versions, 0)


class ScriptedClient:
    def __init__(self, statuses):
        self.statuses = statuses

    def status(self):
        return self.statuses.pop(0) if len(self.statuses) > 1 else self.statuses[0]


@pytest.fixture
def wait():
    def wait(*statuses):
        time = [0.0]

        def pause(seconds):
            time[0] += seconds

        client = ScriptedClient(list(statuses))
        waiter = RolloutWaiter(client, lambda *_: None, lambda: time[0], pause)
        return waiter.wait(VERSION, 5.0)

    return wait


@pytest.mark.parametrize(
    "first",
    [
        Done([view(version=1)]),
        Done([view(current=2)]),
        Done([view(version=None)]),
        Done([view(), view("d-2", current=0, version=None)]),
        Refused(Kind.NODE_UNREACHABLE, "x"),
    ],
)
def test_wait_ends_when_every_domain_is_current(wait, first):
    assert wait(first, first, Done([view()])) == Done(pytest.approx(0.4))


@pytest.mark.parametrize(
    ("status", "text"),
    [
        (Done([view(), view("d-2", refused=[REFUSED])]), "not in force in d-2"),
        (Done([view(), view("d-2", current=0, version=None)]), "in d-2"),
        (Refused(Kind.NODE_UNREACHABLE, "nobody"), "nobody"),
    ],
)
def test_wait_times_out_and_names_the_missing_domains(wait, status, text):
    refused = wait(status)
    assert refused.kind == Kind.NOT_IN_FORCE
    assert text in refused.detail


def test_newer_version_counts_as_in_force(wait):
    assert isinstance(wait(Done([view(version=3)])), Done)
