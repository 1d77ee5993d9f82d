"""The task that watches the platform's store and registers this host in it."""

from functools import partial

from cyclamentally.errors import Refused
from cyclamentally.hosts import HostDirectory, HostEntry
from cyclamentally.store_outcomes import StoredItem
from cyclamentally.watching import Watch, watch_wait_s
from cyclamentally_calls.call_events import (
    HostFailed,
    HostsReplaced,
    IdleQuery,
    IdleReply,
    ItemsRelayed,
    NewerVersionSeen,
    OwnEntryFound,
    PeerReply,
    PeerStateRequest,
    RelayRoleChanged,
    RoutesReplaced,
    SourceChanged,
    StoreLeft,
    StoreResumed,
    UpstreamChanged,
)
from cyclamentally_calls.event_timers import EventTimers
from cyclamentally_calls.host_entries import HOSTS_PREFIX, HostEntryReader
from cyclamentally_calls.host_registration import HostRegistration
from cyclamentally_calls.loop import Task
from cyclamentally_calls.peer_state import PeerState, encode_state
from cyclamentally_calls.peer_state_reader import PeerStateReader
from cyclamentally_calls.report_events import ReportHandled, ReportStored
from cyclamentally_calls.store_client import StoreClient
from cyclamentally_calls.store_sinks import HostSink, RouteSink
from cyclamentally_calls.store_watches import StoreWatches

# Must be small against the 2.5 s after which a missing entry counts as absent.
TICK_S = 0.5
# Time within which a new host should receive requests; a host that has received none
# four seconds after a configuration would be in force counts as left out. Hosts may
# be read late, since a gate refuses what its upstream does not accept.
HOSTS_UPDATE_TARGET_S = 1.5


class StoreTask(Task):
    """Watch the configuration and the hosts in the store; keep this host listed.

    Parameters
    ----------
    loop : Loop
        Event loop.
    address : str
        ``IP:port`` of the store.
    dialect : StoreDialect
        Encoding of store calls.
    config_prefix : str
        Prefix of the configuration's key.
    decode_routes : callable
        Takes stored bytes, returns ``Done`` with a `RouteTable` or ``Refused``.
    place : Place
        This host.
    in_force_s : float
        Time within which a new configuration must be in force, in seconds.
    resync_s : float
        Time after a disturbance of the store within which all changes must be known,
        in seconds.
    random : random.Random
        Source of the jitter of retries.
    counters : Counters
        Metrics.
    log : DecisionLog
        Structured log.
    """

    __slots__ = (
        "configuration",
        "counters",
        "decode_routes",
        "dialect",
        "directory",
        "client",
        "entries",
        "feed",
        "is_source",
        "subscribers",
        "log",
        "loop",
        "peers",
        "place",
        "registration",
        "table",
        "timer",
        "timers",
        "watches",
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
        resync_s,
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
        self.client = StoreClient(
            loop, address, dialect, counters, log, self._resync, self._relist
        )
        self.timers = EventTimers(loop)
        key = HOSTS_PREFIX + place.name
        self.registration = HostRegistration(
            self.client, dialect, key, self.timers, random
        )
        self.feed = None
        self.is_source = False
        self.directory = HostDirectory()
        self.entries = HostEntryReader(counters, log)
        self.table = None
        self.configuration = None
        self.peers = PeerStateReader(
            self.client, counters, log, in_force_s, self._merge_peer_state
        )
        self.watches = StoreWatches(
            self.client,
            dialect,
            self._make_watches(config_prefix, in_force_s, resync_s, random),
            self.timers,
            self.registration,
            counters,
            log,
            self._report_source,
        )
        self.subscribers = []
        self.timer = None

    @property
    def prefixes(self):
        """Prefixes that are watched; the first holds the configuration."""
        return [watch.prefix for watch in self.watches.by_name.values()]

    def start(self):
        """Start to list and watch configuration and hosts."""
        self.watches.start()
        self.timer = self.loop.call_after(TICK_S, self._tick)

    def close(self):
        """Close the connections."""
        self.timer.cancel()
        self.client.close()

    def receive(self, message):
        """Handle a message from another task."""
        if isinstance(message, UpstreamChanged):
            p = self.place
            entry = HostEntry(p.name, p.domain, p.region, p.address, message.upstream)
            self.registration.fire("wanted", entry)
        elif isinstance(message, ReportHandled):
            receipt = message.receipt
            stored = ReportStored(receipt.exchange)
            confirm = partial(self.loop.post, receipt.sender, stored)
            self.registration.call_when_stored(confirm)
        elif isinstance(message, IdleQuery):
            is_idle = not self.registration.has_unstored_departure
            self.loop.post(message.sender, IdleReply(is_idle))
        elif isinstance(message, HostFailed):
            if self.directory.fail(message.name):
                self._notify_hosts()
        elif isinstance(message, NewerVersionSeen):
            self.peers.consider(message, self.table.version if self.table else None)
            self.loop.post(self.feed, message)
        elif isinstance(message, ItemsRelayed):
            self.client.note_era(message.update.revision.era, "relay")
            self.watches.apply_relayed(message.update)
        elif isinstance(message, StoreLeft):
            self.watches.leave_store()
        elif isinstance(message, StoreResumed):
            self.watches.fire_all("resume")
        elif isinstance(message, RelayRoleChanged):
            self.registration.set_relay(message.is_relay)
        elif isinstance(message, PeerStateRequest):
            reply = PeerReply(message.exchange, self._encode_state())
            self.loop.post(message.sender, reply)

    # Sinks of the watches.

    def apply_configuration(self, item):
        """Apply a configuration if it is valid and newer than the one in force."""
        if self.configuration is not None and self.configuration.value == item.value:
            return
        outcome = self.decode_routes(item.value)
        if isinstance(outcome, Refused):
            self.counters.add("configurations_refused_total", outcome.kind)
            self.log.write(
                "configuration_refused",
                revision=str(item.revision),
                detail=outcome.detail,
            )
            return
        table = outcome.value
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        self.configuration = item
        self.log.write(
            "configuration", version=table.version, revision=str(item.revision)
        )
        self._notify(RoutesReplaced(table))

    def replace_hosts(self, update):
        """Replace the known hosts by a complete listing."""
        listed = []
        for item in update.changes:
            entry = self.entries.read(item)
            if entry is not None:
                listed.append((entry, item.revision))
                self._note_own_entry(item, entry)
        self.directory.replace(listed, self.loop.clock())
        self.registration.check_listing(update)
        self.registration.fire("read")
        self._notify_hosts()

    def apply_host_changes(self, changes):
        """Apply changes of hosts in their order."""
        for change in changes:
            if change.key == self.registration.key:
                self.registration.check_change(change)
            if isinstance(change, StoredItem):
                entry = self.entries.read(change)
                if entry is not None:
                    self._note_own_entry(change, entry)
                    self.directory.put(entry, change.revision)
            else:
                name = change.key[len(HOSTS_PREFIX) :]
                self.directory.remove(name, change.revision, self.loop.clock())
        self._notify_hosts()

    def _note_own_entry(self, item, entry):
        """Tell the gate which departure the entry of this host names."""
        if item.key == self.registration.key and entry.upstream.names_departure:
            self._notify(OwnEntryFound(entry.upstream))

    def _make_watches(self, config_prefix, in_force_s, resync_s, random):
        wait_s = watch_wait_s(resync_s)
        return {
            "routes": Watch(
                config_prefix,
                RouteSink(self),
                random,
                self.loop.clock,
                in_force_s,
                wait_s,
                polls_series=True,
            ),
            "hosts": Watch(
                HOSTS_PREFIX,
                HostSink(self),
                random,
                self.loop.clock,
                HOSTS_UPDATE_TARGET_S,
                wait_s,
                may_be_stale=True,
            ),
        }

    def _encode_state(self):
        """Return the encoded `PeerState`; empty if there is no configuration yet."""
        if self.configuration is None:
            return b""
        hosts = [(h.entry, h.revision) for h in self.directory.used.values()]
        return encode_state(PeerState(self.configuration, hosts))

    def _merge_peer_state(self, state):
        """Merge the state of another node; older items are ignored."""
        # An available store lists the hosts; the other node may use some that are gone.
        if self.client.health.state != "available":
            for entry, revision in state.hosts:
                self.directory.put(entry, revision)
            self._notify_hosts()
        self.apply_configuration(state.configuration)

    def _notify(self, message):
        for subscriber in self.subscribers:
            self.loop.post(subscriber, message)

    def _notify_hosts(self):
        self._notify(HostsReplaced(self.directory.by_service))

    def _report_source(self):
        """Tell the feed task whether other nodes may rely on the watches here."""
        is_available = self.client.health.state == "available"
        is_source = is_available and self.watches.are_reporting
        if is_source != self.is_source and self.feed is not None:
            self.is_source = is_source
            self.loop.post(self.feed, SourceChanged(is_source))

    def _resync(self):
        """Resume watches and registration after the store was unavailable."""
        self.watches.resync()
        if self.registration.is_retrying:
            self.registration.fire("retry")

    def _relist(self, known_era, source):
        """List all items and write the entry again after the store was restored."""
        self.log.write(
            "store_restored",
            era=self.client.era,
            known=known_era,
            revision=str(self.watches.revision),
            source=source,
        )
        self.watches.fire_all("restored")
        self.loop.attempt(self.registration.restore)

    def _tick(self):
        self.timer = self.loop.call_after(TICK_S, self._tick)
        available_since = self.client.health.available_since
        if self.directory.tick(self.loop.clock(), available_since):
            self._notify_hosts()
        self._report_source()
