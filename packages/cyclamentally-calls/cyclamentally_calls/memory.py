"""Garbage collector settings of a process that serves requests."""

import gc

# Few objects of a request form cycles, and a full collection pauses all requests.
GC_THRESHOLD_OBJECTS = 20_000


def configure_gc():
    """Exclude all present objects from garbage collection and make it rarer."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
