"""Measure what keeping the origins of streams costs a host, by number of hosts.

Run as ``python bench/stream_origins.py``. Prints microseconds of processor time for each
stream that a host begins, for each origin that it is told, and for each question that it
answers, and the bytes of a datagram.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from rudderpass._ids import NodeId, PoolId, RequestId, SoftwareVersion, TeamId
from rudderpass.gossip import OriginMessage, encode_archived
from rudderpass.gossip._origins import decode_origins, encode_origins
from rudderpass.origins import (
    OriginTable,
    StreamOrigin,
    choose_archiver,
    choose_keepers,
    make_stream_key,
)

REPEATS = 4000
VERSION = SoftwareVersion("v1.2")


def measure(function: Callable[[int], object]) -> float:
    """Return microseconds of processor time for one call."""
    began = time.process_time()
    for number in range(REPEATS):
        function(number)
    return (time.process_time() - began) / REPEATS * 1e6


def main() -> None:
    """Print the table."""
    table = OriginTable()
    keys = [
        make_stream_key(PoolId("engines"), TeamId("team"), RequestId(f"{n:016x}"))
        for n in range(REPEATS)
    ]
    told = [
        encode_origins(OriginMessage(told=(StreamOrigin(key, VERSION, 8.0),)))
        for key in keys
    ]
    asked = [encode_origins(OriginMessage(asked=(key,))) for key in keys]

    def receive(number: int) -> None:
        for origin in decode_origins(told[number]).told:
            table.add(origin, 0.0)

    def answer(number: int) -> None:
        found = table.find_all(decode_origins(asked[number]).asked, 1.0)
        encode_origins(OriginMessage(tuple(found)))

    print(f"datagram: {len(told[0])} bytes")
    archived = [StreamOrigin(key, VERSION, 8.0) for key in keys]
    print(f"in the store: {len(encode_archived(archived, 0.0)) / REPEATS:.0f} bytes")
    for hosts in (8, 60, 195, 400):
        names = frozenset(NodeId(f"10.{n % 5}.{n // 5}.1:7000") for n in range(hosts))
        own = min(names)

        def begin(number: int) -> None:
            key = keys[number]
            table.add(StreamOrigin(key, VERSION, 8.0), 0.0)
            choose_keepers(key, names, own)
            encode_origins(OriginMessage(told=(StreamOrigin(key, VERSION, 8.0),)))

        keepers = sum(len(choose_keepers(key, names, own)) for key in keys) / REPEATS
        print(
            f"{hosts} hosts: {keepers:.2f} keepers, begin {measure(begin):.0f} us,"
            f" receive {measure(receive):.0f} us, answer {measure(answer):.0f} us,"
            f" archive {measure(lambda n: choose_archiver(keys[n], names)):.0f} us"
        )


if __name__ == "__main__":
    main()
