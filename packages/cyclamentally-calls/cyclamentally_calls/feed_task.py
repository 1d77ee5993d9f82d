"""The task that passes the store's items between the nodes of a failure domain."""

from functools import partial

from cyclamentally.effects import Count, StateChanged
from cyclamentally.feed_log import MAX_CHANGES, FeedLog
from cyclamentally.feeds import AskRelay, FollowRelay, WatchStore
from cyclamentally_calls.call_events import (
    FeedRequest,
    HostsReplaced,
    ItemsChanged,
    ItemsRelayed,
    NewerVersionSeen,
    PeerReply,
    RelayAnswered,
    RelayRejected,
    RelayRoleChanged,
    RoutesReplaced,
    ShutdownStarted,
    SourceChanged,
    StoreLeft,
    StoreResumed,
)
from cyclamentally_calls.client_connection import ConnectionPool
from cyclamentally_calls.feed_codec import (
    MAX_BODY_BYTES,
    decode_feed_target,
    decode_updates,
    encode_feed_target,
    encode_updates,
)
from cyclamentally_calls.http_codec import encode_request
from cyclamentally_calls.loop import Task
from cyclamentally_calls.outcomes import Answered
from cyclamentally_calls.outgoing_request import OutgoingRequest

HTTP_OK = 200
TICK_S = 0.5
# A relay holds a request without changes for this time. Its followers learn from the
# missing answer that it is frozen or cut off, early enough to read the store
# themselves before a configuration has to be in force.
HOLD_S = 0.5
# The rest is for the transfer of a configuration to all followers over a slow link.
ANSWER_TIMEOUT_S = 1.2
CONNECT_TIMEOUT_S = 0.25
ACK_TIMEOUT_S = 0.8
IDLE_TIMEOUT_S = 30.0
# Time for a call to the store and for passing its answer on.
TRANSFER_S = 0.25


class HeldRequest:
    """A follower's request that waits for changes.

    Parameters
    ----------
    request : FeedRequest
        The request.
    revisions : tuple of int
        Revision of each prefix that the follower knows.
    timer : Timer
        Answers the request without changes.
    """

    __slots__ = ("request", "revisions", "timer")

    def __init__(self, request, revisions, timer):
        self.request = request
        self.revisions = revisions
        self.timer = timer


class FeedTask(Task):
    """Follow a relay of the failure domain, or be one.

    Parameters
    ----------
    loop : Loop
        Event loop.
    feed : Feed
        Decides where this node gets the items from.
    prefixes : list of str
        Prefixes of the store; the first holds the configuration.
    gather_s : float
        Time for which a watch collects changes of the configuration, in seconds.
        Nodes may be behind each other by as much.
    store : Task
        The store task, which owns the watches.
    counters : Counters
        Metrics.
    log : DecisionLog
        Structured log.
    """

    __slots__ = (
        "bodies",
        "counters",
        "feed",
        "held",
        "is_source",
        "log",
        "logs",
        "loop",
        "outdated_grace_s",
        "outdated_timer",
        "outgoing",
        "pool",
        "store",
        "timer",
        "version",
        "was_relay",
        "was_source",
    )

    def __init__(self, loop, feed, prefixes, gather_s, store, counters, log):
        self.loop = loop
        self.feed = feed
        self.outdated_grace_s = gather_s + TRANSFER_S
        self.store = store
        self.counters = counters
        self.log = log
        self.pool = ConnectionPool(
            loop, IDLE_TIMEOUT_S, CONNECT_TIMEOUT_S, ACK_TIMEOUT_S
        )
        routes, *others = prefixes
        # A configuration replaces the one before, so its changes are not kept.
        logs = [FeedLog(routes, 0), *(FeedLog(p, MAX_CHANGES) for p in others)]
        self.logs = {log.prefix: log for log in logs}
        self.held = []
        # Encoded answers by the revisions of the request, until the next change.
        self.bodies = {}
        # Whether the watches of this node report all changes, and ever have.
        self.is_source = False
        self.was_source = False
        self.was_relay = False
        self.version = 0
        self.outgoing = None
        self.outdated_timer = None
        self.timer = None

    def start(self):
        """Start to check the source periodically."""
        self.timer = self.loop.call_after(TICK_S, self._tick)

    def close(self):
        """Close the connections."""
        self.timer.cancel()
        self.pool.close()

    def receive(self, message):
        """Handle a message from another task."""
        if isinstance(message, ItemsChanged):
            self.feed.on_listing()
            if self.logs[message.update.prefix].apply(message.update):
                self.bodies.clear()
                if self.is_source:
                    self._answer_held()
        elif isinstance(message, FeedRequest):
            self._handle_request(message)
        elif isinstance(message, HostsReplaced):
            entries = [e for group in message.by_service.values() for e in group]
            is_first = not self.feed.relays
            self.feed.update_hosts(entries)
            self._report_role()
            if is_first and self.feed.relays:
                self._carry_out(self.feed.check(self.loop.clock()))
        elif isinstance(message, SourceChanged):
            self._set_source(message.is_source)
        elif isinstance(message, RoutesReplaced):
            self.version = message.table.version
        elif isinstance(message, NewerVersionSeen):
            self._check_outdated(message.version)
        elif isinstance(message, RelayAnswered):
            self._carry_out(self.feed.on_answer(self.loop.clock()))
        elif isinstance(message, RelayRejected):
            self._leave("its items could not be applied")
        elif isinstance(message, ShutdownStarted):
            self._set_source(False)

    # Requests of followers.

    def _handle_request(self, request):
        revisions = decode_feed_target(request.exchange.request.target, len(self.logs))
        if revisions is None or (self.was_source and not self.is_source):
            self._refuse(request)
            return
        # After a failure of the whole fleet, relays and followers start together.
        is_starting = not self.is_source
        if is_starting or not self._answer(request, revisions):
            held = HeldRequest(request, revisions, None)
            held.timer = self.loop.call_after(HOLD_S, partial(self._end_hold, held))
            self.held.append(held)

    def _answer(self, request, revisions):
        """Answer a request if there are changes; returns whether there are."""
        body = self.bodies.get(revisions)
        if body is None:
            known = zip(self.logs.values(), revisions, strict=True)
            updates = [log.since(revision) for log, revision in known]
            found = [update for update in updates if update is not None]
            if not found:
                return False
            body = self.bodies[revisions] = encode_updates(found)
        self._reply(request, body, "changes")
        return True

    def _answer_held(self):
        for held in self.held.copy():
            self.loop.attempt(self._answer_one, held)

    def _answer_one(self, held):
        if self._answer(held.request, held.revisions):
            held.timer.cancel()
            self.held.remove(held)

    def _end_hold(self, held):
        self.held.remove(held)
        if not self.loop.attempt(self._reply_without_changes, held):
            held.request.fail(self.loop)

    def _reply_without_changes(self, held):
        if self.is_source:
            self._reply(held.request, encode_updates([]), "no_changes")
        else:
            self._refuse(held.request)

    def _set_source(self, is_source):
        self.is_source = is_source
        if is_source:
            self.was_source = True
            self._answer_held()
            return
        held, self.held = self.held, []
        for entry in held:
            entry.timer.cancel()
            if not self.loop.attempt(self._refuse, entry.request):
                entry.request.fail(self.loop)

    def _reply(self, request, body, result):
        self.counters.add("feed_requests_total", result)
        self.loop.post(request.sender, PeerReply(request.exchange, body))

    def _refuse(self, request):
        self._reply(request, b"", "refused")

    # Following.

    def _tick(self):
        self.timer = self.loop.call_after(TICK_S, self._tick)
        is_asking = self.outgoing is not None and self.outgoing.on_outcome is not None
        if self.feed.state == "following" and not is_asking:
            self._leave("the request to it was lost")
        self._carry_out(self.feed.check(self.loop.clock()))

    def _leave(self, detail):
        """Leave the relay, and read the store instead."""
        self._carry_out(self.feed.on_failure(detail, self.loop.clock()))

    def _carry_out(self, effects):
        for effect in effects:
            if isinstance(effect, AskRelay):
                self._ask(effect)
            elif isinstance(effect, FollowRelay):
                self.loop.post(self.store, StoreLeft())
            elif isinstance(effect, WatchStore):
                self._cancel_request()
                self.loop.post(self.store, StoreResumed())
            elif isinstance(effect, Count):
                self.counters.add_effects([effect])
            elif isinstance(effect, StateChanged):
                self.log.write(
                    "state",
                    subject=effect.subject,
                    state=effect.state,
                    detail=effect.detail,
                )

    def _ask(self, effect):
        self._cancel_request()
        revisions = [log.revision for log in self.logs.values()]
        target = encode_feed_target(revisions)
        headers = [(b"Host", effect.address.encode())]
        data = encode_request(b"GET", target, headers, b"", False)
        self.outgoing = OutgoingRequest(
            data, None, self._handle_answer, max_body_bytes=MAX_BODY_BYTES
        )
        deadline = self.loop.clock() + ANSWER_TIMEOUT_S
        self.pool.send(effect.address, self.outgoing, deadline)

    def _handle_answer(self, result):
        self.outgoing = None
        updates = None
        detail = getattr(
            result, "detail", "the node is no relay, or its answer invalid"
        )
        if isinstance(result, Answered) and result.response.status == HTTP_OK:
            updates = decode_updates(result.response.body)
        if updates is None or any(u.prefix not in self.logs for u in updates):
            self._leave(detail)
            return
        for update in updates:
            self.loop.post(self.store, ItemsRelayed(self, update))
            self.logs[update.prefix].note_revision(update.revision)
        # The store task reports the items back before the next request is made.
        self.loop.post(self, RelayAnswered())

    def _cancel_request(self):
        if self.outgoing is not None:
            self.outgoing.cancel()
            self.outgoing = None

    def _check_outdated(self, version):
        """Leave a relay that does not pass on a configuration that others use."""
        if self.feed.state != "following" or version <= self.version:
            return
        if self.outdated_timer is None:
            leave = partial(self._leave_outdated, version)
            self.outdated_timer = self.loop.call_after(self.outdated_grace_s, leave)

    def _leave_outdated(self, version):
        self.outdated_timer = None
        if self.version < version:
            detail = f"version {version} is used elsewhere, {self.version} here"
            self._leave(detail)

    def _report_role(self):
        if self.feed.is_relay != self.was_relay:
            self.was_relay = self.feed.is_relay
            self.loop.post(self.store, RelayRoleChanged(self.was_relay))
