"""Counters and duration histograms of the data plane."""

from bisect import bisect_left
from itertools import accumulate

PREFIX = "cyclamentally_"
# Upper bounds of the histogram buckets: fine around the usual targets (0.08 to
# 1.6 s), and up to the longest deadline.
BUCKET_BOUNDS_S = (0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 1.6, 2.5, 5.0, 10.0)


class DurationHistogram:
    """Histogram with the buckets `BUCKET_BOUNDS_S` and one above all bounds."""

    __slots__ = ("counts", "total_s")

    def __init__(self):
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.total_s = 0.0

    def add(self, seconds):
        """Record one duration."""
        self.counts[bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.total_s += seconds


class Counters:
    """Counters and histograms by name and label."""

    __slots__ = ("durations", "sums")

    def __init__(self):
        self.sums = {}
        self.durations = {}

    def add(self, name, label="", amount=1):
        """Add to a counter."""
        key = (name, str(label))
        self.sums[key] = self.sums.get(key, 0) + amount

    def observe(self, name, label, seconds):
        """Record a duration in a histogram."""
        key = (name, str(label))
        known = self.durations.get(key)
        if known is None:
            known = self.durations[key] = DurationHistogram()
        known.add(seconds)

    def add_effects(self, effects):
        """Add the `Count` effects of a decision."""
        for effect in effects:
            self.add(effect.name, effect.label, effect.amount)

    def render(self):
        """Return the metrics in the Prometheus text format."""
        # Imported on first use to save memory on nodes whose metrics nobody reads.
        from aioprometheus import Counter, Registry, render

        registry = Registry()
        counters = {}
        for (name, label), amount in sorted(self.sums.items()):
            if name not in counters:
                counters[name] = Counter(
                    PREFIX + name, f"Count of {name}.", registry=registry
                )
            counters[name].add({"reason": label} if label else {}, amount)
        self._add_durations(registry)
        body, _ = render(registry, [])
        return body

    def _add_durations(self, registry):
        from aioprometheus import Histogram
        from aioprometheus.histogram import Histogram as Buckets

        histograms = {}
        for (name, label), durations in sorted(self.durations.items()):
            if name not in histograms:
                histograms[name] = Histogram(
                    PREFIX + name, f"Seconds of {name}.", registry=registry
                )
            buckets = Buckets(*BUCKET_BOUNDS_S)
            sums = accumulate(durations.counts)
            buckets.buckets.update(zip(buckets.buckets, sums, strict=True))
            buckets.sum = durations.total_s
            buckets.observations = sum(durations.counts)
            histograms[name].set_value({"kind": label}, buckets)
