from contextlib import suppress
from socket import create_connection

import pytest

from cyclamentally.uplink import LARGE_ANSWER_BYTES, Uplink
from cyclamentally_calls.loop import Loop
from cyclamentally_calls.pacer import Pacer
from cyclamentally_calls.stream import Listener, Stream, StreamOwner

RATE = 1_000_000
LARGE = bytes(200_000)


class Owner(StreamOwner):
    """Records the ends that a stream reports."""

    def __init__(self):
        self.ends = []

    def on_connected(self):
        pass

    def on_bytes(self, data):
        pass

    def on_end(self, reason):
        self.ends.append(reason)


@pytest.fixture
def uplink():
    uplink = Uplink()
    uplink.usable_bytes_per_s = RATE
    return uplink


@pytest.fixture
def pacer(loop, uplink):
    pacer = Pacer(loop, uplink)
    yield pacer
    pacer.close()


@pytest.fixture
def make_stream(loop):
    made = []

    def make():
        accepted = []
        listener = Listener(loop, "127.0.0.1:0", accepted.append, lambda *_: None)
        listener.start()
        client = create_connection(("127.0.0.1", listener.port))
        client.setblocking(False)
        loop.run_once(1.0)
        listener.close()
        stream = Stream(loop, accepted[0], Owner())
        made.append((stream, client))
        return stream, client

    yield make
    for stream, client in made:
        stream.close()
        client.close()


def receive(client):
    """Return the number of bytes received since the last call."""
    total = 0
    try:
        while part := client.recv(65_536):
            total += len(part)
    except BlockingIOError:
        pass
    return total


def test_large_write_does_not_exceed_link_rate(loop, pump, pacer, make_stream):
    stream, client = make_stream()
    began = loop.clock()
    pacer.write(stream, LARGE)
    received = 0
    while received < len(LARGE):
        pump.for_s(0.01)
        received += receive(client)
    burst_s = 2 * pacer.chunk_bytes / RATE
    assert loop.clock() - began >= len(LARGE) / RATE - burst_s


def test_small_write_is_not_queued_behind_large_one(pump, pacer, make_stream):
    large, _ = make_stream()
    small, client = make_stream()
    pacer.write(large, LARGE)
    pacer.write(small, b"small")
    pump.for_s(0.02)
    assert receive(client) == 5
    assert large.has_unsent()


def test_large_writes_are_sent_one_after_the_other(pump, pacer, make_stream):
    first, first_client = make_stream()
    second, second_client = make_stream()
    pacer.write(first, LARGE)
    pacer.write(second, LARGE)
    pump.until(lambda: not first.paced_bytes)
    assert second.paced_bytes >= len(LARGE) - 2 * pacer.chunk_bytes
    pump.until(lambda: not second.paced_bytes)
    assert receive(first_client) + receive(second_client) <= 2 * len(LARGE)


def test_small_write_does_not_overtake_large_one_of_same_stream(
    pump, pacer, make_stream
):
    stream, client = make_stream()
    pacer.write(stream, b"a" * LARGE_ANSWER_BYTES * 2)
    pacer.write(stream, b"b")
    data = b""

    def arrived():
        nonlocal data
        with suppress(BlockingIOError):
            data += client.recv(65_536)
        return len(data) > LARGE_ANSWER_BYTES * 2

    pump.until(arrived)
    assert data == b"a" * LARGE_ANSWER_BYTES * 2 + b"b"


def test_half_close_waits_for_paced_bytes(pump, pacer, make_stream):
    stream, client = make_stream()
    pacer.write(stream, LARGE)
    stream.half_close()
    received = 0

    def is_over():
        nonlocal received
        try:
            part = client.recv(65_536)
        except BlockingIOError:
            return False
        received += len(part)
        return not part

    pump.until(is_over)
    assert received == len(LARGE)


def test_closed_stream_releases_queued_bytes(pump, pacer, uplink, make_stream):
    broken, _ = make_stream()
    whole, client = make_stream()
    pacer.write(broken, LARGE)
    pacer.write(whole, LARGE)
    broken.close()
    pump.until(lambda: not whole.paced_bytes)
    assert uplink.queued_bytes == 0


def test_unknown_link_rate_disables_pacing(pump, make_stream):
    stream, _ = make_stream()
    pacer = Pacer(Loop(), Uplink())
    pacer.write(stream, LARGE)
    assert stream.paced_bytes == 0
