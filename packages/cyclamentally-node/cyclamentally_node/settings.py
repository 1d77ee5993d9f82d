"""Settings of a node: defaults, parsing and validation."""

import tomllib
from ipaddress import ip_address

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.profiles import is_valid_name
from cyclamentally.records import Record
from cyclamentally_calls.decoding import MAX_PORT, parse_digits


class Setting(Record):
    """Definition of a setting.

    Parameters
    ----------
    default : object
        Default value; ``REQUIRED`` if there is none.
    kind : str
        ``name``, ``address``, ``addresses``, ``url``, ``whole``, ``choice``.
    allowed : tuple
        Bounds of a whole number, or the values of a choice.
    text : str
        Description with the unit.
    """

    __slots__ = ("default", "kind", "allowed", "text")

    def __init__(self, default, kind, text, allowed=()):
        self.default = default
        self.kind = kind
        self.text = text
        self.allowed = allowed


REQUIRED = None

DEFAULT_SETTINGS = {
    "node.name": Setting(REQUIRED, "name", "Name of the node, unique in the fleet."),
    "node.domain": Setting(REQUIRED, "name", "Failure domain of the host."),
    "node.region": Setting(REQUIRED, "name", "Region of the failure domain."),
    "listen.peers": Setting(
        REQUIRED, "address", "IP:port for other nodes; must be reachable by them."
    ),
    "listen.calls": Setting("127.0.0.1:8080", "address", "IP:port for callers."),
    "listen.admin": Setting(
        "127.0.0.1:8081",
        "address",
        "IP:port for operators, metrics and announcements of upstreams.",
    ),
    "peers.seeds": Setting(
        [], "addresses", "Peer addresses to join through, in several domains."
    ),
    "platform.url": Setting(REQUIRED, "url", "Base URL of the platform's store."),
    "platform.region": Setting(REQUIRED, "name", "Region of the platform's store."),
    "platform.timeout_ms": Setting(
        2_000, "whole", "Timeout of a call to the store, ms.", (10, 60_000)
    ),
    "platform.watch_ms": Setting(
        3_000, "whole", "Longest wait of a watch call, ms.", (100, 60_000)
    ),
    "calls.in_flight": Setting(
        256, "whole", "Maximum number of requests in flight.", (1, 4_096)
    ),
    "calls.max_body_bytes": Setting(
        1_000_000, "whole", "Maximum size of a request body, bytes.", (0, 100_000_000)
    ),
    "calls.drain_ms": Setting(
        10_000,
        "whole",
        "Longest wait for requests in flight at shutdown, ms.",
        (0, 600_000),
    ),
    "log.level": Setting(
        "info", "choice", "Minimum level of the log.", ("debug", "info", "warning")
    ),
}


class Settings(Record):
    """Validated settings; one attribute for each key of `DEFAULT_SETTINGS`.

    A dot in a key becomes an underscore in the name of the attribute.
    """

    __slots__ = tuple(key.replace(".", "_") for key in DEFAULT_SETTINGS)

    def __init__(self, values):
        for key in DEFAULT_SETTINGS:
            setattr(self, key.replace(".", "_"), values[key])


class SettingsReader:
    """Validates a parsed settings file.

    Parameters
    ----------
    document : dict
        Content of the TOML file.
    """

    __slots__ = ("document",)

    def __init__(self, document):
        self.document = document

    def read(self):
        """Return ``Done`` with `Settings`, or ``Refused`` for the first error."""
        flat = {}
        for section, table in self.document.items():
            if not isinstance(table, dict):
                return _refuse(section, table, "a table such as [node]")
            flat.update({f"{section}.{key}": value for key, value in table.items()})
        for key, value in flat.items():
            if key not in DEFAULT_SETTINGS:
                return _refuse(key, value, "one of the documented settings")
        values = {}
        for key, setting in DEFAULT_SETTINGS.items():
            value = flat.get(key, setting.default)
            expected = _CHECKS[setting.kind](value, setting.allowed)
            if expected is not None:
                return _refuse(key, value, expected)
            values[key] = value
        return Done(Settings(values))


def read_settings(path):
    """Read and validate a settings file.

    Parameters
    ----------
    path : str
        TOML file.

    Returns
    -------
    Done or Refused
        ``Done`` holds the `Settings`; ``Refused`` names key, value and what
        is allowed in one line.
    """
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except OSError as error:
        return Refused(Kind.SETTINGS_INVALID, f"{path}: {error.strerror}")
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Refused(Kind.SETTINGS_INVALID, f"{path}: {error}")
    return SettingsReader(document).read()


def is_address(value):
    """Return whether a text is ``IP:port``."""
    host, _, port = str(value).rpartition(":")
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        return False
    number = parse_digits(port)
    return number is not None and number <= MAX_PORT


def split_address(address):
    """Return host and port of a valid ``IP:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _refuse(key, value, expected):
    shown = "missing" if value is None else repr(value)[:80]
    detail = f"{key}: {shown}; allowed is {expected}"
    return Refused(Kind.SETTINGS_INVALID, detail)


def _check_name(value, allowed):
    is_valid = isinstance(value, str) and is_valid_name(value)
    return None if is_valid else "a name of a-z, 0-9 and hyphens"


def _check_address(value, allowed):
    is_valid = isinstance(value, str) and is_address(value)
    return None if is_valid else "IP:port such as 10.0.0.1:7100"


def _check_addresses(value, allowed):
    is_valid = isinstance(value, list) and all(is_address(item) for item in value)
    return None if is_valid else "a list of IP:port"


def _check_url(value, allowed):
    prefix = "http://"
    is_valid = isinstance(value, str) and value.startswith(prefix)
    if is_valid and is_address(value.removeprefix(prefix).rstrip("/")):
        return None
    return "http://IP:port"


def _check_whole(value, allowed):
    low, high = allowed
    is_whole = isinstance(value, int) and not isinstance(value, bool)
    if is_whole and low <= value <= high:
        return None
    return f"a whole number in {low}..{high}"


def _check_choice(value, allowed):
    return None if value in allowed else f"one of {', '.join(allowed)}"


_CHECKS = {
    "name": _check_name,
    "address": _check_address,
    "addresses": _check_addresses,
    "url": _check_url,
    "whole": _check_whole,
    "choice": _check_choice,
}
