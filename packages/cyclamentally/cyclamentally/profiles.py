"""The profile model, and the checks that every version must pass."""

import re

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.records import Record

MAX_BODY_BYTES = 1_000_000
MAX_SERVICES = 1_000
MAX_ROUTES = 10_000
MAX_NAME_CHARS = 63
MAX_PREFIX_CHARS = 500

NAME_PATTERN = re.compile(r"[a-z][a-z0-9-]*\Z")
PREFIX_PATTERN = re.compile(r"/[!-~]*\Z")
CALL_CLASSES = ("lookup", "bulk")


class Limit(Record):
    """Default and bounds of a number in a profile.

    Parameters
    ----------
    default, low, high : int
        Value if absent, smallest and largest accepted value.
    text : str
        Meaning and unit, for the settings reference.
    """

    __slots__ = ("default", "low", "high", "text")

    def __init__(self, default, low, high, text):
        self.default = default
        self.low = low
        self.high = high
        self.text = text


SERVICE_LIMITS = {
    "timeout_ms": Limit(2_000, 10, 600_000, "Deadline of a request, ms."),
    "max_attempts": Limit(3, 1, 5, "Attempts for one request."),
    "retry_percent": Limit(10, 0, 100, "Retries per 100 first attempts."),
    "queue_length": Limit(64, 0, 10_000, "Most requests that wait for a slot."),
    "queue_wait_ms": Limit(500, 0, 60_000, "Longest wait for a slot, ms."),
    "eject_failures": Limit(5, 1, 100, "Consecutive failures until ejection."),
    "eject_ms": Limit(10_000, 100, 600_000, "Duration of the first ejection, ms."),
    "max_ejected_percent": Limit(50, 0, 100, "Most upstreams ejected at once, %."),
    "slow_start_ms": Limit(5_000, 0, 600_000, "Duration of the slow start, ms."),
    "bulk_percent": Limit(50, 1, 100, "Share of slots open to bulk requests, %."),
}


class ServicePolicy(Record):
    """Limits of the requests to one service; see `SERVICE_LIMITS`."""

    __slots__ = ("service", *SERVICE_LIMITS)

    def __init__(self, service, numbers):
        self.service = service
        for key, limit in SERVICE_LIMITS.items():
            setattr(self, key, numbers.get(key, limit.default))


class RouteRule(Record):
    """A route as the operator wrote it.

    Parameters
    ----------
    prefix : str
        Path prefix.
    service : str
        Service of the same profile.
    call_class : str
        ``lookup`` or ``bulk``.
    """

    __slots__ = ("prefix", "service", "call_class")

    def __init__(self, prefix, service, call_class):
        self.prefix = prefix
        self.service = service
        self.call_class = call_class


class Profile(Record):
    """A checked profile.

    Parameters
    ----------
    name : str
        Name of the profile.
    services : dict of str to ServicePolicy
        Policies by service.
    routes : list of RouteRule
        Routes to these services.
    """

    __slots__ = ("name", "services", "routes")

    def __init__(self, name, services, routes):
        self.name = name
        self.services = services
        self.routes = routes


class ProfileChecker:
    """Check one profile document."""

    __slots__ = ("document", "name")

    def __init__(self, name, document):
        self.name = name
        self.document = document

    def check(self):
        """Return the profile, or the first fault found.

        Returns
        -------
        Done or Refused
            ``Done`` holds the `Profile`; ``Refused`` has the kind
            ``profile_invalid`` and names the key.
        """
        try:
            return Done(self._profile())
        except _InvalidProfileError as error:
            return Refused(Kind.PROFILE_INVALID, str(error))

    def _profile(self):
        check_name("name", self.name)
        self._table("profile", self.document, {"services", "routes"})
        services = self.document.get("services", {})
        routes = self.document.get("routes", {})
        self._table("services", services, None)
        self._table("routes", routes, None)
        if len(services) > MAX_SERVICES:
            raise _InvalidProfileError(
                f"services: {len(services)} entries, the maximum is {MAX_SERVICES}"
            )
        if len(routes) > MAX_ROUTES:
            raise _InvalidProfileError(
                f"routes: {len(routes)} entries, the maximum is {MAX_ROUTES}"
            )
        policies = {name: self._policy(name, services[name]) for name in services}
        rules = [self._rule(key, routes[key], policies) for key in sorted(routes)]
        return Profile(self.name, policies, rules)

    def _table(self, key, value, allowed):
        if not isinstance(value, dict):
            raise _InvalidProfileError(f"{key}: {value!r:.60} is not a table")
        if allowed is None:
            return
        for extra in sorted(value.keys() - allowed, key=str):
            raise _InvalidProfileError(f"{key}.{extra}: unknown key")

    def _policy(self, name, body):
        key = f"services.{name}"
        check_name(key, name)
        self._table(key, body, SERVICE_LIMITS.keys())
        for field, value in body.items():
            check_number(f"{key}.{field}", value, SERVICE_LIMITS[field])
        return ServicePolicy(name, body)

    def _rule(self, prefix, body, policies):
        key = f"routes.{prefix!r:.80}"
        if len(prefix) > MAX_PREFIX_CHARS or not PREFIX_PATTERN.match(prefix):
            raise _InvalidProfileError(
                f"{key}: not an absolute path of printable characters"
            )
        self._table(key, body, {"service", "call_class"})
        service = body.get("service")
        if not isinstance(service, str) or service not in policies:
            raise _InvalidProfileError(
                f"{key}.service: {service!r:.60} is not in this profile"
            )
        call_class = body.get("call_class", CALL_CLASSES[0])
        if call_class not in CALL_CLASSES:
            raise _InvalidProfileError(
                f"{key}.call_class: {call_class!r:.60} is not one of {CALL_CLASSES}"
            )
        return RouteRule(prefix, service, call_class)


class _InvalidProfileError(Exception):
    """Raised by a nested check; the text names the key and the fault."""


def check_name(key, name):
    """Check the name of a profile or service.

    Raises
    ------
    Exception
        The name is too long, does not start with a lower-case letter or has
        other characters than lower-case letters, digits and hyphens.
    """
    if not isinstance(name, str) or len(name) > MAX_NAME_CHARS:
        raise _InvalidProfileError(
            f"{key}: not a text, or has over {MAX_NAME_CHARS} characters"
        )
    if not NAME_PATTERN.match(name):
        raise _InvalidProfileError(
            f"{key}: {name!r} is not a name such as 'standings-2'"
        )


def check_number(key, value, limit):
    """Check a whole number against its bounds.

    Raises
    ------
    Exception
        The value is not a whole number or is out of bounds.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise _InvalidProfileError(f"{key}: {value!r:.60} is not a whole number")
    if not limit.low <= value <= limit.high:
        raise _InvalidProfileError(
            f"{key}: {value} is not in {limit.low}..{limit.high}"
        )


def is_valid_name(name):
    """Return whether a value is a valid name of a profile or service."""
    try:
        check_name("name", name)
    except _InvalidProfileError:
        return False
    return True


def check_profile(name, document):
    """Check a profile document; see `ProfileChecker.check`."""
    return ProfileChecker(name, document).check()
