"""Plot convergence time and bytes between regions from the result of spread.py."""

import json
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

SOURCE = Path("bench/results/spread.json")
TARGET = Path("bench/results/spread.png")
LABELS = {
    "product": "relays, tree, deltas",
    "watch": "every node watches",
    "flat": "one node pushes whole values",
}
PANELS = [
    ("convergence_max_s", "last node in force, s"),
    ("small_crossing_bytes", "crossing bytes per small change"),
]


def main():
    """Write the plot."""
    entries = json.loads(SOURCE.read_text())
    figure, axes = pyplot.subplots(1, len(PANELS), figsize=(10, 4))
    for axis, (key, title) in zip(axes, PANELS, strict=True):
        for way, label in LABELS.items():
            points = [entry for entry in entries if entry["way"] == way]
            sizes = [point["nodes"] for point in points]
            axis.plot(sizes, [point[key] for point in points], "o-", label=label)
        axis.set_xlabel("nodes")
        axis.set_title(title)
    axes[1].set_yscale("log")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(TARGET, dpi=100)


if __name__ == "__main__":
    main()
