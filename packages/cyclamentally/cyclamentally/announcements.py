"""Upstreams that were announced to the node on their host."""

from cyclamentally.chart import runs_chart
from cyclamentally.effects import Count, StateChanged
from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.profiles import is_valid_name

ANNOUNCEMENT_TTL_S = 3.5
MAX_UPSTREAMS = 32
MAX_SLOTS = 100_000


@runs_chart("announcement")
class Announcement:
    """One announced upstream; runs the chart ``announcement``.

    Parameters
    ----------
    address : str
        ``IP:port`` of the upstream.
    """

    __slots__ = ("address", "state", "upstream")

    def __init__(self, address):
        self.address = address
        self.state = self.chart.initial
        self.upstream = None

    def fire(self, event, upstream=None):
        """Run an event of the chart and return the effects."""
        before = self.state
        effects = self.chart.fire(self, event, upstream)
        if self.state != before:
            effects.append(Count("announcements_total", self.state))
            effects.append(StateChanged(f"upstream {self.address}", self.state, event))
        return effects

    def adopt(self, upstream):
        """Store the announced upstream."""
        self.upstream = upstream

    def remove(self, upstream):
        """Remove the announced upstream."""
        self.upstream = None


class Announcements:
    """Upstreams on this node's host, by address.

    An announcement expires after `ANNOUNCEMENT_TTL_S` unless it is renewed.
    """

    __slots__ = ("by_address", "expires_at")

    def __init__(self):
        self.by_address = {}
        self.expires_at = {}

    def announce(self, upstream, now):
        """Add or renew an announcement.

        Returns
        -------
        Done or Refused
            ``Done`` holds the effects.
        """
        refusal = self._check(upstream)
        if refusal is not None:
            return refusal
        address = upstream.address
        announcement = self.by_address.setdefault(address, Announcement(address))
        self.expires_at[address] = now + ANNOUNCEMENT_TTL_S
        event = "announce_draining" if upstream.draining else "announce"
        return Done(announcement.fire(event, upstream))

    def withdraw(self, address):
        """Withdraw an announcement and return the effects."""
        return self._remove(address, "withdraw")

    def tick(self, now):
        """Remove expired announcements and return the effects."""
        effects = []
        for address, expires in list(self.expires_at.items()):
            if now >= expires:
                effects += self._remove(address, "lapse")
        return effects

    def upstreams(self):
        """Return the announced upstreams, ordered by address."""
        announcements = [
            self.by_address[address] for address in sorted(self.by_address)
        ]
        return [
            announcement.upstream
            for announcement in announcements
            if announcement.upstream is not None
        ]

    def _remove(self, address, event):
        if address not in self.by_address:
            return []
        del self.expires_at[address]
        return self.by_address.pop(address).fire(event)

    def _check(self, upstream):
        if not is_valid_name(upstream.service) or not is_valid_name(upstream.profile):
            return Refused(Kind.BAD_REQUEST, "service and profile must be valid names")
        for key in ("slots", "connections"):
            if not 1 <= getattr(upstream, key) <= MAX_SLOTS:
                return Refused(
                    Kind.BAD_REQUEST,
                    f"{key} is {getattr(upstream, key)}, must be in 1..{MAX_SLOTS}",
                )
        is_new = upstream.address not in self.by_address
        if is_new and len(self.by_address) >= MAX_UPSTREAMS:
            return Refused(
                Kind.BAD_REQUEST,
                f"host has announced its maximum of {MAX_UPSTREAMS} upstreams",
            )
        return None
