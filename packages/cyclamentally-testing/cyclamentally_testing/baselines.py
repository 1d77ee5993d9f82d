"""Alternatives in distribution and upstream choice, as baselines of benchmarks."""

from cyclamentally.control import ControlPlane
from cyclamentally.distribution import Distribution
from cyclamentally.effects import Send, WatchPlatform
from cyclamentally.hashing import hash_text
from cyclamentally.messages import ChangePush
from cyclamentally.routing import NearestChooser

GROUPS = 3


class WatchingPlane(ControlPlane):
    """Baseline in which every node watches the platform and nothing is pushed."""

    __slots__ = ("is_watching",)

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.is_watching = False
        self.distribution = InstallOnlyDistribution(
            self.versions,
            self.topology,
            self.summarize,
            self.distribution.random,
            self.distribution.repair_not_before,
        )

    def tick(self, now):
        """Start the watch once and drop the effects by which relays watch."""
        effects = [e for e in super().tick(now) if not isinstance(e, WatchPlatform)]
        if not self.is_watching:
            self.is_watching = True
            effects.append(WatchPlatform(True))
        return effects


class InstallOnlyDistribution(Distribution):
    """Installs versions that the platform returns and sends nothing."""

    __slots__ = ()

    def on_platform_versions(self, versions, now):
        """Install versions."""
        return self._install(versions).effects

    def on_summary(self, summary, now):
        """Plan no repair."""


class FlatPlane(ControlPlane):
    """Baseline in which the source pushes whole values to every node."""

    __slots__ = ()

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.distribution = FlatDistribution(
            self.versions,
            self.topology,
            self.summarize,
            self.distribution.random,
            self.distribution.repair_not_before,
        )
        self.handlers = self._handlers()


class FlatDistribution(Distribution):
    """Pushes whole values to all members at once."""

    __slots__ = ()

    def on_platform_versions(self, versions, now):
        """Install versions and push them to all members."""
        installed = self._install(versions)
        changes = [self.versions.change_since(name, 0) for name in installed.names]
        if not changes:
            return installed.effects
        push = ChangePush(self.summarize(), self.topology.table.own_node, changes)
        own = self.topology.table.own_node
        others = [r for r in self.topology.table.records() if r.node != own]
        sends = [Send(r.address, r.region, push) for r in others]
        return installed.effects + sends

    def on_push(self, push, now):
        """Install pushed versions and forward nothing."""
        return self._install_changes(push.changes).effects


class GroupedChooser(NearestChooser):
    """Prefers one group of upstreams for each class of requests.

    Every third upstream is preferred by bulk requests, the others by lookups;
    a request falls back to the other group only if its own has no free slot. See
    "Replica Group Based Workload Isolation (StarTree Cloud)".
    """

    __slots__ = ("fallbacks",)

    def __init__(self, domain, region, random):
        super().__init__(domain, region, random)
        self.fallbacks = 0

    def choose(self, endpoints, call_class):
        """Return an endpoint of the preferred group, else of the other."""
        is_bulk = call_class == "bulk"
        preferred = [e for e in endpoints if _is_bulk_group(e) == is_bulk]
        if not preferred:
            self.fallbacks += 1
        return super().choose(preferred or endpoints, call_class)


def _is_bulk_group(endpoint):
    return hash_text(endpoint.address) % GROUPS == 0
