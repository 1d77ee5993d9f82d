from math import inf

import pytest

from cyclamentally.effects import StartTimer
from cyclamentally.errors import Ran
from cyclamentally.shutdown import (
    AnnounceShutdown,
    CheckIdle,
    CloseConnections,
    EndUnanswered,
    ExitProcess,
    LateRequests,
    Shutdown,
    StopReuse,
    node_stopping,
    not_finished,
)


@pytest.fixture
def shutdown():
    return Shutdown(6.0)


@pytest.fixture
def fire(shutdown):
    """Fires events and returns the types of the effects of the last one."""

    def run(*events):
        for event in events:
            effects = shutdown.fire(event) or ()
        return [type(effect) for effect in effects]

    return run


@pytest.mark.parametrize("grace_s", [1.0, 3.0, 6.0, 30.0])
def test_steps_come_in_order_within_any_grace_period(grace_s):
    announced, *timers = Shutdown(grace_s).fire("stop")
    assert isinstance(announced, AnnounceShutdown)
    assert all(isinstance(timer, StartTimer) for timer in timers)
    assert [t.event for t in timers] == [
        "withdraw",
        "callers_left",
        "time_over",
        "exit_due",
    ]
    delays = [t.delay_s for t in timers]
    assert delays == sorted(delays)
    assert delays[1] < announced.accept_s < announced.finish_s == delays[2]
    # Unanswered requests may be ended in the last sixth of the grace period.
    assert 5 / 6 * grace_s <= announced.finish_s
    assert delays[3] < grace_s


def test_request_that_comes_late_in_a_long_grace_period_is_not_passed_on():
    announced, *_ = Shutdown(10.0).fire("stop")
    late = LateRequests()
    late.start_shutdown(announced.accept_s, announced.finish_s)
    assert late.may_start(2.6, 20.0)
    assert not late.may_start(3.0, 20.0)
    assert late.may_start(3.1, 8.4)


def test_process_exits_only_after_connections_are_closed(shutdown, fire):
    assert fire("stop", "callers_left") == [StopReuse, CheckIdle]
    assert fire("busy") == [StartTimer]
    assert fire("check") == [CheckIdle]
    assert fire("all_idle") == [CloseConnections, CheckIdle]
    assert fire("busy") == [StartTimer]
    assert fire("check", "all_idle") == [ExitProcess]
    assert shutdown.state == "ended"


@pytest.mark.parametrize(
    "events",
    [["stop"], ["stop", "callers_left"], ["stop", "callers_left", "all_idle"]],
    ids=["leaving", "finishing", "closing"],
)
def test_requests_in_flight_are_ended_before_the_process_exits(shutdown, fire, events):
    fire(*events)
    effects = fire("time_over")
    assert effects[0] is EndUnanswered
    assert ExitProcess not in effects
    assert shutdown.state == "closing"
    assert fire("exit_due") == [ExitProcess]


@pytest.mark.parametrize(
    ("now", "expires", "may_start"),
    [(13.0, 99.0, True), (13.1, 15.0, True), (13.1, 15.2, False), (15.2, 15.3, False)],
)
def test_late_request_is_passed_on_only_if_it_ends_in_time(now, expires, may_start):
    late = LateRequests()
    assert late.may_start(now, inf)
    late.start_shutdown(13.0, 15.1)
    assert late.may_start(now, expires) == may_start


def test_refusals_of_a_shutdown_tell_whether_the_request_may_have_run():
    assert node_stopping().answer.ran is Ran.NO
    assert node_stopping().wait > 0
    assert not_finished().answer.ran is Ran.UNKNOWN
