"""Timers that fire events of charts."""


class EventTimers:
    """The pending timers of a task's charts, by owner and event.

    A new timer replaces the pending one of the same owner and event.

    Parameters
    ----------
    loop : Loop
        Event loop.
    """

    __slots__ = ("loop", "pending")

    def __init__(self, loop):
        self.loop = loop
        self.pending = {}

    def start(self, owner, effect, callback):
        """Call back after the delay of a `StartTimer` effect."""
        self.cancel(owner, effect.event)
        timer = self.loop.call_after(effect.delay_s, callback)
        self.pending[owner, effect.event] = timer

    def cancel(self, owner, event):
        """Cancel the timer of an event, if one is pending."""
        timer = self.pending.pop((owner, event), None)
        if timer is not None:
            timer.cancel()
