"""Exponentially decaying sums."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class DecayingSum:
    """A sum that decays exponentially. Times and half-lives are in seconds."""

    value: float = 0.0
    updated_at: float = 0.0

    def read(self, now: float, half_life: float) -> float:
        """Return the sum decayed to ``now``."""
        return float(self.value * 0.5 ** (max(0.0, now - self.updated_at) / half_life))

    def add(self, amount: float, now: float, half_life: float) -> None:
        """Decay the sum to ``now`` and add an amount."""
        self.value = self.read(now, half_life) + amount
        self.updated_at = now
