"""Counts of the data plane, rendered as metrics when they are asked for."""

PREFIX = "cyclamentally_"


class Counters:
    """Sums by name and label."""

    __slots__ = ("sums",)

    def __init__(self):
        self.sums = {}

    def add(self, name, label="", amount=1):
        """Add to a sum."""
        key = (name, str(label))
        self.sums[key] = self.sums.get(key, 0) + amount

    def take(self, effects):
        """Add the `Count` effects of a decision."""
        for effect in effects:
            self.add(effect.name, effect.label, effect.amount)

    def render(self):
        """Return the body of the metrics in the text format."""
        # Imported late: few nodes are ever asked, and memory is dear.
        from aioprometheus import Counter, Registry, render

        registry = Registry()
        counters = {}
        for (name, label), amount in sorted(self.sums.items()):
            if name not in counters:
                counters[name] = Counter(
                    PREFIX + name, f"Count of {name}.", registry=registry
                )
            counters[name].add({"reason": label} if label else {}, amount)
        body, _ = render(registry, [])
        return body
