import pytest

from cyclamentally.model import CrashMark
from cyclamentally.quarantine import MARK_S, fingerprint_of

POISON = fingerprint_of("GET", "/pairings/0", b"")


def crash(fleet, node, address, fingerprint=POISON):
    plane = fleet.planes[node]
    marks = [CrashMark(fingerprint, address)]
    fleet.carry_out(node, plane.quarantine.report(marks, fleet.now))
    fleet.step()


def states(fleet):
    return {
        POISON in plane.quarantine.fingerprints("quarantined")
        for plane in fleet.planes.values()
    }


def test_request_that_crashed_two_upstreams_is_refused_everywhere(fleet):
    crash(fleet, "de-1-a", "10.0.0.1:80")
    assert states(fleet) == {False}
    crash(fleet, "gogledd-2-c", "10.0.0.2:80")
    assert states(fleet) == {True}


def test_two_reports_of_one_loss_are_one(fleet):
    crash(fleet, "de-1-a", "10.0.0.1:80")
    crash(fleet, "de-1-b", "10.0.0.1:80")
    assert states(fleet) == {False}


def test_answer_in_between_clears_the_request(fleet):
    crash(fleet, "de-1-a", "10.0.0.1:80")
    for plane in fleet.planes.values():
        plane.quarantine.succeed(POISON)
    crash(fleet, "de-1-a", "10.0.0.2:80")
    assert states(fleet) == {False}


def test_quarantine_ends(fleet):
    crash(fleet, "de-1-a", "10.0.0.1:80")
    crash(fleet, "de-1-a", "10.0.0.2:80")
    for plane in fleet.planes.values():
        plane.quarantine.tick(fleet.now + MARK_S + 1)
    assert states(fleet) == {False}


@pytest.mark.parametrize(
    "other",
    [("POST", "/pairings/0", b""), ("GET", "/pairings/1", b""), ("GET", "/", b"x")],
)
def test_other_requests_have_other_fingerprints(other):
    assert fingerprint_of(*other) != POISON
