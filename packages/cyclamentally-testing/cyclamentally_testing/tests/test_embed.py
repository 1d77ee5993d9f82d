from pathlib import Path
from runpy import run_path

SAMPLE = Path(__file__).parents[4] / "samples" / "embed.py"


def test_sample_runs_and_decides(capsys):
    run_path(str(SAMPLE))["main"]()
    assert capsys.readouterr().out.splitlines() == [
        "chart: now lit now dark",
        "routes on each node: 1 1 1",
        "request: waiting answered Granted",
    ]
