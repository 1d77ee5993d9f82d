"""Compare a chart step of this interpreter with one of the library transitions."""

import json
from pathlib import Path
from time import perf_counter

from transitions import Machine

from cyclamentally.lifecycle import NodeLifecycle

STEPS = 50_000
RESULT = Path("bench/results/charts.json")


class Stepper:
    """An object with a state and a guard that is always true."""

    __slots__ = ("__dict__", "state")

    def is_open(self, *args):
        """Return True."""
        return True


def measure(step):
    """Return the mean time of a step in microseconds."""
    started = perf_counter()
    for _ in range(STEPS):
        step()
    return (perf_counter() - started) / STEPS * 1e6


def measure_library():
    """Return the time of a guarded self-transition in the library."""
    owner = Stepper()
    machine = Machine(model=owner, states=["a", "b"], initial="a")
    machine.add_transition("go", "a", "a", conditions="is_open")
    return measure(owner.go)


def measure_tables():
    """Return the time of a guarded self-transition in the interpreter."""
    chart = NodeLifecycle.chart
    owner = Stepper()
    owner.state = "joining"
    branch = chart.table["joining", "confirmed"][0]
    branch.target, branch.actions, kept = "joining", (), branch.actions
    branch.guard = Stepper.is_open
    try:
        return measure(lambda: chart.fire(owner, "confirmed"))
    finally:
        branch.actions = kept


def main():
    """Measure both and write the result."""
    result = {"transitions_us": measure_library(), "tables_us": measure_tables()}
    result["ratio"] = result["transitions_us"] / result["tables_us"]
    RESULT.write_text(json.dumps(result, indent=2) + "\n")
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
