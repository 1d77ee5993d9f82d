"""Settles the memory of a process that is about to serve."""

import gc

# Few objects of a request form cycles, and a full collection stops all calls.
COLLECT_AFTER_OBJECTS = 20_000


def settle_memory():
    """Leave what exists now out of later collections, and make them rare."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER_OBJECTS)
