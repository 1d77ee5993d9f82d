"""Readiness of a node for callers."""

from cyclamentally.chart import runs_chart


@runs_chart("readiness")
class Readiness:
    """Ready from known routes and hosts until shutdown; runs ``readiness``."""

    __slots__ = ("state",)

    def __init__(self):
        self.state = self.chart.initial

    @property
    def is_ready(self):
        """Whether callers should be sent to the node."""
        return self.state == "ready"

    @property
    def is_leaving(self):
        """Whether the node is shutting down."""
        return self.state == "leaving"

    def fire(self, event):
        """Run an event of the chart."""
        self.chart.fire(self, event)
