"""What the stand-ins answer, so that a caller can check its own answer.

A prompt carries a marker ``[[id=... tokens=...]]`` that only stand-ins read; real
engines would find the length by running.
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

    :param marker: the id that the prompt carries.
    :param tokens: how many tokens the answer has.
    """

    marker: str
    tokens: int

    def token(self, index: int) -> str:
        """Return one token of the answer, by its position."""
        seed = hashlib.blake2b(f"{self.marker}:{index}".encode(), digest_size=4)
        word = _WORDS[seed.digest()[0] % len(_WORDS)]
        return f"{word}-{seed.hexdigest()} "

    def text(self) -> str:
        """Return the whole answer."""
        return "".join(self.token(index) for index in range(self.tokens))


def plan_answer(prompt: str) -> AnswerPlan:
    """Return the one answer that every engine gives to ``prompt``."""
    found = _MARKER.search(prompt)
    if found is None:
        digest = hashlib.blake2b(prompt.encode(), digest_size=6).hexdigest()
        return AnswerPlan(digest, _DEFAULT_TOKENS)
    return AnswerPlan(found.group(1), int(found.group(2)))


def mark_prompt(text: str, marker: str, tokens: int) -> str:
    """Return a prompt whose answer is known beforehand."""
    return f"{text} [[id={marker} tokens={tokens}]]"
