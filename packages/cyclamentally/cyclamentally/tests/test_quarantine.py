import pytest

from cyclamentally.model import CrashMark
from cyclamentally.quarantine import fingerprint_of
from cyclamentally.suspects import MARK_LIFETIME_S

POISON = fingerprint_of("GET", "/pairings/0", b"")


def crash(fleet, node, address, is_repeat=True):
    plane = fleet.planes[node]
    marks = [CrashMark(POISON, address, is_repeat)]
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


def test_two_reports_of_the_same_crash_count_once(fleet):
    crash(fleet, "de-1-a", "10.0.0.1:80")
    crash(fleet, "de-1-b", "10.0.0.1:80")
    assert states(fleet) == {False}


def test_answer_on_one_node_clears_the_request_on_all(fleet):
    crash(fleet, "de-1-a", "10.0.0.1:80")
    plane = fleet.planes["gogledd-1-b"]
    fleet.carry_out("gogledd-1-b", plane.quarantine.succeed(POISON))
    fleet.step()
    crash(fleet, "de-1-a", "10.0.0.2:80")
    assert states(fleet) == {False}


def test_request_in_flight_on_upstreams_lost_together_is_not_refused(fleet):
    for number, node in enumerate(["de-1-a", "gogledd-1-b", "de-2-c"]):
        crash(fleet, node, f"10.0.0.{number}:80", is_repeat=False)
    assert states(fleet) == {False}
    crash(fleet, "de-1-a", "10.0.0.9:80", is_repeat=True)
    assert states(fleet) == {True}


def test_quarantine_expires(fleet):
    crash(fleet, "de-1-a", "10.0.0.1:80")
    crash(fleet, "de-1-a", "10.0.0.2:80")
    for plane in fleet.planes.values():
        plane.quarantine.tick(fleet.now + MARK_LIFETIME_S + 1)
    assert states(fleet) == {False}


@pytest.mark.parametrize(
    "other",
    [("POST", "/pairings/0", b""), ("GET", "/pairings/1", b""), ("GET", "/", b"x")],
)
def test_other_requests_have_other_fingerprints(other):
    assert fingerprint_of(*other) != POISON
