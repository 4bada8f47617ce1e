"""The declarations of the bundled examples are valid."""

from pathlib import Path

import pytest
from returns.result import Success

from rudderpass.declarations import load_declarations

EXAMPLES = Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize("profile", ["nourlight", "ektypo"])
def test_example_declarations_are_valid(profile: str) -> None:
    assert isinstance(load_declarations(EXAMPLES / profile), Success)
