"""The daemon process, which does not load the command line library."""

import sys
from signal import SIGINT, SIGTERM, signal
from threading import Event

from absl.logging import get_absl_logger

from cyclamentally.errors import Refused
from cyclamentally_calls.memory import configure_gc
from cyclamentally_node.logs import configure_logging
from cyclamentally_node.settings import read_settings
from cyclamentally_node.unused_modules import block_unused_modules

block_unused_modules()

logger = get_absl_logger()

SIGNAL_WAIT_S = 3_600.0
# A thread that waits for the interpreter lock (GIL) gets it after this time. The
# default of 5 ms is three times the latency that a node may add to a call.
SWITCH_INTERVAL_S = 0.0005


def make_default_node(settings):
    """Return a `Node`; its libraries are imported only here, to save memory."""
    from cyclamentally_node.node import Node

    return Node(settings)


def run(path, make_node=make_default_node):
    """Run a node until SIGTERM or SIGINT.

    Parameters
    ----------
    path : str
        Settings file.
    make_node : callable
        Takes the settings and returns the node.

    Returns
    -------
    int
        Exit code.
    """
    settings = read_settings(path)
    if isinstance(settings, Refused):
        print(settings.detail, file=sys.stderr)
        return settings.answer.exit_code
    settings = settings.value
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    configure_logging(settings.node_name, settings.log_level)
    stop = Event()
    for number in (SIGTERM, SIGINT):
        signal(number, lambda *_: stop.set())
    logger.info("node: started: %s", settings.listen_peers)
    node = make_node(settings)
    node.start()
    configure_gc()
    while not stop.wait(SIGNAL_WAIT_S):
        pass
    node.close()
    logger.info("node: stopped: signal")
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1]))
