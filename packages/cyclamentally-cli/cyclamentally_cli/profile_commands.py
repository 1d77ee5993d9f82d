"""Commands that read and write profiles."""

import sys
import tomllib
from difflib import unified_diff
from pathlib import Path
from typing import Annotated
from uuid import uuid4

from cyclamentally_platform.bodies import JsonBodyCodec
from cyclamentally_platform.client import HttpPlatform
from cyclamentally_platform.stored import JsonStoredCodec
from cyclopts import App, Parameter
from msgspec.json import decode, encode, format
from rich.console import Console
from rich.progress import Progress

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.profiles import check_profile
from cyclamentally.publishing import Publisher
from cyclamentally_cli.node_client import NodeClient
from cyclamentally_cli.rollout import RolloutWaiter
from cyclamentally_cli.settings import read_operator_settings

MS_PER_S = 1_000
DEFAULT_WAIT_S = 30.0

profile_app = App(name="profile", help="Check, write and read profiles.")

SettingsPath = Annotated[
    str, Parameter(name="--settings", help="Settings file in TOML.")
]
Json = Annotated[bool, Parameter(name="--json", negative="", help="Print JSON.")]
Wait = Annotated[
    bool,
    Parameter(name="--wait", negative="", help="Wait until in force on all nodes."),
]


def print_refusal(refusal):
    """Print a refusal to standard error and return its exit code."""
    print(f"{refusal.kind}: {refusal.detail}", file=sys.stderr)
    return refusal.answer.exit_code


def open_publisher(settings):
    """Return a `Publisher` that writes to the configured platform."""
    body_codec = JsonBodyCodec()
    platform = HttpPlatform(
        settings.platform_url, settings.platform_timeout_ms / MS_PER_S
    )
    return Publisher(
        platform,
        JsonStoredCodec(body_codec),
        body_codec,
        settings.operator_name,
        lambda: uuid4().hex,
    )


def read_document(path):
    """Return ``Done`` with the content of a profile file, or ``Refused``."""
    try:
        return Done(tomllib.loads(Path(path).read_text()))
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Refused(Kind.PROFILE_INVALID, f"{path}: {error}")


@profile_app.command
def check(name: str, file: Path) -> int:
    """Check a profile file without writing it."""
    document = read_document(file)
    if isinstance(document, Refused):
        return print_refusal(document)
    checked = check_profile(name, document.value)
    if isinstance(checked, Refused):
        return print_refusal(checked)
    routes = len(checked.value.routes)
    print(f"{name}: valid; {len(checked.value.services)} services, {routes} routes")
    return 0


@profile_app.command
def put(
    name: str,
    file: Path,
    *,
    expected: int | None = None,
    wait: Wait = False,
    timeout: float = DEFAULT_WAIT_S,
    settings: SettingsPath = "",
) -> int:
    """Write a new version of a profile.

    Parameters
    ----------
    expected
        Version that the change is based on; refused if it is not the current one.
    timeout
        Longest wait until the version is in force, in seconds.
    """
    document = read_document(file)
    if isinstance(document, Refused):
        return print_refusal(document)
    return _publish(
        settings,
        lambda publisher: publisher.put(name, document.value, expected),
        wait,
        timeout,
    )


@profile_app.command
def delete(
    name: str,
    *,
    expected: int | None = None,
    wait: Wait = False,
    timeout: float = DEFAULT_WAIT_S,
    settings: SettingsPath = "",
) -> int:
    """Delete a profile; later versions continue its numbering."""
    return _publish(
        settings,
        lambda publisher: publisher.delete(name, expected),
        wait,
        timeout,
    )


@profile_app.command
def revert(
    name: str,
    version: int,
    *,
    wait: Wait = False,
    timeout: float = DEFAULT_WAIT_S,
    settings: SettingsPath = "",
) -> int:
    """Write the content of an earlier version as a new version."""
    return _publish(
        settings, lambda publisher: publisher.revert(name, version), wait, timeout
    )


@profile_app.command
def get(name: str, *, json: Json = False, settings: SettingsPath = "") -> int:
    """Print the current version of a profile."""
    stored = _with_publisher(settings, lambda publisher: publisher.get(name))
    if isinstance(stored, Refused):
        return print_refusal(stored)
    version = stored.value.version
    if json:
        print(encode(_describe(version)).decode())
    else:
        print(f"# {name} version {version.version}, written by {version.writer}")
        print("# deleted" if version.deleted else _format_body(version.body))
    return 0


@profile_app.command(name="list")
def list_profiles(*, json: Json = False, settings: SettingsPath = "") -> int:
    """List all profiles with their versions."""
    versions = _with_publisher(settings, lambda publisher: publisher.list())
    return _print_versions(versions, json)


@profile_app.command
def history(name: str, *, json: Json = False, settings: SettingsPath = "") -> int:
    """List the stored versions of a profile."""
    versions = _with_publisher(settings, lambda publisher: publisher.history(name))
    return _print_versions(versions, json)


@profile_app.command
def diff(name: str, file: Path, *, settings: SettingsPath = "") -> int:
    """Compare a profile file with the current version."""
    document = read_document(file)
    if isinstance(document, Refused):
        return print_refusal(document)
    stored = _with_publisher(settings, lambda publisher: publisher.get(name))
    if isinstance(stored, Refused):
        return print_refusal(stored)
    current = _format_body(stored.value.version.body).splitlines()
    proposed = _format_body(JsonBodyCodec().canonical(document.value)).splitlines()
    lines = unified_diff(current, proposed, f"{name} in force", str(file), lineterm="")
    for line in lines:
        print(line)
    return 0


def _with_publisher(settings_path, query):
    settings = read_operator_settings(settings_path)
    if isinstance(settings, Refused):
        return settings
    publisher = open_publisher(settings.value)
    try:
        return query(publisher)
    finally:
        publisher.platform.close()


def _publish(settings_path, write, wait, timeout):
    settings = read_operator_settings(settings_path)
    if isinstance(settings, Refused):
        return print_refusal(settings)
    written = _with_publisher(settings_path, write)
    if isinstance(written, Refused):
        return print_refusal(written)
    version = written.value
    print(f"{version.name}: version {version.version} accepted")
    if not wait:
        return 0
    outcome = _wait_in_force(settings.value, version, timeout)
    if isinstance(outcome, Refused):
        return print_refusal(outcome)
    print(f"{version.name}: version {version.version} in force on all nodes")
    return 0


def _wait_in_force(settings, version, timeout):
    console = Console(file=sys.stderr)
    client = NodeClient(settings.nodes_admin)
    with Progress(console=console, disable=not console.is_terminal) as progress:
        task = progress.add_task("nodes in force", total=None)

        def report(in_force, live):
            progress.update(task, completed=in_force, total=live)

        outcome = RolloutWaiter(client, report).wait(version, timeout)
    client.close()
    return outcome


def _print_versions(outcome, json):
    if isinstance(outcome, Refused):
        return print_refusal(outcome)
    if json:
        print(encode([_describe(version) for version in outcome.value]).decode())
        return 0
    for version in outcome.value:
        suffix = "  deleted" if version.deleted else ""
        print(f"{version.name:30} {version.version:6}  {version.writer}{suffix}")
    return 0


def _describe(version):
    document = decode(version.body) if version.body else None
    return {
        "name": version.name,
        "version": version.version,
        "deleted": version.deleted,
        "writer": version.writer,
        "operation": version.operation,
        "document": document,
    }


def _format_body(body):
    return format(body, indent=2).decode() if body else ""
