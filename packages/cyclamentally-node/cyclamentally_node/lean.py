"""Keep unused modules of the standard library out of the daemon's memory.

A node has 32 MB. Hosts talk plain HTTP, and nothing in the daemon is
asynchronous, but libraries import TLS and ``asyncio`` all the same.
"""

import sys
from types import ModuleType

# urllib3, http.client and hashlib have a documented way to go without these.
OPTIONAL_MODULES = ("ssl", "_ssl", "_hashlib")
# pynng names this one at import and uses it only in coroutines.
UNUSED_MODULES = ("asyncio",)


def leave_out_unused():
    """Make the optional modules fail to import and the unused ones empty."""
    for name in OPTIONAL_MODULES:
        sys.modules.setdefault(name, None)
    for name in UNUSED_MODULES:
        sys.modules.setdefault(name, ModuleType(name))
