"""Entry point of the command line tool for operators."""

import sys
from typing import Literal

from cyclopts import App
from msgspec.json import encode

from cyclamentally.errors import Refused
from cyclamentally_cli import __version__
from cyclamentally_cli.node_client import NodeClient
from cyclamentally_cli.profile_commands import (
    Json,
    SettingsPath,
    print_refusal,
    profile_app,
)
from cyclamentally_cli.settings import read_operator_settings

app = App(
    name="cyclamentally",
    help="Write profiles and show which nodes have them in force.",
    version=__version__,
)
app.command(profile_app)


@app.command
def completion(shell: Literal["bash", "zsh", "fish"]) -> int:
    """Print the completion script of a shell."""
    print(app.generate_completion(shell=shell))
    return 0


@app.command
def status(*, json: Json = False, settings: SettingsPath = "") -> int:
    """Show for each failure domain how many nodes run the newest versions."""
    outcome = read_operator_settings(settings)
    if isinstance(outcome, Refused):
        return print_refusal(outcome)
    client = NodeClient(outcome.value.nodes_admin)
    views = client.status()
    client.close()
    if isinstance(views, Refused):
        return print_refusal(views)
    if json:
        print(encode([_to_dict(view) for view in views.value]).decode())
        return 0
    for view in views.value:
        _print_domain(view)
    return 0


def _print_domain(view):
    state = "current" if view.current == view.live else "behind"
    if not view.versions and view.current == 0:
        state = "no answer"
    print(
        f"{view.domain:20} {view.region:12} "
        f"{view.current:5} of {view.live:5} nodes current  {state}"
    )
    for name, version in sorted(view.versions.items()):
        print(f"    {name} version {version}")
    if view.stale_ms:
        print(f"    no updates from the platform for {view.stale_ms / 1_000:.1f} s")
    if view.behind:
        print(f"    behind: {', '.join(view.behind)}")
    for entry in view.refused:
        print(f"    refused: {entry['name']} {entry['version']}: {entry['reason']}")


def _to_dict(view):
    return {name: getattr(view, name) for name in view.__slots__}


def main():
    """Parse the command line."""
    sys.exit(app())


if __name__ == "__main__":
    main()
