"""Distribution of profile versions: push along trees, repair by digests."""

from cyclamentally.effects import Count, Send
from cyclamentally.errors import Kind, Refused
from cyclamentally.limits import TokenBucket
from cyclamentally.messages import Busy, ChangePush, VersionDigest
from cyclamentally.records import Record

REPAIR_DELAY_S = 0.3
REPAIR_JITTER_S = 0.5
BACKUP_PUSH_DELAY_S = 0.5
FULL_TRANSFERS_PER_S = 10.0
FULL_TRANSFER_BURST = 10.0
MAX_FULL_TRANSFER_WAIT_S = 2.0
FULL_TRANSFER_MIN_CHANGES = 8
MAX_PUSH_BYTES = 256 * 1024
MAX_BUSY_WAIT_S = 30.0
MAX_VERSION = 2**53


class RepairPlan(Record):
    """A peer that may have newer versions, and when to ask it, in seconds."""

    __slots__ = ("summary", "due")

    def __init__(self, summary, due):
        self.summary = summary
        self.due = due


class Distribution:
    """Decide which versions this node sends, forwards and requests.

    Parameters
    ----------
    versions : VersionTable
        Versions of this node.
    topology : Topology
        Roles and trees.
    summarize : callable
        Returns the `Summary` of this node.
    random : random.Random
        Source of random numbers.
    now : float
        Time in seconds.
    """

    __slots__ = (
        "backup_names",
        "backup_push_due",
        "needs_full_body",
        "repair_not_before",
        "repair_plan",
        "random",
        "summarize",
        "topology",
        "versions",
        "full_transfer_limit",
    )

    def __init__(self, versions, topology, summarize, random, now):
        self.versions = versions
        self.topology = topology
        self.summarize = summarize
        self.random = random
        self.full_transfer_limit = TokenBucket(
            FULL_TRANSFERS_PER_S, FULL_TRANSFER_BURST, now
        )
        self.repair_plan = None
        self.repair_not_before = now
        self.needs_full_body = set()
        self.backup_names = {}
        self.backup_push_due = 0.0

    def on_platform_versions(self, versions, now):
        """Install versions read from the platform and push those that are new.

        Parameters
        ----------
        versions : list of ProfileVersion
            Versions in any order.
        now : float
            Time in seconds.
        """
        installed = self._install(versions)
        return installed.effects + self._push_as_relay(installed.names, "", now)

    def on_push(self, push, now):
        """Install pushed versions and forward those that were new."""
        installed = self._install_changes(push.changes)
        effects = installed.effects
        if push.root:
            self._cancel_backup_push(push.changes)
            effects += self._push_in_tree(push.root, installed.names)
            if push.root != self.topology.table.own_node:
                effects += self._push_to_followers(installed.names, push.sender.node)
        else:
            effects += self._push_as_relay(installed.names, push.sender.node, now)
        if self.needs_full_body:
            effects.append(self._request_from(push.sender))
        return effects

    def on_digest(self, digest, now):
        """Send versions that the peer lacks; request those that this node lacks."""
        known = dict(zip(digest.names, digest.versions, strict=False))
        for name in digest.full_body_names:
            known[name] = 0
        names = [n for n in self.versions.tracked if self._is_newer(n, known)]
        effects = self._transfer(names, known, digest.sender, now)
        is_behind = any(v > self.versions.newest_seen(n) for n, v in known.items())
        if is_behind and digest.wants_answer:
            effects.append(self._request_from(digest.sender, wants_answer=False))
        return effects

    def on_busy(self, busy, now):
        """Delay the next repair by the time that the peer asked for, up to a limit."""
        wait = min(max(busy.wait, 0.0), MAX_BUSY_WAIT_S)
        self.repair_not_before = max(self.repair_not_before, now + wait)
        self.repair_plan = None
        return [Count("retries_total", Kind.TRANSFER_BUSY)]

    def on_summary(self, summary, now):
        """Schedule a repair if a peer may have newer versions."""
        if summary.versions_hash == self.versions.hash:
            if self.repair_plan and self.repair_plan.summary.node == summary.node:
                self.repair_plan = None
            return
        if (
            summary.version_sum >= self.versions.version_sum
            and self.repair_plan is None
        ):
            delay = REPAIR_DELAY_S + self.random.uniform(0, REPAIR_JITTER_S)
            self.repair_plan = RepairPlan(summary, now + delay)

    def tick(self, now):
        """Send a due backup push and a due repair request."""
        effects = []
        if self.backup_names and now >= self.backup_push_due:
            names = list(self.backup_names)
            self.backup_names.clear()
            effects += self._push_in_tree(self.topology.table.own_node, names)
        if self.repair_plan and now >= max(
            self.repair_plan.due, self.repair_not_before
        ):
            summary, self.repair_plan = self.repair_plan.summary, None
            if summary.versions_hash != self.versions.hash:
                effects.append(Count("version_repairs_total"))
                effects.append(self._request_from(summary))
                self.repair_not_before = now + REPAIR_DELAY_S
        return effects

    def request_versions(self, address, region):
        """Request from a peer all versions newer than those known here."""
        return Send(address, region, self._digest(wants_answer=True))

    def _install(self, versions):
        effects, names = [], []
        for version in versions:
            before = self.versions.newest_seen(version.name)
            effects += self.versions.install(version)
            if self.versions.newest_seen(version.name) != before:
                self.needs_full_body.discard(version.name)
                names.append(version.name)
        return InstallResult(effects, names)

    def _install_changes(self, changes):
        effects, versions = [], []
        for change in changes:
            if change.version <= self.versions.newest_seen(change.name):
                effects.append(Count("versions_refused_total", Kind.VERSION_STALE))
                continue
            if change.version > MAX_VERSION:
                effects.append(Count("versions_refused_total", Kind.MESSAGE_MALFORMED))
                continue
            restored = self.versions.decode_change(change)
            if isinstance(restored, Refused):
                effects.append(Count("versions_refused_total", restored.kind))
                if restored.kind == Kind.DELTA_UNUSABLE:
                    self.needs_full_body.add(change.name)
            else:
                versions.append(restored.value)
        installed = self._install(versions)
        return InstallResult(effects + installed.effects, installed.names)

    def _push_as_relay(self, names, sender, now):
        """Push versions that arrived from outside this domain's push tree.

        The first relay of the domain pushes at once. The others push only if
        its push has not reached them within `BACKUP_PUSH_DELAY_S`.
        """
        if not names or not self.topology.is_relay():
            return []
        own = self.topology.table.own_record
        effects = self._push_to_followers(names, sender)
        if self.topology.relays(own.domain)[0] == own.node:
            return effects + self._push_in_tree(own.node, names)
        self.backup_names.update(dict.fromkeys(names))
        self.backup_push_due = now + BACKUP_PUSH_DELAY_S
        return effects

    def _push_in_tree(self, root, names):
        return self._send_changes(self.topology.children(root), root, names)

    def _push_to_followers(self, names, sender):
        followers = [n for n in self.topology.followers() if n != sender]
        return self._send_changes(followers, "", names)

    def _send_changes(self, nodes, root, names):
        if not names or not nodes:
            return []
        changes = [self._latest_change(name) for name in names]
        changes = [change for change in changes if change is not None]
        effects = []
        for batch in split_by_bytes(changes):
            push = ChangePush(self.summarize(), root, batch)
            for node in nodes:
                record = self.topology.table.get(node)
                effects.append(Send(record.address, record.region, push))
        return effects

    def _latest_change(self, name):
        tracked = self.versions.tracked[name]
        previous = tracked.previous.version if tracked.previous else 0
        return self.versions.change_since(name, previous)

    def _is_newer(self, name, known):
        return self.versions.newest_seen(name) > known.get(name, 0)

    def _transfer(self, names, known, receiver, now):
        if len(
            names
        ) >= FULL_TRANSFER_MIN_CHANGES and not self.full_transfer_limit.take(now):
            wait = self.random.uniform(0, MAX_FULL_TRANSFER_WAIT_S)
            busy = Busy(self.summarize(), wait)
            return [
                Count("transfers_refused_total", Kind.TRANSFER_BUSY),
                Send(receiver.address, receiver.region, busy),
            ]
        changes = [
            self.versions.change_since(name, known.get(name, 0)) for name in names
        ]
        return [
            Send(
                receiver.address,
                receiver.region,
                ChangePush(self.summarize(), "", batch),
            )
            for batch in split_by_bytes(changes) or [[]]
        ]

    def _request_from(self, summary, wants_answer=True):
        digest = self._digest(wants_answer)
        return Send(summary.address, summary.region, digest)

    def _digest(self, wants_answer):
        names = list(self.versions.tracked)
        newest_seen = [self.versions.newest_seen(name) for name in names]
        full_body_names = sorted(self.needs_full_body)
        self.needs_full_body.clear()
        return VersionDigest(
            self.summarize(), names, newest_seen, full_body_names, wants_answer
        )

    def _cancel_backup_push(self, changes):
        for change in changes:
            if change.version >= self.versions.newest_seen(change.name):
                self.backup_names.pop(change.name, None)


class InstallResult(Record):
    """Effects of an installation, and the profiles with a new version."""

    __slots__ = ("effects", "names")

    def __init__(self, effects, names):
        self.effects = effects
        self.names = names


def split_by_bytes(changes):
    """Split changes into batches of at most `MAX_PUSH_BYTES`.

    A larger change gets a batch of its own.
    """
    batches = []
    size = 0
    for change in changes:
        if not batches or size + len(change.body) > MAX_PUSH_BYTES:
            batches.append([])
            size = 0
        batches[-1].append(change)
        size += len(change.body)
    return batches
