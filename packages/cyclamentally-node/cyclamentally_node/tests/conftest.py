"""Fixtures of the node package."""

import pytest

from cyclamentally_node.tests.support import CallsStack, ScriptedUpstream


@pytest.fixture
def stack():
    stack = CallsStack()
    yield stack
    stack.close()


@pytest.fixture
def make_upstream():
    upstreams = []

    def make(*script):
        upstreams.append(ScriptedUpstream(*script))
        return upstreams[-1]

    yield make
    for upstream in upstreams:
        upstream.close()
