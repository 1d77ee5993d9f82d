"""Fixtures for the tests of the decision package."""

from random import Random

import pytest
from cyclamentally_platform.bodies import JsonBodyCodec

from cyclamentally.tests.support import SimulatedFleet
from cyclamentally.versions import VersionTable


@pytest.fixture
def random():
    return Random(7)


@pytest.fixture
def table():
    return VersionTable(JsonBodyCodec())


@pytest.fixture
def sim():
    return SimulatedFleet()


@pytest.fixture
def fleet(sim):
    """Six failure domains in three regions, with three nodes each."""
    for region in ("gogledd", "canolbarth", "de"):
        for domain in ("1", "2"):
            for host in ("a", "b", "c"):
                name = f"{region}-{domain}-{host}"
                sim.add(name, f"{region}-{domain}", region)
    sim.run_until(
        lambda: all(p.lifecycle.state == "serving" for p in sim.planes.values()), 60
    )
    sim.run(3)
    return sim
