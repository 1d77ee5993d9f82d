from pathlib import Path

import pytest

from cyclamentally_node.reference import errors_page, settings_page

DOCS = Path(__file__).parents[4] / "docs"


@pytest.mark.parametrize(
    ("name", "make"), [("settings.md", settings_page), ("errors.md", errors_page)]
)
def test_committed_page_matches_the_tables(name, make):
    assert (DOCS / name).read_text() == make()
