"""Measure the resident memory of running nodes, with and without the libraries."""

import json
import subprocess
import sys
from pathlib import Path
from statistics import median
from threading import Event

from cyclamentally_testing.fleet import Fleet, make_hosts
from cyclamentally_testing.load import Load, Operation
from cyclamentally_testing.processes import resident_kb

RESULT = Path("bench/results/memory.json")
CALLS = 1_000
LIBRARIES = """
from cyclamentally_node.lean import leave_out_unused
leave_out_unused()
import absl.logging, aioprometheus, jsonpatch, msgspec, pykka, pynng
import urllib3, urllib3.connection, waitress, xxhash
from cyclamentally_testing.processes import resident_kb
import os
print(resident_kb(os.getpid()))
"""


def main():
    """Measure at rest and after calls; write the result."""
    command = [sys.executable, "-c", LIBRARIES]
    libraries = int(subprocess.run(command, capture_output=True, check=True).stdout)
    fleet = Fleet(make_hosts(["gogledd"], 2, [""] * 3, "night"), "gogledd")
    try:
        fleet.start()
        fleet.wait_until(lambda: all(map(fleet.is_serving, fleet.hosts)))
        Event().wait(3.0)
        pids = [fleet.processes[host.name].pid for host in fleet.hosts]
        at_rest = median(map(resident_kb, pids))
        addresses = [host.calls for host in fleet.hosts]
        Load(addresses, [Operation("lookup", "GET", "/none")], 0).run(CALLS)
        after_calls = median(map(resident_kb, pids))
    finally:
        fleet.close()
    result = {
        "libraries_kb": libraries,
        "node_at_rest_kb": at_rest,
        "node_after_calls_kb": after_calls,
        "above_libraries_kb": after_calls - libraries,
    }
    RESULT.write_text(json.dumps(result, indent=2) + "\n")
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
