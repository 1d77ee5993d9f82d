"""Task that owns the control plane of the node."""

from absl.logging import get_absl_logger
from pykka import ThreadingActor

from cyclamentally.effects import (
    ConfigurationChanged,
    DeathRefuted,
    StateChanged,
    SuspectsChanged,
    WatchPlatform,
)
from cyclamentally.errors import Done
from cyclamentally_node.task_messages import (
    Announce,
    CollectStatus,
    CrashObserved,
    DescribeNode,
    MembersReplaced,
    NodeDescription,
    OwnDeathRefuted,
    PeerMessageReceived,
    PlatformState,
    PlatformVersions,
    PublishSeed,
    SeedsFound,
    SetWatch,
    SnapshotReplaced,
    StopNode,
    SuspectAnswered,
    SuspectsReplaced,
    Tick,
    Withdraw,
)

logger = get_absl_logger()


class ControlTask(ThreadingActor):
    """Pass events to the control plane and carry out its effects.

    Parameters
    ----------
    plane : ControlPlane
        Decisions on members, profiles and status; owned by this task.
    announcements : Announcements
        Upstreams announced on this host; owned by this task.
    clock : callable
        Returns the time in seconds.
    outbox : Outbox
        Sends messages to peers and updates the metrics.
    platform : pykka.ActorRef
        Task that watches the platform.
    claims : pykka.ActorRef
        Task that receives each change of the member records.
    readers : list of pykka.ActorRef
        Tasks that receive each new snapshot and the marked and quarantined
        requests.
    """

    use_daemon_thread = True

    def __init__(self, plane, announcements, clock, outbox, platform, claims, readers):
        super().__init__()
        self.plane = plane
        self.announcements = announcements
        self.clock = clock
        self.outbox = outbox
        self.platform = platform
        self.claims = claims
        self.readers = readers
        self.members_hash = None
        self.status_futures = []
        self.seed_slot = None
        self.handlers = {
            Tick: self._tick,
            PeerMessageReceived: self._receive,
            PlatformVersions: self._install_versions,
            PlatformState: self._update_platform_state,
            SeedsFound: self._add_seeds,
            Announce: self._announce,
            Withdraw: self._withdraw,
            CollectStatus: self._collect_status,
            DescribeNode: self._describe,
            StopNode: self._stop_node,
            CrashObserved: self._report_crash,
            SuspectAnswered: self._clear_suspect,
        }

    def on_receive(self, message):
        """Dispatch a message to its handler."""
        return self.handlers[type(message)](message)

    def _tick(self, tick):
        now = self.clock()
        expired = self.announcements.tick(now)
        if expired:
            self._publish_upstreams(expired)
        self._carry_out(self.plane.tick(now))
        self._answer_status(now)
        self._publish_seed()

    def _receive(self, received):
        now = self.clock()
        self._carry_out(self.plane.receive(received.message, now))
        self._answer_status(now)

    def _install_versions(self, message):
        effects = self.plane.on_platform_versions(
            message.versions, message.is_complete, self.clock()
        )
        self._carry_out(effects)

    def _update_platform_state(self, message):
        self._carry_out(self.plane.on_platform_state(message.is_reachable))

    def _add_seeds(self, message):
        self.plane.lifecycle.add_seeds(message.addresses)

    def _announce(self, message):
        before = self.announcements.upstreams()
        outcome = self.announcements.announce(message.upstream, self.clock())
        if isinstance(outcome, Done) and self.announcements.upstreams() != before:
            self._publish_upstreams(outcome.value)
        return outcome

    def _withdraw(self, message):
        effects = self.announcements.withdraw(message.address)
        if effects:
            self._publish_upstreams(effects)

    def _publish_upstreams(self, effects):
        upstreams = self.announcements.upstreams()
        self._carry_out([*effects, *self.plane.announce(upstreams, self.clock())])

    def _collect_status(self, message):
        now = self.clock()
        if not self.status_futures:
            self._carry_out(self.plane.status_collector.collect(now))
        self.status_futures.append(message.future)
        self._answer_status(now)

    def _answer_status(self, now):
        if not self.status_futures or not self.plane.status_collector.is_complete(now):
            return
        statuses = self.plane.status_collector.statuses()
        for future in self.status_futures:
            future.set(statuses)
        self.status_futures.clear()

    def _describe(self, message):
        plane = self.plane
        tracked = plane.versions.tracked.values()
        versions = {s.name: s.installed.version for s in tracked if s.installed}
        live = {
            domain: len(plane.table.live(domain)) for domain in plane.table.domains()
        }
        return NodeDescription(
            plane.identity.node,
            plane.lifecycle.state,
            plane.relay.state,
            plane.snapshot.generation,
            versions,
            plane.versions.refused(),
            live,
        )

    def _stop_node(self, message):
        self._carry_out(self.plane.stop(self.clock()))

    def _report_crash(self, message):
        marks = [message.mark]
        self._carry_out(self.plane.quarantine.report(marks, self.clock()))

    def _clear_suspect(self, message):
        quarantine = self.plane.quarantine
        self._carry_out(quarantine.succeed(message.fingerprint))

    def _publish_seed(self):
        """Store this node's address as a seed when it becomes a relay of its domain."""
        own = self.plane.table.own_record
        relays = self.plane.topology.relays(own.domain)
        slot = relays.index(own.node) if own.node in relays else None
        if slot is not None and slot != self.seed_slot:
            self.platform.tell(PublishSeed(slot))
        self.seed_slot = slot

    def _carry_out(self, effects):
        for effect in self.outbox.deliver(effects):
            if isinstance(effect, StateChanged):
                logger.info("%s: %s: %s", effect.subject, effect.state, effect.detail)
            elif isinstance(effect, WatchPlatform):
                self.platform.tell(SetWatch(effect.active))
            elif isinstance(effect, ConfigurationChanged):
                self._tell_readers(SnapshotReplaced(self.plane.snapshot))
            elif isinstance(effect, SuspectsChanged):
                self._tell_readers(self._suspects())
            elif isinstance(effect, DeathRefuted):
                self.claims.tell(OwnDeathRefuted())
        self._publish_members()

    def _tell_readers(self, message):
        for task in self.readers:
            task.tell(message)

    def _suspects(self):
        quarantine = self.plane.quarantine
        return SuspectsReplaced(
            quarantine.fingerprints("marked"), quarantine.fingerprints("quarantined")
        )

    def _publish_members(self):
        """Send the member records to the claim task if they have changed."""
        if self.plane.table.hash != self.members_hash:
            self.members_hash = self.plane.table.hash
            self.claims.tell(MembersReplaced(self.plane.table.records()))
