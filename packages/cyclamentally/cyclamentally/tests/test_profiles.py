import pytest

from cyclamentally.errors import Done, Kind
from cyclamentally.profiles import MAX_NAME_CHARS, MAX_ROUTES, check_profile


def test_defaults_fill_what_is_absent():
    document = {
        "services": {"standings": {}},
        "routes": {"/s": {"service": "standings"}},
    }
    profile = check_profile("night", document).value
    assert profile.services["standings"].max_attempts == 3
    assert profile.routes[0].call_class == "lookup"


def service(**fields):
    return {"services": {"standings": fields}}


def route(prefix="/s", **fields):
    return {"services": {"standings": {}}, "routes": {prefix: fields}}


@pytest.mark.parametrize(
    ("document", "text"),
    [
        ([], "profile: [] is not a table"),
        ({"extra": 1}, "profile.extra: unknown key"),
        ({"services": []}, "services: [] is not a table"),
        ({"services": {"Caps": {}}}, "services.Caps: 'Caps' is not a name"),
        ({"services": {"a" * (MAX_NAME_CHARS + 1): {}}}, "over 63 characters"),
        (service(timeout_ms=0), "timeout_ms: 0 is not in 10..600000"),
        (service(timeout_ms=True), "timeout_ms: True is not a whole number"),
        (service(timeout_ms=1.5), "timeout_ms: 1.5 is not a whole number"),
        (service(speed=1), "services.standings.speed: unknown key"),
        (route(service="other"), "service: 'other' is not in this profile"),
        (route(service=["standings"]), "is not in this profile"),
        (route(prefix="s", service="standings"), "not an absolute path"),
        (route(prefix="/a b", service="standings"), "not an absolute path"),
        (route(service="standings", call_class="vip"), "call_class: 'vip'"),
        (
            {"routes": {f"/{n}": {} for n in range(MAX_ROUTES + 1)}},
            f"routes: {MAX_ROUTES + 1} entries",
        ),
    ],
)
def test_bad_profile_is_refused_with_its_key(document, text):
    refused = check_profile("night", document)
    assert refused.kind == Kind.PROFILE_INVALID
    assert text in refused.detail


def test_empty_profile_is_good():
    assert isinstance(check_profile("night", {}), Done)
