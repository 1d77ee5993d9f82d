"""The control plane of one node."""

from cyclamentally.call_messages import CrashMarks
from cyclamentally.distribution import Distribution
from cyclamentally.effects import ConfigurationChanged, Count
from cyclamentally.errors import Kind
from cyclamentally.lifecycle import NodeLifecycle
from cyclamentally.limits import TokenBucket
from cyclamentally.members import ALIVE, MemberTable, is_live
from cyclamentally.membership import Membership
from cyclamentally.messages import (
    Ack,
    Beat,
    BeatAck,
    BucketHashes,
    Busy,
    ChangePush,
    IndirectAck,
    JoinRequest,
    MemberDigest,
    MemberUpdates,
    Ping,
    PingRequest,
    Report,
    StatusReply,
    StatusRequest,
    Summary,
    VersionDigest,
)
from cyclamentally.model import MemberRecord
from cyclamentally.probes import Prober
from cyclamentally.quarantine import Quarantine
from cyclamentally.records import Record
from cyclamentally.relays import Relay
from cyclamentally.reports import Reporter, StatusCollector
from cyclamentally.snapshot import EMPTY_SNAPSHOT, build_snapshot
from cyclamentally.topology import Topology
from cyclamentally.versions import VersionTable

TICK_S = 0.2
REBUILDS_PER_S = 10.0


class Identity(Record):
    """Identifier and location of a node.

    Parameters
    ----------
    node : str
        Identifier, unique in the fleet.
    domain, region : str
        Failure domain and its region.
    address : str
        Peer address, ``IP:port``.
    incarnation : int
        Start of the process, in ms since the epoch; its first incarnation.
    """

    __slots__ = ("node", "domain", "region", "address", "incarnation")

    def __init__(self, node, domain, region, address, incarnation):
        self.node = node
        self.domain = domain
        self.region = region
        self.address = address
        self.incarnation = incarnation


class ControlPlane:
    """Membership, distribution, relay role and status of one node.

    The owner passes in messages, ticks and platform events, and carries out
    the effects that each method returns.

    Parameters
    ----------
    identity : Identity
        Identifier and location of the node.
    platform_region : str
        Region of the platform.
    seeds : list of str
        Peer addresses to join through.
    codec : BodyCodec
        Encoding of profile bodies.
    random : random.Random
        Source of random numbers.
    now : float
        Time in seconds.
    """

    __slots__ = (
        "status_collector",
        "distribution",
        "handlers",
        "identity",
        "is_snapshot_outdated",
        "lifecycle",
        "membership",
        "prober",
        "quarantine",
        "rebuild_limit",
        "relay",
        "reporter",
        "snapshot",
        "table",
        "topology",
        "versions",
    )

    def __init__(self, identity, platform_region, seeds, codec, random, now):
        self.identity = identity
        self.versions = VersionTable(codec)
        self.table = MemberTable(_initial_record(identity))
        self.topology = Topology(self.table, platform_region)
        shared = (self.topology, self.summarize)
        self.membership = Membership(self.table, *shared, random, now)
        self.prober = Prober(self.membership, self.summarize, random, now)
        self.distribution = Distribution(self.versions, *shared, random, now)
        self.relay = Relay(self.membership, *shared, random, now)
        self.reporter = Reporter(self.versions, *shared, random, now)
        self.status_collector = StatusCollector(self.versions, *shared, self.relay)
        self.lifecycle = NodeLifecycle(
            self.membership, self.distribution, seeds, random, now
        )
        self.quarantine = Quarantine(*shared)
        self.snapshot = EMPTY_SNAPSHOT
        self.rebuild_limit = TokenBucket(REBUILDS_PER_S, REBUILDS_PER_S, now)
        self.is_snapshot_outdated = False
        self.handlers = self._handlers()

    def summarize(self):
        """Return the summary that is sent with every message."""
        return Summary(
            self.identity.node,
            self.identity.address,
            self.identity.region,
            self.table.hash,
            self.versions.hash,
            self.versions.version_sum,
            self.lifecycle.state == "serving",
        )

    def tick(self, now):
        """Run the timers of all parts; call every `TICK_S` seconds."""
        effects = self.lifecycle.tick(now)
        effects += self.prober.tick(now)
        effects += self.membership.tick(now)
        effects += self.relay.tick(now)
        effects += self.distribution.tick(now)
        effects += self.reporter.tick(now)
        effects += self.quarantine.tick(now)
        if self.is_snapshot_outdated:
            effects.append(ConfigurationChanged())
        return self._rebuild_snapshot(effects, now)

    def receive(self, message, now):
        """Handle a message from another node.

        Returns
        -------
        list
            Effects to carry out in this order.
        """
        handler = self.handlers.get(type(message))
        if handler is None or message.sender.node == self.identity.node:
            return [Count("messages_refused_total", Kind.MESSAGE_MALFORMED)]
        effects = handler(message, now) or []
        summary = message.sender
        self.membership.on_summary(summary, now)
        self.distribution.on_summary(summary, now)
        effects += self.lifecycle.on_summary(summary, now)
        return self._rebuild_snapshot(effects, now)

    def on_platform_versions(self, versions, is_complete, now):
        """Install versions that the platform returned.

        Parameters
        ----------
        versions : list of ProfileVersion
            Versions read.
        is_complete : bool
            Whether these are all profiles that the platform holds.
        now : float
            Time in seconds.
        """
        effects = self.distribution.on_platform_versions(versions, now)
        if is_complete:
            effects += self.lifecycle.on_platform_read()
        return self._rebuild_snapshot(effects, now)

    def on_platform_state(self, is_reachable):
        """Record whether the platform answers."""
        return self.relay.on_platform_state(is_reachable)

    def announce(self, upstreams, now):
        """Replace the upstreams announced on this node's host."""
        changed = [ConfigurationChanged()]
        return self._rebuild_snapshot(
            changed + self.membership.announce(upstreams), now
        )

    def stop(self, now):
        """Begin to stop and tell the other members."""
        return self._rebuild_snapshot(self.lifecycle.stop(), now)

    def _rebuild_snapshot(self, effects, now):
        """Build one new snapshot if any effect changed the configuration.

        Rebuilds are limited to `REBUILDS_PER_S`, since many nodes that start
        at once cause a burst of changes; the rest waits for the next tick.
        """
        if not any(isinstance(e, ConfigurationChanged) for e in effects):
            return effects
        self.is_snapshot_outdated = not self.rebuild_limit.take(now)
        if self.is_snapshot_outdated:
            return [e for e in effects if not isinstance(e, ConfigurationChanged)]
        live = [record for record in self.table.records() if is_live(record)]
        self.snapshot = build_snapshot(
            self.snapshot.generation + 1, self.versions.profiles(), live
        )
        others = [e for e in effects if not isinstance(e, ConfigurationChanged)]
        return [*others, ConfigurationChanged()]

    def _handlers(self):
        return {
            Ping: self.prober.on_ping,
            Ack: self.prober.on_ack,
            PingRequest: self.prober.on_ping_request,
            IndirectAck: self.prober.on_indirect_ack,
            JoinRequest: self.membership.on_join,
            MemberUpdates: self.membership.on_updates,
            MemberDigest: self.membership.on_digest,
            BucketHashes: lambda m, now: self.membership.on_bucket_hashes(m),
            Beat: self.relay.on_heartbeat,
            BeatAck: lambda m, now: self.membership.apply(m.updates, m.sender, now),
            ChangePush: self.distribution.on_push,
            VersionDigest: self.distribution.on_digest,
            Busy: self.distribution.on_busy,
            CrashMarks: self.quarantine.on_marks,
            Report: lambda m, now: self.status_collector.on_report(m),
            StatusRequest: self.status_collector.on_request,
            StatusReply: lambda m, now: self.status_collector.on_reply(m),
        }


def _initial_record(identity):
    return MemberRecord(
        identity.node,
        identity.incarnation,
        ALIVE,
        identity.domain,
        identity.region,
        identity.address,
        [],
        identity.incarnation,
    )
