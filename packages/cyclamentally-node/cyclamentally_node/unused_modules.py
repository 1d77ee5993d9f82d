"""Blocks imports of unused modules of the standard library, to save memory.

The memory limit of a node is 32 MB. Hosts use plain HTTP and the daemon has no
coroutines, yet its libraries import TLS and ``asyncio``.
"""

import sys
from types import ModuleType

# urllib3, http.client and hashlib are documented to work without these.
OPTIONAL_MODULES = ("ssl", "_ssl", "_hashlib")
# pynng refers to this at import, but uses it only in coroutines.
UNUSED_MODULES = ("asyncio",)


def block_unused_modules():
    """Make imports of optional modules fail, and those of unused ones empty."""
    for name in OPTIONAL_MODULES:
        sys.modules.setdefault(name, None)
    for name in UNUSED_MODULES:
        sys.modules.setdefault(name, ModuleType(name))
