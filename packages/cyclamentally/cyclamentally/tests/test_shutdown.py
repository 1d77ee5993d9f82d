import pytest

from cyclamentally.effects import StartTimer
from cyclamentally.errors import Ran
from cyclamentally.shutdown import (
    AnnounceShutdown,
    CheckIdle,
    CloseConnections,
    EndUnanswered,
    ExitProcess,
    Shutdown,
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
    assert [t.event for t in timers] == ["callers_left", "time_over", "exit_due"]
    delays = [t.delay_s for t in timers]
    assert delays == sorted(delays)
    # Unanswered requests may be ended in the last sixth of the grace period.
    assert 5 / 6 * grace_s <= delays[1]
    assert delays[2] < grace_s


def test_process_exits_only_after_connections_are_closed(shutdown, fire):
    assert fire("stop", "callers_left") == [CloseConnections, CheckIdle]
    assert fire("busy") == [StartTimer]
    assert fire("check", "all_idle") == [ExitProcess]
    assert shutdown.state == "ended"


@pytest.mark.parametrize(
    "events",
    [["stop"], ["stop", "callers_left"]],
    ids=["leaving", "closing"],
)
def test_requests_in_flight_are_ended_before_the_process_exits(shutdown, fire, events):
    fire(*events)
    effects = fire("time_over")
    assert effects[0] is EndUnanswered
    assert ExitProcess not in effects
    assert shutdown.state == "closing"
    assert fire("exit_due") == [ExitProcess]


def test_refusals_of_a_shutdown_tell_whether_the_request_may_have_run():
    assert node_stopping().answer.ran is Ran.NO
    assert node_stopping().wait > 0
    assert not_finished().answer.ran is Ran.UNKNOWN
