"""One complete node: start, requests, malformed input, graceful stop."""

from random import Random
from socket import create_connection
from threading import Event, Thread
from time import monotonic

import pytest
from cyclamentally_platform.bodies import JsonBodyCodec
from cyclamentally_platform.client import HttpPlatform
from cyclamentally_platform.stored import JsonStoredCodec
from msgspec.json import encode
from pynng import Push0
from urllib3 import PoolManager

from cyclamentally.publishing import Publisher
from cyclamentally_node.node import Node
from cyclamentally_node.settings import SettingsReader
from cyclamentally_node.tests.support import COMPLETE_ANSWER
from cyclamentally_testing.platform_server import PlatformServer
from cyclamentally_testing.ports import ReservedPorts

TIMEOUT_S = 30.0
SEED = 20261204
DOCUMENT = {
    "services": {"standings": {"timeout_ms": 20_000}},
    "routes": {"/standings": {"service": "standings"}},
}


class RunningNode:
    """A running node, its platform, and an HTTP client for them."""

    def __init__(self):
        self.pool = PoolManager(retries=False, timeout=TIMEOUT_S)
        self.server = PlatformServer()
        self.server.start()
        self.reserved = ReservedPorts(3)
        self.reserved.start()
        peers, calls, admin = self.reserved.addresses()
        self.peers, self.calls, self.admin = peers, calls, admin
        document = {
            "node": {"name": "n-1", "domain": "d-1", "region": "r-1"},
            "listen": {"peers": peers, "calls": calls, "admin": admin},
            "platform": {
                "url": self.server.url,
                "region": "r-1",
                "watch_ms": 200,
            },
        }
        self.node = Node(SettingsReader(document).read().value)
        self.node.start()

    def close(self):
        self.node.close()
        self.server.close()
        self.pool.clear()
        self.reserved.close()

    def put(self):
        codec = JsonBodyCodec()
        platform = HttpPlatform(self.server.url, 3.0)
        stored = JsonStoredCodec(codec)
        Publisher(platform, stored, codec, "ann", lambda: "op").put("night", DOCUMENT)
        platform.close()

    def announce(self, address, **changes):
        body = {
            "service": "standings",
            "profile": "night",
            "slots": 4,
            "connections": 40,
            "draining": False,
        } | changes
        url = f"http://{self.admin}/upstreams/{address}"
        return self.pool.request("PUT", url, body=encode(body)).status

    def get(self, path="/standings"):
        return self.pool.request("GET", f"http://{self.calls}{path}")

    def wait_for(self, upstream, status):
        end = monotonic() + TIMEOUT_S
        while self.get().status != status:
            assert monotonic() < end
            self.announce(upstream.address)
            Event().wait(0.1)

    def metrics(self):
        return self.pool.request("GET", f"http://{self.admin}/metrics").data.decode()


@pytest.fixture
def running():
    fixture = RunningNode()
    yield fixture
    fixture.close()


def test_stopping_node_completes_requests_in_flight(running, make_upstream):
    release = Event()
    upstream = make_upstream([COMPLETE_ANSWER])
    running.put()
    running.wait_for(upstream, 200)
    upstream.script = [[release, COMPLETE_ANSWER]]
    upstream.received.clear()
    answers = []
    caller = Thread(target=lambda: answers.append(running.get()))
    caller.start()
    assert upstream.received.wait(TIMEOUT_S)
    stopping = Thread(target=running.node.close)
    stopping.start()
    end = monotonic() + TIMEOUT_S
    while not running.node.calls.task.is_stopping:
        assert monotonic() < end
        Event().wait(0.01)
    refused = running.get()
    assert refused.status == 503
    assert refused.headers["Cyclamentally-Reason"] == "stopping"
    assert refused.headers["Cyclamentally-Ran"] == "no"
    release.set()
    caller.join()
    stopping.join()
    assert (answers[0].status, answers[0].data) == (200, b"good")


def test_route_is_removed_with_its_withdrawn_upstream(running, make_upstream):
    upstream = make_upstream([COMPLETE_ANSWER])
    running.put()
    running.wait_for(upstream, 200)
    url = f"http://{running.admin}/upstreams/{upstream.address}"
    running.pool.request("DELETE", url)
    end = monotonic() + TIMEOUT_S
    while running.get().status != 404:
        assert monotonic() < end
        Event().wait(0.05)


def test_random_bytes_on_every_port_leave_the_node_serving(running, make_upstream):
    upstream = make_upstream([COMPLETE_ANSWER])
    running.put()
    running.wait_for(upstream, 200)
    random = Random(SEED)
    for address in (running.peers, running.calls, running.admin):
        for _ in range(10):
            host, port = address.split(":")
            with create_connection((host, int(port))) as connection:
                connection.sendall(random.randbytes(random.randint(1, 3_000)))
    running.announce(upstream.address)
    assert running.get().data == b"good"
    assert running.announce("not-an-address") == 400
    assert running.announce("127.0.0.1:9", slots="many") == 400
    assert running.announce("127.0.0.1:9", service="Caps") == 400


def test_malformed_peer_message_is_counted(running):
    with Push0(dial=f"tcp://{running.peers}") as peer:
        peer.send(b"z rubbish")
    end = monotonic() + TIMEOUT_S
    wanted = 'messages_refused_total{reason="message_malformed"} 1'
    while wanted not in running.metrics():
        assert monotonic() < end
        Event().wait(0.05)
