"""Measure what it costs a host to remember answered parts and to judge suspect ones.

Usage: python bench/prompt_parts.py
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable

from rudderpass._ids import Fingerprint, PartId, PoolId, TeamId, UpstreamId
from rudderpass.exchange._fingerprint import compute_part_key
from rudderpass.quarantine import Crash, CutSend, PartKey, QuarantineTracker

SERVICE = PoolId("llm")
PARTS_PER_PROMPT = 3
TEAMS = 24
ROUNDS = 20_000


def make_keys(first: int, count: int) -> tuple[PartKey, ...]:
    return tuple(
        compute_part_key(SERVICE, PartId(f"{number:08x}"))
        for number in range(first, first + count)
    )


def measure(action: Callable[[int], object]) -> float:
    """Return the microseconds of processor time that an action takes."""
    began = time.process_time()
    for number in range(ROUNDS):
        action(number)
    return (time.process_time() - began) / ROUNDS * 1e6


def main() -> None:
    """Print the times and the memory."""
    tracker = QuarantineTracker()
    prompts = [make_keys(4 * number, PARTS_PER_PROMPT) for number in range(50)]
    team = TeamId("team")

    def answer(number: int) -> None:
        tracker.record_answered(prompts[number % 50], team, float(number))

    print(f"{measure(answer):.2f} us to record an answered prompt of 3 shared parts")
    for number in range(8):
        upstream = UpstreamId(f"u{number}")
        crash = Crash(upstream, number - 0.1, float(number), True)
        for request in range(20):
            name = Fingerprint(f"{number:08}{request:08}".encode())
            parts = make_keys(10_000 + request, PARTS_PER_PROMPT)
            tracker.record_cut(CutSend(name, team, crash, parts), float(number))
        tracker.record_crash(upstream, float(number))

    def judge(number: int) -> None:
        names = [key.fingerprint for key in prompts[number % 50]]
        tracker.judge_all(names, 9.0)

    print(
        f"{measure(judge):.2f} us to judge a prompt while {tracker.suspect_count} "
        "requests and parts are suspect"
    )

    def learn(number: int) -> None:
        tracker._attribution = None
        tracker.judge_all([make_keys(10_000, 1)[0].fingerprint], 9.0)

    began = time.process_time()
    for number in range(100):
        learn(number)
    print(
        f"{(time.process_time() - began) * 10:.2f} ms for a verdict after news of them"
    )
    tracemalloc.start()
    full = QuarantineTracker()
    for number in range(TEAMS):
        for part in range(256):
            name = Fingerprint(bytes([number, part // 256, part % 256]) * 6)
            key = PartKey(name, PartId(f"{part:08x}"))
            full.record_answered([key], TeamId(f"t{number}"), 1.0)
    size = tracemalloc.get_traced_memory()[0]
    print(f"{size / 1e6:.2f} MB for {TEAMS} teams with 256 answered parts each")


if __name__ == "__main__":
    main()
