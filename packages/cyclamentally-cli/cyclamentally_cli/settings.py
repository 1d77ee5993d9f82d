"""Settings of the operators' tool."""

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
    """Where the platform and the nodes are, and who the operator is.

    Parameters
    ----------
    platform_url : str
        Base address of the key-value service.
    platform_timeout_ms : int
        Longest time of a call, ms.
    nodes_admin : list of str
        Admin addresses of nodes, ``IP:port``; the first that answers counts.
    operator_name : str
        Writer noted with each version; the login name if empty.
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
