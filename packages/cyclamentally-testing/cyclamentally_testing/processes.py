"""CPU time and memory of processes."""

import os
from pathlib import Path

USER_FIELD = 13
SYSTEM_FIELD = 14


def cpu_seconds(pid):
    """Return the CPU time that a process has used, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text()
    # The program name may contain blanks, so fields are counted from its end.
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[USER_FIELD - 2]) + int(fields[SYSTEM_FIELD - 2])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_kb(pid):
    """Return the resident memory of a process in kB."""
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith("Rss:"):
            return int(line.split()[1])
    return 0
