"""Idempotency keys: format, home domain and owner."""

from uuid import UUID

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.hashing import first_by_rendezvous
from cyclamentally.members import is_live
from cyclamentally.profiles import is_valid_name
from cyclamentally.records import Record

UUID_VERSION = 7
TIMESTAMP_SHIFT_BITS = 80
OWNERSHIP_DELAY_MS = 10_000
MAX_CLOCK_SKEW_MS = 2_000
KEY_WINDOW_MS = 300_000


class IdempotencyKey(Record):
    """A caller's key for a request that must run at most once.

    Parameters
    ----------
    text : str
        The key as it was sent, ``DOMAIN.UUID`` or ``UUID``.
    home : str
        Failure domain whose nodes own the key; empty if the key names none.
    minted_ms : int
        Timestamp of the UUID, in ms since the epoch.
    """

    __slots__ = ("text", "home", "minted_ms")

    def __init__(self, text, home, minted_ms):
        self.text = text
        self.home = home
        self.minted_ms = minted_ms


def parse_key(text, now_ms):
    """Parse and check a key.

    Parameters
    ----------
    text : str
        Header value.
    now_ms : int
        Time in ms since the epoch.

    Returns
    -------
    Done or Refused
        ``Done`` holds the `IdempotencyKey`. A key from the future is refused,
        because a later owner could not tell it from a new one. For a key older
        than the window, the outcome is unknown.
    """
    home, _, number = text.rpartition(".")
    if home and not is_valid_name(home):
        return Refused(Kind.BAD_KEY, f"{home[:80]!r} is not a valid failure domain")
    try:
        uuid = UUID(number)
    except ValueError:
        return Refused(Kind.BAD_KEY, "key is not DOMAIN.UUID or UUID of version 7")
    if uuid.version != UUID_VERSION:
        return Refused(Kind.BAD_KEY, f"UUID version is {uuid.version} instead of 7")
    minted_ms = uuid.int >> TIMESTAMP_SHIFT_BITS
    if minted_ms > now_ms + MAX_CLOCK_SKEW_MS:
        return Refused(Kind.BAD_KEY, f"UUID is {minted_ms - now_ms} ms in the future")
    if minted_ms < now_ms - KEY_WINDOW_MS:
        detail = f"the key is older than {KEY_WINDOW_MS // 1_000} s"
        return Refused(Kind.OUTCOME_UNKNOWN, detail)
    return Done(IdempotencyKey(text, home, minted_ms))


def find_owner(key, records):
    """Return the record of the node that owns a key, or None.

    Only nodes that started well before the key was minted are candidates, so that
    all nodes know them and compute the same owner.

    Parameters
    ----------
    key : IdempotencyKey
        The key.
    records : iterable of MemberRecord
        Members of all domains.
    """
    records = [record for record in records if is_live(record)]
    home = key.home or first_by_rendezvous(key.text, {r.domain for r in records})
    candidates = {
        record.node: record
        for record in records
        if record.domain == home and is_settled(record, key)
    }
    return candidates.get(first_by_rendezvous(key.text, candidates))


def is_settled(record, key):
    """Return whether a node started early enough to own a key."""
    return record.started_ms + OWNERSHIP_DELAY_MS < key.minted_ms
