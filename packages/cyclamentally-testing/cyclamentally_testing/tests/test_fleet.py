from socket import SO_REUSEADDR, SOL_SOCKET, socket

import pytest

from cyclamentally_testing.ports import ReservedPorts

LOOPBACK = "127.0.0.1"


@pytest.fixture
def reserved():
    reserved = ReservedPorts(3)
    reserved.start()
    yield reserved
    reserved.close()


def test_no_other_process_can_take_a_reserved_port(reserved):
    """The port of a node must not be taken between its choice and the node's start."""
    for port in reserved.ports:
        with socket() as other, pytest.raises(OSError):
            other.bind((LOOPBACK, port))


def test_the_owner_can_listen_on_a_reserved_port_again_and_again(reserved):
    for _ in range(2):
        with socket() as listener:
            listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
            listener.bind((LOOPBACK, reserved.ports[0]))
            listener.listen()
            with socket() as client:
                client.connect((LOOPBACK, reserved.ports[0]))
