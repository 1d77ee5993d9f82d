"""The task that owns the connections to the platform's store."""

from functools import partial

from cyclamentally.effects import StartTimer
from cyclamentally.errors import Refused
from cyclamentally.hosts import HostDirectory, HostEntry
from cyclamentally.registration import (
    KeepLease,
    Registration,
    RemoveEntry,
    RequestLease,
    WriteEntry,
)
from cyclamentally.store_health import PeerFallback
from cyclamentally.store_outcomes import (
    REGISTRATION_EVENTS,
    WATCH_EVENTS,
    Page,
    StoredItem,
)
from cyclamentally.watching import AwaitChanges, ReadPage, Watch
from cyclamentally_calls.call_events import (
    DrainBegun,
    HostFailed,
    HostsReplaced,
    NewerKnown,
    RoutesReplaced,
    StateAsked,
    StateFound,
    UpstreamChanged,
)
from cyclamentally_calls.client_connection import Sending
from cyclamentally_calls.entry_codec import decode_entry, encode_entry
from cyclamentally_calls.http_codec import encode_request
from cyclamentally_calls.loop import Task
from cyclamentally_calls.outcomes import Answered
from cyclamentally_calls.peer_state import (
    STATE_TARGET,
    PeerState,
    decode_state,
    encode_state,
)
from cyclamentally_calls.store_link import CALL_S, StoreLink
from cyclamentally_calls.store_sinks import HostSink, RouteSink

HOSTS_PREFIX = "cyclamentally/hosts/"
# A watch without an answer after its wait and this is lost, in seconds.
WATCH_MARGIN_S = 2.0
# Longest time of one page: a configuration with 1,400 routes more takes over half
# a second on a link of 4.5 Mbit/s that carries requests as well.
PAGE_S = 2.5
# Small against the 2.5 s after which a missing entry counts as absent.
TICK_S = 0.5
# Time within which a new host should get requests, in seconds; it counts as left
# out four seconds after a configuration would be in force. Hosts may be known late,
# since a gate refuses by itself what its upstream does not take.
HOSTS_KNOWN_S = 1.5


class StoreTask(Task):
    """Follow configuration and hosts; keep this host listed.

    Parameters
    ----------
    loop : Loop
        Event loop.
    address : str
        ``IP:port`` of the store.
    dialect : StoreDialect
        Encoding of calls.
    config_prefix : str
        Prefix of the configuration's key.
    decode_routes : callable
        Takes stored bytes, returns ``Done`` with a `RouteTable` or ``Refused``.
    place : Place
        This host.
    in_force_s : float
        Time within which a configuration has to be in force, in seconds.
    random : random.Random
        Spreads retries.
    counters : Counters
        Counts.
    log : DecisionLog
        Log.
    """

    __slots__ = (
        "configuration",
        "counters",
        "decode_routes",
        "dialect",
        "directory",
        "link",
        "listeners",
        "log",
        "loop",
        "peer_learning",
        "place",
        "registration",
        "table",
        "timer",
        "wakes",
        "watches",
        "watching",
    )

    def __init__(
        self,
        loop,
        address,
        dialect,
        config_prefix,
        decode_routes,
        place,
        in_force_s,
        random,
        counters,
        log,
    ):
        self.loop = loop
        self.dialect = dialect
        self.decode_routes = decode_routes
        self.place = place
        self.counters = counters
        self.log = log
        self.link = StoreLink(loop, address, counters, log, self._return_to_store)
        self.registration = Registration(random)
        self.directory = HostDirectory()
        self.table = None
        self.configuration = None
        self.peer_learning = PeerFallback()
        self.watches = {
            "routes": Watch(
                config_prefix,
                RouteSink(self),
                random,
                loop.clock,
                in_force_s,
                polls_series=True,
            ),
            "hosts": Watch(
                HOSTS_PREFIX,
                HostSink(self),
                random,
                loop.clock,
                HOSTS_KNOWN_S,
                may_be_stale=True,
            ),
        }
        # The one call of each watch that is out, by the watch's prefix.
        self.watching = {}
        # The one timer of each event, by the object that it is for.
        self.wakes = {}
        self.listeners = []
        self.timer = None

    @property
    def key(self):
        """Key of this host's entry."""
        return HOSTS_PREFIX + self.place.name

    def start(self):
        """Read configuration and hosts, and follow them."""
        for watch in self.watches.values():
            self._carry_out_watch(watch, watch.begin_listing())
        self.timer = self.loop.call_after(TICK_S, self._tick)

    def close(self):
        """Close the connections."""
        self.timer.cancel()
        self.link.close()

    def receive(self, message):
        """Handle the messages of the other tasks."""
        if isinstance(message, UpstreamChanged):
            p = self.place
            entry = HostEntry(p.name, p.domain, p.region, p.address, message.upstream)
            self._register("wanted", entry)
        elif isinstance(message, HostFailed):
            if self.directory.fail(message.name):
                self._tell_hosts()
        elif isinstance(message, NewerKnown):
            self._ask_peer(message)
        elif isinstance(message, StateAsked):
            found = StateFound(message.exchange, self._state())
            self.loop.post(message.sender, found)
        elif isinstance(message, DrainBegun):
            self._register("leave")

    # Sinks of the watches.

    def take_configuration(self, item):
        """Put a configuration in force if it can be read and is newer."""
        if self.configuration is not None and self.configuration.value == item.value:
            return
        outcome = self.decode_routes(item.value)
        if isinstance(outcome, Refused):
            self.counters.add("configurations_refused_total", outcome.kind)
            self.log.write(
                "configuration_refused", revision=item.revision, detail=outcome.detail
            )
            return
        table = outcome.value
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        self.configuration = item
        self.log.write("configuration", version=table.version, revision=item.revision)
        self._tell(RoutesReplaced(table))

    def take_hosts(self, items):
        """Take over a whole listing of hosts."""
        listed = []
        for item in items:
            entry = self._decode_host(item)
            if entry is not None:
                listed.append((entry, item.revision))
        self.directory.replace(listed, self.loop.clock())
        if all(item.key != self.key for item in items):
            self._register("vanished")
        self._tell_hosts()

    def change_hosts(self, changes):
        """Take over changes of hosts in their order."""
        for change in changes:
            if change.key == self.key:
                self._check_own(change)
            if isinstance(change, StoredItem):
                entry = self._decode_host(change)
                if entry is not None:
                    self.directory.put(entry, change.revision)
            else:
                name = change.key[len(HOSTS_PREFIX) :]
                self.directory.remove(name, change.revision, self.loop.clock())
        self._tell_hosts()

    def _state(self):
        """Return the bytes of what this node knows; none before it knows anything."""
        if self.configuration is None:
            return b""
        hosts = [(h.entry, h.revision) for h in self.directory.used.values()]
        return encode_state(PeerState(self.configuration, hosts))

    def _ask_peer(self, known):
        """Ask a node that knows more, while the store does not answer."""
        now = self.loop.clock()
        own = self.table.version if self.table else None
        health = self.link.health
        if not self.peer_learning.should_ask(known.version, own, health, now):
            return
        self.counters.add("peers_asked_total")
        headers = [(b"Host", known.address.encode())]
        data = encode_request(b"GET", STATE_TARGET, headers, b"", False)
        sending = Sending(data, None, self._take_state)
        self.link.pool.send(known.address, sending, now + CALL_S)

    def _take_state(self, result):
        """Take over what another node knows, if it is newer."""
        state = None
        if isinstance(result, Answered):
            state = decode_state(result.answer.body)
        if state is None:
            self.counters.add("peer_states_refused_total")
            detail = getattr(result, "detail", "the state cannot be read")
            self.log.write("peer_state_refused", detail=detail)
            return
        for entry, revision in state.hosts:
            self.directory.put(entry, revision)
        self._tell_hosts()
        self.take_configuration(state.configuration)

    def _check_own(self, change):
        """Write the own entry again if someone else changed or removed it."""
        if isinstance(change, StoredItem):
            written = self.registration.written
            if written is not None and change.value == encode_entry(written):
                return
        self._register("vanished")

    def _decode_host(self, item):
        entry = decode_entry(item.value)
        if entry is None or HOSTS_PREFIX + entry.name != item.key:
            self.counters.add("entries_refused_total", "unreadable")
            self.log.write("entry_refused", key=item.key, revision=item.revision)
            return None
        return entry

    def _tell(self, message):
        for listener in self.listeners:
            self.loop.post(listener, message)

    def _tell_hosts(self):
        self._tell(HostsReplaced(self.directory.by_service))

    # Effects.

    def _register(self, event, message=None):
        for effect in self.registration.fire(event, message) or ():
            if isinstance(effect, RequestLease):
                self.link.call(self.dialect.grant_lease(effect.ttl_s), self._registered)
            elif isinstance(effect, KeepLease):
                self.link.call(self.dialect.keep_lease(effect.lease), self._registered)
            elif isinstance(effect, WriteEntry):
                value = encode_entry(effect.entry)
                call = self.dialect.write(self.key, value, effect.lease)
                self.link.call(call, self._registered)
            elif isinstance(effect, RemoveEntry):
                self.link.call(self.dialect.remove(self.key), self._registered)
            elif isinstance(effect, StartTimer):
                self._wake("registration", effect, self._register)

    def _registered(self, outcome):
        self._register(REGISTRATION_EVENTS[type(outcome)], outcome)

    def _carry_out_watch(self, watch, effects):
        for effect in effects:
            if isinstance(effect, ReadPage):
                call = self.dialect.read_page(effect.prefix, effect.after)
                self._ask(watch, call, PAGE_S)
            elif isinstance(effect, AwaitChanges):
                call = self.dialect.await_changes(
                    effect.prefix, effect.revision, effect.wait_s, effect.may_be_stale
                )
                self._ask(watch, call, effect.wait_s + WATCH_MARGIN_S)
            elif isinstance(effect, StartTimer) and not self._awaits_return(watch):
                fire = partial(self._fire_watch, watch)
                self._wake(watch.prefix, effect, fire)

    def _awaits_return(self, watch):
        """Whether a failed watch leaves it to another call to try the store.

        Calls to a store that is down are priced as well, and its return is reported
        to all. The entry goes first: it has to be back within two seconds.
        """
        if watch.state != "pausing":
            return False
        routes = self.watches["routes"]
        has_other = watch is not routes and routes.state == "pausing"
        return has_other or self.registration.state in ("renewing", "pausing")

    def _ask(self, watch, call, limit):
        """Make the call of a watch; an earlier one of it is given up."""
        earlier = self.watching.get(watch.prefix)
        if earlier is not None:
            earlier.cancel()
        on_outcome = partial(self._watched, watch)
        self.watching[watch.prefix] = self.link.call(call, on_outcome, limit)

    def _watched(self, watch, outcome):
        unreadable = getattr(outcome, "unreadable", 0)
        if unreadable:
            self.counters.add("items_refused_total", "unreadable", unreadable)
            self.log.write("items_refused", prefix=watch.prefix, count=unreadable)
        if isinstance(outcome, Page):
            event = "page" if outcome.has_more else "last_page"
        else:
            event = WATCH_EVENTS[type(outcome)]
        self._fire_watch(watch, event, outcome)

    def _fire_watch(self, watch, event, message=None):
        self._carry_out_watch(watch, watch.fire(event, message))

    def _wake(self, owner, effect, fire):
        key = (owner, effect.event)
        if key in self.wakes:
            self.wakes[key].cancel()
        run = partial(fire, effect.event)
        self.wakes[key] = self.loop.call_after(effect.delay_s, run)

    def _return_to_store(self):
        """Ask anew for all that may have been missed while the store did not answer."""
        for watch in self.watches.values():
            if watch.state != "listing":
                self._fire_watch(watch, "store_returned")
        if self.registration.state in ("pausing", "renewing"):
            self._register("retry")

    def _tick(self):
        available_since = self.link.health.available_since
        if self.directory.tick(self.loop.clock(), available_since):
            self._tell_hosts()
        self.timer = self.loop.call_after(TICK_S, self._tick)
