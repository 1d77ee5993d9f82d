"""A node with a selectable choice among upstreams, for benchmarks.

The second argument names the chooser: ``nearest`` (the product), ``random``,
``robin`` or ``grouped``.
"""

import sys

from cyclamentally.routing import RandomChooser, RoundRobinChooser
from cyclamentally_node.daemon import run
from cyclamentally_node.node import Node, NodeParts, choose_nearest
from cyclamentally_testing.baselines import GroupedChooser


def make_random_chooser(settings, random):
    """Return the chooser of the random baseline."""
    return RandomChooser(random)


def make_round_robin_chooser(settings, random):
    """Return the chooser of the round robin baseline."""
    return RoundRobinChooser()


def make_grouped_chooser(settings, random):
    """Return the chooser with preferred and fallback groups."""
    return GroupedChooser(settings.node_domain, settings.node_region, random)


CHOOSER_MAKERS = {
    "nearest": choose_nearest,
    "random": make_random_chooser,
    "robin": make_round_robin_chooser,
    "grouped": make_grouped_chooser,
}


def make_node(settings):
    """Return a node with the chooser named on the command line."""
    return Node(settings, NodeParts(make_chooser=CHOOSER_MAKERS[sys.argv[2]]))


if __name__ == "__main__":
    sys.exit(run(sys.argv[1], make_node))
