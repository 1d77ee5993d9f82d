"""Fixtures of the decision package."""

from random import Random

import pytest
from cyclamentally_platform.bodies import JsonBodyCodec

from cyclamentally.tests.support import Exchange
from cyclamentally.versions import VersionTable


@pytest.fixture
def random():
    return Random(7)


@pytest.fixture
def table():
    return VersionTable(JsonBodyCodec())


@pytest.fixture
def exchange():
    return Exchange()


@pytest.fixture
def fleet(exchange):
    """Six failure domains in three regions, three nodes each."""
    for region in ("gogledd", "canolbarth", "de"):
        for domain in ("1", "2"):
            for host in ("a", "b", "c"):
                name = f"{region}-{domain}-{host}"
                exchange.add(name, f"{region}-{domain}", region)
    exchange.run_until(
        lambda: all(p.lifecycle.state == "serving" for p in exchange.planes.values()),
        60,
    )
    exchange.run(3)
    return exchange
