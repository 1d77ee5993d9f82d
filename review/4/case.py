"""A departure confirmed in the last second of a planned stop is forgotten."""

import os
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from harness import (  # noqa: E402
    BOUNDS,
    OK,
    RESTART_S,
    Consumer,
    configuration,
    judge_drain,
    run,
    split,
    start_fleet,
)

# When the server leaves, after the SIGTERM of its node.
LEAVES_AFTER_S = 2.8
# How late the last heartbeat before the departure arrives.
HEARTBEAT_DELAY_S = 2.9
# The server goes on serving for this time after its departure was confirmed.
SERVES_ON_S = 8.0
STABLE_S = BOUNDS["stable_window_ms"] / 1000
DRAIN_S = BOUNDS["drain_ms"] / 1000


def hold_idle_connection(host):
    """Return a kept connection of a consumer that has had one answer and is idle."""
    held = socket.create_connection(split(host.outbound))
    head = "GET /get/held HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: held-1\r\n"
    held.sendall(f"{head}X-Deadline-Ms: 2000\r\n\r\n".encode())
    held.recv(65536)
    return held


def play(record, is_troubled, to_close):
    """Return what breaks DRAIN."""
    routes = [
        ("/get/", "idempotent", 1000, 2, "shop"),
        ("/once/", "non_idempotent", 1200, 2, "shop"),
    ]
    _, hosts, servers = start_fleet(
        record,
        to_close,
        configuration(3, routes, ["shop"]),
        ["shop", "shop"],
        work_s=0.12,
        slots=5,
    )
    consumer = Consumer(record, hosts[0], "c1")
    consumer.start(30, [("GET", "/get/a"), ("POST", "/once/b")])
    near, leaving = hosts[1], servers[1]
    held = hold_idle_connection(near)
    time.sleep(STABLE_S + 3.0)

    stopping = None
    if is_troubled:
        stopping = threading.Thread(target=near.terminate)
        stopping.start()
    time.sleep(LEAVES_AFTER_S)
    leaving.stopped.set()
    late = leaving.make_heartbeat()
    sent_at = time.monotonic()
    leaving.is_leaving = True
    status = leaving.report("DELETE")
    confirmed_at = time.monotonic()
    record.write(f"{near.name} answers the DELETE of {leaving.name} with {status}")
    if status != OK:
        raise RuntimeError("the departure was not confirmed")
    started_at = confirmed_at
    if is_troubled:
        stopping.join()
        time.sleep(RESTART_S)
        near.start()
        started_at = time.monotonic()
    held.close()
    time.sleep(max(0.0, sent_at + HEARTBEAT_DELAY_S - time.monotonic()))
    status = leaving.report("PUT", late)
    record.write(f"a heartbeat of {leaving.name} arrives late, answered {status}")
    judged_from = max(confirmed_at + DRAIN_S, started_at + STABLE_S)
    time.sleep(max(0.0, confirmed_at + SERVES_ON_S - time.monotonic()))
    leaving.end()
    time.sleep(2.0)
    consumer.stop()

    return judge_drain(record, leaving, consumer.answers, confirmed_at, judged_from)


if __name__ == "__main__":
    # With TROUBLE=0 the same is played without the disruption.
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    run(play, str(Path(__file__).parent), is_troubled)
