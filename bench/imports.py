"""Measure the resident memory that each library adds to a bare interpreter."""

import importlib
import json
from pathlib import Path

RESULT = Path("bench/results/imports.json")
MODULES = [
    "threading",
    "msgspec",
    "xxhash",
    "jsonpatch",
    "pykka",
    "pynng",
    "waitress",
    "urllib3",
    "absl.logging",
    "aioprometheus",
    "cyclamentally.control",
    "cyclamentally_node.node",
    "cyclopts",
]


def resident_kb():
    """Return the resident memory of this process in kB."""
    for line in Path("/proc/self/smaps_rollup").read_text().splitlines():
        if line.startswith("Rss:"):
            return int(line.split()[1])
    raise RuntimeError("no Rss line")


def main():
    """Import the modules in turn and write the growth by each."""
    last = resident_kb()
    result = {"bare": last}
    for name in MODULES:
        importlib.import_module(name)
        now = resident_kb()
        result[name] = now - last
        last = now
    result["total"] = last
    RESULT.write_text(json.dumps(result, indent=2) + "\n")
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
