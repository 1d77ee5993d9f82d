"""Makes the calls of the watches on the platform's store."""

from functools import partial

from cyclamentally.effects import StartTimer
from cyclamentally.store_outcomes import WATCH_EVENTS, Page, StoreFailed
from cyclamentally.watching import WATCH_MARGIN_S, AwaitChanges, ReadPage

# Timeout of one page. Shorter ones fail on slow links: a configuration grown by
# 1,400 routes takes over half a second on a link of 4.5 Mbit/s shared with requests.
PAGE_TIMEOUT_S = 2.5


class StoreWatches:
    """Carries out the decisions of the `Watch` objects; owned by the store task.

    Parameters
    ----------
    client : StoreClient
        Client of the store.
    dialect : StoreDialect
        Encoding of store calls.
    watches : dict
        The watches by name; the one of the routes is named ``routes``.
    timers : EventTimers
        Timers of the owner.
    registration : HostRegistration
        Has precedence when an unavailable store is called again.
    counters : Counters
        Metrics.
    log : DecisionLog
        Structured log.
    on_event : callable
        Called after each event of a watch.
    """

    __slots__ = (
        "by_name",
        "calls",
        "client",
        "counters",
        "dialect",
        "log",
        "loop",
        "on_event",
        "registration",
        "timers",
    )

    def __init__(
        self, client, dialect, watches, timers, registration, counters, log, on_event
    ):
        self.client = client
        self.loop = client.loop
        self.dialect = dialect
        self.by_name = watches
        self.timers = timers
        self.registration = registration
        self.counters = counters
        self.log = log
        self.on_event = on_event
        # The call in flight of each watch, by the watch's prefix.
        self.calls = {}

    @property
    def revision(self):
        """The latest revision that any watch knows."""
        return max(watch.revision for watch in self.by_name.values())

    @property
    def are_reporting(self):
        """Whether the store reports changes to all watches."""
        return all(watch.is_reporting for watch in self.by_name.values())

    def start(self):
        """Start to list the items of all watches."""
        for watch in self.by_name.values():
            self._carry_out(watch, watch.begin_listing())

    def fire_all(self, event):
        """Fire an event of all watches."""
        for watch in self.by_name.values():
            self.loop.attempt(self._fire, watch, event)

    def resync(self):
        """Resume the watches after the store was unavailable."""
        for watch in self.by_name.values():
            if watch.state != "listing":
                self._fire(watch, "store_returned")

    def leave_store(self):
        """End the watches, since a relay reports the changes."""
        for watch in self.by_name.values():
            self._cancel_call(watch)
            self.timers.cancel(watch.prefix, "retry")
            self._fire(watch, "follow")

    def apply_relayed(self, update):
        """Apply an update of a relay."""
        for watch in self.by_name.values():
            if watch.prefix == update.prefix:
                self._fire(watch, "relayed", update)

    def _fire(self, watch, event, message=None):
        effects = watch.fire(event, message)
        if not self.loop.attempt(self._carry_out, watch, effects):
            self._carry_out(watch, watch.fire("failed"))
        self.on_event()

    def _carry_out(self, watch, effects):
        for effect in effects:
            if isinstance(effect, ReadPage):
                call = self.dialect.read_page(effect.prefix, effect.after)
                self._call(watch, call, PAGE_TIMEOUT_S)
            elif isinstance(effect, AwaitChanges):
                call = self.dialect.await_changes(
                    effect.prefix, effect.revision, effect.wait_s, effect.may_be_stale
                )
                # An answer with a large item may begin late and still arrive.
                begin_s = effect.wait_s + WATCH_MARGIN_S
                self._call(watch, call, begin_s, PAGE_TIMEOUT_S)
            elif isinstance(effect, StartTimer) and not self._defers_probe(watch):
                fire = partial(self._fire, watch)
                self.timers.start(watch.prefix, effect, partial(fire, effect.event))

    def _defers_probe(self, watch):
        """Whether a failed watch waits for another call to probe the store.

        Such a watch starts no retry timer. Calls to an unavailable store are charged
        too, and `resync` resumes all watches when it recovers, so one call at a time
        is enough. Registration has precedence: the entry has to be restored within
        two seconds.
        """
        if watch.state != "pausing" or self.client.health.state == "available":
            return False
        routes = self.by_name["routes"]
        has_other = watch is not routes and routes.state == "pausing"
        return has_other or self.registration.is_retrying

    def _call(self, watch, call, timeout_s, transfer_s=None):
        """Make the call of a watch and cancel its earlier one."""
        self._cancel_call(watch)
        on_outcome = partial(self._handle_outcome, watch)
        outgoing = self.client.call(call, on_outcome, timeout_s, transfer_s)
        self.calls[watch.prefix] = outgoing

    def _cancel_call(self, watch):
        call = self.calls.pop(watch.prefix, None)
        if call is not None:
            call.cancel()

    def _handle_outcome(self, watch, outcome):
        unreadable = getattr(outcome, "unreadable", 0)
        if unreadable:
            self.counters.add("items_refused_total", "unreadable", unreadable)
            self.log.write("items_refused", prefix=watch.prefix, count=unreadable)
        if isinstance(outcome, StoreFailed):
            self._log_failure(watch, outcome)
        if isinstance(outcome, Page):
            event = "page" if outcome.has_more else "last_page"
        else:
            event = WATCH_EVENTS[type(outcome)]
        self._fire(watch, event, outcome)

    def _log_failure(self, watch, failure):
        self.counters.add("watches_failed_total", watch.prefix)
        self.log.write(
            "watch_failed",
            prefix=watch.prefix,
            state=watch.state,
            revision=str(watch.revision),
            detail=failure.detail,
        )
