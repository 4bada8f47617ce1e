"""Hypothesis profiles: deterministic by default, longer and random on demand."""

from __future__ import annotations

import os

from hypothesis import settings

from tests.fuzz import FUZZ_VARIABLE

settings.register_profile("ci", deadline=None, derandomize=True)
settings.register_profile("fuzz", deadline=None, derandomize=False)
settings.load_profile("fuzz" if FUZZ_VARIABLE in os.environ else "ci")
