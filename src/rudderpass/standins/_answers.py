"""Predictable answers of the stand-ins, so that callers can verify what they receive.

A prompt carries a marker ``[[id=... tokens=...]]``, which sets the answer's content and
length. Only stand-ins read it; real engines generate until they stop.
"""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass

_MARKER = re.compile(r"\[\[id=([\w.-]+) tokens=(\d+)\]\]")
_DEFAULT_TOKENS = 16
_WORDS = ("beam", "truss", "lamp", "rail", "gel", "shutter", "cue", "plot")


@dataclass(frozen=True)
class AnswerPlan:
    """The answer to one prompt.

    :param marker: the id from the prompt's marker.
    :param tokens: length of the answer in tokens.
    """

    marker: str
    tokens: int

    def token(self, index: int) -> str:
        """Return the token at a position of the answer."""
        seed = hashlib.blake2b(f"{self.marker}:{index}".encode(), digest_size=4)
        word = _WORDS[seed.digest()[0] % len(_WORDS)]
        return f"{word}-{seed.hexdigest()} "

    def text(self) -> str:
        """Return the complete answer."""
        return "".join(self.token(index) for index in range(self.tokens))


def plan_answer(prompt: str) -> AnswerPlan:
    """Return the answer that every stand-in engine gives to ``prompt``."""
    match = _MARKER.search(prompt)
    if match is None:
        digest = hashlib.blake2b(prompt.encode(), digest_size=6).hexdigest()
        return AnswerPlan(digest, _DEFAULT_TOKENS)
    return AnswerPlan(match.group(1), int(match.group(2)))


def mark_prompt(text: str, marker: str, tokens: int) -> str:
    """Return a prompt whose answer is known in advance."""
    return f"{text} [[id={marker} tokens={tokens}]]"
