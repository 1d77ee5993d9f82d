from select import EPOLLIN
from socket import socketpair

import pytest

from cyclamentally_calls.loop import Loop, Task


class FailingTask(Task):
    """Raises on its first message."""

    def __init__(self):
        self.messages = []

    def start(self):
        pass

    def close(self):
        pass

    def receive(self, message):
        self.messages.append(message)
        if len(self.messages) == 1:
            raise KeyError(message)


@pytest.fixture
def errors():
    return []


@pytest.fixture
def guarded(errors):
    loop = Loop(on_error=errors.append)
    yield loop
    loop.close()


def fail(*arguments):
    raise ValueError("unexpected")


def test_error_in_a_message_is_reported_and_the_next_message_delivered(guarded, errors):
    task = FailingTask()
    guarded.post(task, "a")
    guarded.post(task, "b")
    guarded.run_once(0.0)
    assert task.messages == ["a", "b"]
    assert [type(error) for error in errors] == [KeyError]


def test_error_in_a_timer_is_reported_and_the_next_timer_runs(guarded, errors):
    ran = []
    guarded.call_after(0.0, fail)
    guarded.call_after(0.0, lambda: ran.append(1))
    guarded.run_once(0.0)
    assert (ran, len(errors)) == ([1], 1)


def test_descriptor_whose_handler_fails_is_given_up(guarded, errors):
    """Its unread input would otherwise run the handler again without end."""
    reader, writer = socketpair()
    given_up = []
    guarded.watch(reader.fileno(), EPOLLIN, fail, lambda: given_up.append(1))
    writer.send(b"x")
    guarded.run_once(0.1)
    assert (len(errors), given_up) == (1, [1])
    guarded.unwatch(reader.fileno())
    reader.close()
    writer.close()
