"""Command line of the node daemon."""

import os
import sys
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from cyclamentally.errors import Refused
from cyclamentally_node import __version__
from cyclamentally_node.settings import read_settings

app = App(
    name="cyclamentally-node",
    help="Run the cyclamentally node of a host.",
    version=__version__,
)


@app.default
def run_node(
    *,
    settings: Annotated[Path, Parameter(help="Settings file in TOML.")],
    check: Annotated[
        bool, Parameter(negative="", help="Check the settings and exit.")
    ] = False,
) -> int:
    """Run the node, or only check its settings."""
    outcome = read_settings(str(settings))
    if isinstance(outcome, Refused):
        print(outcome.detail, file=sys.stderr)
        return outcome.answer.exit_code
    if check:
        print(f"{settings}: valid")
        return 0
    # Replaces the process image, to free the memory of the command line library.
    command = [sys.executable, "-m", "cyclamentally_node.daemon", str(settings)]
    os.execv(sys.executable, command)
    return 0


def main():
    """Parse the command line."""
    sys.exit(app())


if __name__ == "__main__":
    main()
