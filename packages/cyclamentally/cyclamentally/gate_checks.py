"""Checks of a request that arrives at a gate."""

from cyclamentally.errors import Kind, Refused
from cyclamentally.suspects import MARK_LIFETIME_S


def find_refusal(gate, ticket):
    """Return why the upstream of a `Gate` cannot get a request now, or None.

    Parameters
    ----------
    gate : Gate
        The gate.
    ticket : Ticket
        The request.
    """
    present = gate.heartbeat
    if gate.state == "stopped":
        return Refused(Kind.STOPPING, "node is stopping")
    if not gate.has_routes:
        # The upstream's own calls for the request could not be routed.
        return Refused(Kind.NOT_READY, "node has not read a configuration yet")
    if present is None or gate.state == "unknown":
        has_left = gate.departure.upstream is not None
        kind = Kind.UPSTREAM_LEFT if has_left else Kind.NOT_READY
        return Refused(kind, "no upstream is known on this host")
    if ticket.upstream != present.upstream or ticket.service != present.service:
        return Refused(Kind.UPSTREAM_LEFT, f"host runs {present.upstream} now")
    if gate.state == "draining":
        return Refused(Kind.UPSTREAM_LEFT, "upstream is draining")
    if ticket.fingerprint in gate.isolation.suspects.quarantined:
        return suspended(ticket)
    if gate.state == "unreachable_upstream":
        return Refused(Kind.UPSTREAM_UNREACHABLE, "upstream is silent or unreachable")
    return None


def suspended(ticket):
    """Return the refusal of a request under which upstreams have ended."""
    detail = f"{ticket.service}: upstreams have ended while they ran this request"
    return Refused(Kind.REQUEST_SUSPENDED, detail, MARK_LIFETIME_S)
