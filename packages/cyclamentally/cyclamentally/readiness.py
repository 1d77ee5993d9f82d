"""Whether callers may come to a node."""

from cyclamentally.chart import runs_chart


@runs_chart("readiness")
class Readiness:
    """Ready once routes and hosts are known, until the end; runs ``readiness``."""

    __slots__ = ("state",)

    def __init__(self):
        self.state = self.chart.initial

    @property
    def is_ready(self):
        """Whether callers may come."""
        return self.state == "ready"

    def fire(self, event):
        """Run an event of the chart."""
        self.chart.fire(self, event)
