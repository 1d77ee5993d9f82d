"""Client of the admin interface of nodes."""

from msgspec import MsgspecError
from msgspec.json import decode
from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.records import Record

TIMEOUT_S = 4.0
HTTP_OK = 200


class DomainView(Record):
    """Status of one failure domain, as collected by a node.

    Parameters
    ----------
    domain, region : str
        Failure domain and its region.
    live, current : int
        Number of live nodes, and of those that run the newest versions.
    behind : list of str
        Names of some nodes that run older versions.
    refused : list
        Versions that nodes have refused, with the reasons.
    versions : dict of str to int
        Version in force by profile.
    stale_ms : int
        Time for which the domain has been cut off from new versions, ms.
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
    """Queries nodes in order and returns the first answer.

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
            return Done([_decode_view(entry) for entry in answer.value])
        except (KeyError, TypeError) as error:
            return Refused(Kind.NODE_UNREACHABLE, f"malformed status: {error!r}")

    def close(self):
        """Close all connections."""
        self.pool.clear()

    def _get(self, path):
        detail = "nodes.admin lists no address"
        for address in self.addresses:
            try:
                response = self.pool.request("GET", f"http://{address}{path}")
                if response.status == HTTP_OK:
                    return Done(decode(response.data))
                detail = f"{address}: HTTP status {response.status}"
            except (HTTPError, MsgspecError) as error:
                detail = f"{address}: {error}"
        return Refused(Kind.NODE_UNREACHABLE, detail[:300])


def _decode_view(entry):
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
