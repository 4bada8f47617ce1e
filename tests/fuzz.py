"""How many examples generated tests run: few in CI, more with ``make fuzz``."""

from __future__ import annotations

import os

from hypothesis import settings

FUZZ_VARIABLE = "RUDDERPASS_FUZZ"
"""Multiplies the number of examples; setting it also makes seeds random."""


def make_settings(examples: int, steps: int = 50) -> settings:
    """Return settings for a generated test."""
    factor = int(os.environ.get(FUZZ_VARIABLE, "1"))
    return settings(
        max_examples=examples * factor,
        stateful_step_count=steps,
        deadline=None,
        derandomize=FUZZ_VARIABLE not in os.environ,
    )
