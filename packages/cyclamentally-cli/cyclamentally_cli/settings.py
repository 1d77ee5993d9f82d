"""Settings of the command line tool for operators."""

import tomllib
from getpass import getuser

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.records import Record

DEFAULT_SETTINGS = {
    "platform.url": "http://127.0.0.1:7000",
    "platform.timeout_ms": 3_000,
    "nodes.admin": ["127.0.0.1:8081"],
    "operator.name": "",
}


class OperatorSettings(Record):
    """Addresses of the platform and the nodes, and name of the operator.

    Parameters
    ----------
    platform_url : str
        Base URL of the platform's store.
    platform_timeout_ms : int
        Timeout of a call to the store, ms.
    nodes_admin : list of str
        Admin addresses of nodes, ``IP:port``, queried in this order.
    operator_name : str
        Name stored as the writer of a version; the login name if empty.
    """

    __slots__ = tuple(key.replace(".", "_") for key in DEFAULT_SETTINGS)

    def __init__(self, values):
        for key in DEFAULT_SETTINGS:
            setattr(self, key.replace(".", "_"), values[key])
        self.operator_name = self.operator_name or getuser()


def read_operator_settings(path):
    """Read a settings file; an empty path gives the defaults.

    Returns
    -------
    Done or Refused
        ``Done`` holds the `OperatorSettings`.
    """
    if not path:
        return Done(OperatorSettings(DEFAULT_SETTINGS))
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Refused(Kind.SETTINGS_INVALID, f"{path}: {error}")
    values = dict(DEFAULT_SETTINGS)
    for section, table in document.items():
        entries = table.items() if isinstance(table, dict) else [("", table)]
        for key, value in entries:
            name = f"{section}.{key}"
            expected = type(DEFAULT_SETTINGS.get(name))
            if name not in DEFAULT_SETTINGS or type(value) is not expected:
                allowed = ", ".join(DEFAULT_SETTINGS)
                detail = f"{name}: {value!r:.80}; allowed are {allowed}"
                return Refused(Kind.SETTINGS_INVALID, detail)
            values[name] = value
    return Done(OperatorSettings(values))
