"""Hashes that are the same on all nodes."""

from xxhash import xxh3_64_intdigest


def hash_text(text):
    """Return the 64-bit hash of a text."""
    return xxh3_64_intdigest(text.encode())


def hash_bytes(data):
    """Return the 64-bit hash of bytes."""
    return xxh3_64_intdigest(data)


def rank_by_rendezvous(key, names):
    """Order names by rendezvous hashing.

    Parameters
    ----------
    key : str
        Key to find the owner of.
    names : iterable of str
        Candidates.

    Returns
    -------
    list of str
        Candidates, the owner first. The removal of a candidate does not
        change the order of the others.
    """
    return sorted(names, key=lambda name: (hash_text(f"{key}/{name}"), name))


def first_by_rendezvous(key, names):
    """Return the owner of a key, or None if there are no candidates."""
    return min(names, key=lambda n: (hash_text(f"{key}/{n}"), n), default=None)
