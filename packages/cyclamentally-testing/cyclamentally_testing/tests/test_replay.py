from pathlib import Path

import pytest

from cyclamentally_testing.replay import Replay, load_trace

TRACES = sorted((Path(__file__).parents[4] / "samples" / "traces").glob("*.toml"))
SEEDS = range(1, 6)


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
@pytest.mark.parametrize("seed", SEEDS)
def test_trace_has_its_stated_outcomes(path, seed):
    document, profile = load_trace(path)
    outcomes = {o.name: o for o in Replay(document, profile, seed).run()}
    calls = [e for e in document["events"] if e["event"] == "call"]
    assert len(outcomes) == len(calls)
    for call in calls:
        outcome = outcomes[call["name"]]
        stated = (call["expect"], call["ran"])
        assert (outcome.kind, outcome.ran) == stated, call["name"]


def test_both_deployments_have_a_trace():
    assert len(TRACES) == 2
