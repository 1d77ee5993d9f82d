"""A node whose watch has lost its answer stays on the old configuration."""

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from harness import (  # noqa: E402
    BOUNDS,
    Consumer,
    configuration,
    run,
    start_fleet,
)

# For how long the store turns the machine away; the site file names up to 9 s.
TURNED_AWAY_S = 0.8
# The change of the configuration, after the beginning of that time.
CHANGE_AFTER_S = 0.4
JUDGED_S = 6.0
STABLE_S = BOUNDS["stable_window_ms"] / 1000
STRETCH_S = BOUNDS["max_stretch_ms"] / 1000
APPLY_S = BOUNDS["config_apply_ms"] / 1000


def wait_for_renewal(door):
    """Wait until the machine has just renewed its lease."""
    count = len(door.calls)
    end = time.monotonic() + 10.0
    while time.monotonic() < end:
        if any(name.startswith("kv-keep/") for _, name in door.calls[count:]):
            return
        time.sleep(0.01)
    raise RuntimeError("the lease was not renewed")


def play(record, is_troubled, to_close):
    """Return what breaks CONFIG."""
    services = ["shop", "bank"]
    old = [
        ("/get/", "idempotent", 1000, 2, "shop"),
        ("/once/", "non_idempotent", 1200, 2, "shop"),
    ]
    new = [(*route[:4], "bank") for route in old]
    store, hosts, servers = start_fleet(
        record,
        to_close,
        configuration(3, old, services),
        ["shop", "shop", "bank", "bank"],
    )
    consumers = [Consumer(record, host, f"c{n}") for n, host in enumerate(hosts, 1)]
    for consumer in consumers:
        consumer.start(8, [("GET", "/get/a"), ("POST", "/once/b")])
    time.sleep(STABLE_S + 1.0)

    away = hosts[1]
    wait_for_renewal(away.door)
    time.sleep(0.2)
    if is_troubled:
        store.turn_away(away.door, away.name, True)
    time.sleep(CHANGE_AFTER_S)
    store.put("op/config", configuration(5, new, services))
    confirmed_at = time.monotonic()
    record.write("r5 is confirmed: all routes go from shop to bank")
    time.sleep(TURNED_AWAY_S - CHANGE_AFTER_S)
    if is_troubled:
        store.turn_away(away.door, away.name, False)
    # In touch again after the stable window; the longest stretch is added to that.
    judged_from = max(time.monotonic() + STABLE_S, confirmed_at + APPLY_S) + STRETCH_S
    time.sleep(judged_from + JUDGED_S - time.monotonic())
    for consumer in consumers:
        consumer.stop()

    runs = {r[1]: s for s in servers for r in s.runs}
    sent = [a for c in consumers for a in c.answers if a[0] >= judged_from]
    stale = [a for a in sent if a[1] in runs and runs[a[1]].service == "shop"]
    for answer in stale:
        record.write(f"{answer[1]} {answer[2]} was run by {runs[answer[1]].name}")
    record.write(f"{len(stale)} of {len(sent)} requests were handled as in r3")
    if not stale:
        return []
    return [
        f"CONFIG: {len(stale)} of {len(sent)} requests, sent later than "
        f"{judged_from - confirmed_at:.1f} s after the confirmation of r5, were run "
        "by the old service"
    ]


if __name__ == "__main__":
    # With TROUBLE=0 the same is played without the disruption.
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    run(play, str(Path(__file__).parent), is_troubled)
