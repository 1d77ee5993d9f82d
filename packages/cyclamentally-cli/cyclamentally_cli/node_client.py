"""Questions to the admin address of nodes."""

from msgspec import MsgspecError
from msgspec.json import decode
from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.records import Record

TIMEOUT_S = 4.0
HTTP_OK = 200


class DomainView(Record):
    """Status of one failure domain as a node has collected it.

    Parameters
    ----------
    domain, region : str
        Failure domain and its region.
    live, current : int
        Live nodes, and those that run the newest versions.
    behind : list of str
        Some nodes that do not.
    refused : list
        Versions that nodes refuse, with the reason.
    versions : dict of str to int
        Version in force by profile.
    stale_ms : int
        Time since new versions would have reached the domain, ms.
    """

    __slots__ = (
        "domain",
        "region",
        "live",
        "current",
        "behind",
        "refused",
        "versions",
        "stale_ms",
    )

    def __init__(
        self, domain, region, live, current, behind, refused, versions, stale_ms
    ):
        self.domain = domain
        self.region = region
        self.live = live
        self.current = current
        self.behind = behind
        self.refused = refused
        self.versions = versions
        self.stale_ms = stale_ms


class NodeClient:
    """Ask nodes; the first that answers counts.

    Parameters
    ----------
    addresses : list of str
        Admin addresses, ``IP:port``.
    """

    __slots__ = ("addresses", "pool")

    def __init__(self, addresses):
        self.addresses = addresses
        self.pool = PoolManager(retries=False, timeout=TIMEOUT_S)

    def status(self):
        """Return ``Done`` with a list of `DomainView`."""
        answer = self._get("/status")
        if isinstance(answer, Refused):
            return answer
        try:
            return Done([_view(entry) for entry in answer.value])
        except (KeyError, TypeError) as error:
            return Refused(Kind.NODE_UNREACHABLE, f"malformed status: {error!r}")

    def close(self):
        """Close all connections."""
        self.pool.clear()

    def _get(self, path):
        detail = "no node is configured"
        for address in self.addresses:
            try:
                response = self.pool.request("GET", f"http://{address}{path}")
                if response.status == HTTP_OK:
                    return Done(decode(response.data))
                detail = f"{address} answered {response.status}"
            except (HTTPError, MsgspecError) as error:
                detail = f"{address}: {error}"
        return Refused(Kind.NODE_UNREACHABLE, detail[:300])


def _view(entry):
    versions = dict(zip(entry["names"], entry["versions"], strict=True))
    return DomainView(
        entry["domain"],
        entry["region"],
        entry["live"],
        entry["current"],
        entry["behind"],
        entry["refused"],
        versions,
        entry["stale_ms"],
    )
