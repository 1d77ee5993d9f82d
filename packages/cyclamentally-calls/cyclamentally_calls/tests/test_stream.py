from errno import EMFILE
from socket import create_connection

from cyclamentally_calls.stream import Listener


class FullSocket:
    """A listening socket whose accept fails for lack of a file descriptor."""

    def __init__(self, inner):
        self.inner = inner
        self.accepts = 0

    def accept(self):
        self.accepts += 1
        raise OSError(EMFILE, "too many open files")

    def __getattr__(self, name):
        return getattr(self.inner, name)


def test_listener_backs_off_and_reports_when_accept_fails(loop, pump):
    reported = []
    listener = Listener(
        loop, "127.0.0.1:0", lambda s: s.close(), lambda a, d: reported.append(d)
    )
    listener.start()
    listener.socket = FullSocket(listener.socket)
    with create_connection(("127.0.0.1", listener.port)):
        pump.for_s(0.35)
    assert 1 <= listener.socket.accepts <= 6
    assert len(reported) == listener.socket.accepts
    assert "too many open files" in reported[0]
    listener.close()
