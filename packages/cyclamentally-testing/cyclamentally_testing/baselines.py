"""Other ways of distribution, to compare the product with."""

from cyclamentally.control import ControlPlane
from cyclamentally.distribution import Distribution
from cyclamentally.effects import Send, WatchPlatform
from cyclamentally.messages import ChangePush


class WatchingPlane(ControlPlane):
    """Every node watches the platform; nothing is pushed."""

    __slots__ = ("is_watching",)

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.is_watching = False
        self.distribution = SilentDistribution(
            self.versions,
            self.topology,
            self.summarize,
            self.distribution.random,
            self.distribution.not_before,
        )

    def tick(self, now):
        """Start the watch once; leave out what relays do."""
        effects = [e for e in super().tick(now) if not isinstance(e, WatchPlatform)]
        if not self.is_watching:
            self.is_watching = True
            effects.append(WatchPlatform(True))
        return effects


class SilentDistribution(Distribution):
    """Install what the platform returns and send nothing."""

    __slots__ = ()

    def on_platform(self, versions, now):
        """Install versions."""
        return self._install(versions).effects

    def on_summary(self, summary, now):
        """Plan no repair."""


class FlatPlane(ControlPlane):
    """The source pushes whole values to every node."""

    __slots__ = ()

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.distribution = FlatDistribution(
            self.versions,
            self.topology,
            self.summarize,
            self.distribution.random,
            self.distribution.not_before,
        )
        self.handlers = self._handlers()


class FlatDistribution(Distribution):
    """Push whole values to all members at once."""

    __slots__ = ()

    def on_platform(self, versions, now):
        """Install versions and push them to all members."""
        installed = self._install(versions)
        changes = [self.versions.change(name, 0) for name in installed.names]
        if not changes:
            return installed.effects
        push = ChangePush(self.summarize(), self.topology.table.own, changes)
        own = self.topology.table.own
        others = [r for r in self.topology.table.records() if r.node != own]
        sends = [Send(r.address, r.region, push) for r in others]
        return installed.effects + sends

    def on_push(self, push, now):
        """Install pushed versions and forward nothing."""
        return self._restore(push.changes).effects
