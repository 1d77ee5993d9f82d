"""A node with another choice among upstreams, for benchmarks.

The second argument names it: ``nearest`` (the product), ``random``,
``robin`` or ``grouped``.
"""

import sys

from cyclamentally.routing import RandomChooser, RoundRobinChooser
from cyclamentally_node.daemon import run
from cyclamentally_node.node import Node, NodeComponents, choose_nearest
from cyclamentally_testing.baselines import GroupedChooser


def choose_randomly(settings, random):
    """Return the chooser of the random baseline."""
    return RandomChooser(random)


def choose_in_turn(settings, random):
    """Return the chooser of the round robin baseline."""
    return RoundRobinChooser()


def choose_by_group(settings, random):
    """Return the chooser with preferred and fallback groups."""
    return GroupedChooser(settings.node_domain, settings.node_region, random)


MAKERS = {
    "nearest": choose_nearest,
    "random": choose_randomly,
    "robin": choose_in_turn,
    "grouped": choose_by_group,
}


def make_node(settings):
    """Return a node with the chooser named on the command line."""
    return Node(settings, NodeComponents(make_chooser=MAKERS[sys.argv[2]]))


if __name__ == "__main__":
    sys.exit(run(sys.argv[1], make_node))
