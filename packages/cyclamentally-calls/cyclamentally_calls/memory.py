"""Garbage collector settings of a process that serves requests."""

import gc

# Few objects of a request form cycles, and a full collection pauses all requests.
COLLECT_AFTER_OBJECTS = 20_000


def settle_memory():
    """Exclude all present objects from garbage collection and make it rarer."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER_OBJECTS)
