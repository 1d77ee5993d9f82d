from importlib.resources import files
from itertools import product
from tomllib import loads

import pytest

from cyclamentally.announcements import Announcement
from cyclamentally.chart import ChartError, ChartLoader
from cyclamentally.endpoints import Endpoint
from cyclamentally.feeds import Feed
from cyclamentally.forwarding import Forwarding
from cyclamentally.gate import Gate
from cyclamentally.hosts import ListedHost
from cyclamentally.idempotency import Claim
from cyclamentally.lifecycle import NodeLifecycle
from cyclamentally.mark_delivery import MarkDelivery
from cyclamentally.members import Member
from cyclamentally.readiness import Readiness
from cyclamentally.registration import Registration
from cyclamentally.relays import Relay
from cyclamentally.retries import RequestAttempts
from cyclamentally.shutdown import Shutdown
from cyclamentally.store_health import StoreHealth
from cyclamentally.suspects import SuspectRequest
from cyclamentally.versions import TrackedProfile
from cyclamentally.watching import Watch

OWNERS = [
    SuspectRequest,
    Claim,
    Announcement,
    Endpoint,
    Feed,
    NodeLifecycle,
    MarkDelivery,
    Member,
    Relay,
    RequestAttempts,
    TrackedProfile,
    Gate,
    Forwarding,
    Registration,
    Watch,
    ListedHost,
    Readiness,
    Shutdown,
    StoreHealth,
]


class Door:
    def __init__(self):
        self.state = "closed"
        self.is_locked = False

    def may_open(self, message):
        return not self.is_locked

    def ring(self, message):
        return [message]


def door_document():
    return loads("""
        initial = "closed"
        final = ["broken"]
        events = ["open", "smash"]
        [states.closed]
        on.open = [{ guard = "may_open", to = "ajar", actions = ["ring"] }]
        on.smash = [{ to = "broken" }]
        [states.ajar]
        ignore = ["open"]
        on.smash = [{ to = "broken" }]
        [states.broken]
        ignore = ["open", "smash"]
    """)


def load(document):
    return ChartLoader("door", document, Door).load()


def test_transition_runs_actions_and_changes_state():
    door = Door()
    assert load(door_document()).fire(door, "open", "bell") == ["bell"]
    assert door.state == "ajar"


def test_false_guard_keeps_state():
    door = Door()
    door.is_locked = True
    assert load(door_document()).fire(door, "open", "bell") == []
    assert door.state == "closed"


def make_unreachable(document):
    document["states"]["lost"] = {"ignore": ["open", "smash"]}


def make_unknown_event(document):
    document["states"]["ajar"]["ignore"] = ["open", "close"]


def make_unanswered(document):
    document["states"]["ajar"]["ignore"] = []


def make_unknown_guard(document):
    document["states"]["closed"]["on"]["open"][0]["guard"] = "may_fly"


def make_unknown_action(document):
    document["states"]["closed"]["on"]["open"][0]["actions"] = ["sing"]


def make_ambiguous(document):
    document["states"]["closed"]["on"]["smash"] *= 2


def make_handled_and_ignored(document):
    document["states"]["ajar"]["ignore"] = ["open", "smash"]


def make_unknown_target(document):
    document["states"]["closed"]["on"]["smash"] = [{"to": "moon"}]


def make_final_with_exit(document):
    document["final"] = ["ajar"]


def make_unknown_key(document):
    document["colour"] = "red"


@pytest.mark.parametrize(
    ("change", "text"),
    [
        (make_unreachable, "states.lost: unreachable"),
        (make_unknown_event, "states.ajar.close: unknown event"),
        (make_unanswered, "states.ajar.open: neither"),
        (make_unknown_guard, "states.closed.on.open: Door has no method 'may_fly'"),
        (make_unknown_action, "states.closed.on.open: Door has no method 'sing'"),
        (make_ambiguous, "states.closed.on.smash: ambiguous"),
        (make_handled_and_ignored, "states.ajar.smash: both"),
        (make_unknown_target, "states.closed.on.smash: unknown state 'moon'"),
        (make_final_with_exit, "states.ajar.on.smash: final"),
        (make_unknown_key, "chart.colour: unknown key"),
    ],
)
def test_bad_chart_is_refused_with_file_and_key(change, text):
    document = door_document()
    change(document)
    with pytest.raises(ChartError, match="door") as caught:
        load(document)
    assert text in str(caught.value)


def test_every_chart_file_has_an_owner():
    names = {
        entry.name.removesuffix(".toml")
        for entry in files("cyclamentally.charts").iterdir()
        if entry.name.endswith(".toml")
    }
    assert names == {owner.chart.name for owner in OWNERS}


@pytest.mark.parametrize("owner", OWNERS, ids=lambda owner: owner.__name__)
def test_every_state_answers_every_event(owner):
    chart = owner.chart
    states = {state for state, _ in chart.table}
    for state, event in product(states, chart.events):
        assert (state, event) in chart.table
        if state in chart.final:
            assert chart.table[state, event] == ()
