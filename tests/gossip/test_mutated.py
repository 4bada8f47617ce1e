"""Mutated messages of a peer are either processed or rejected with a PeerError."""

from __future__ import annotations

import random
import zlib

from hypothesis import given, strategies as st

from rudderpass._ids import NodeId, PoolId, StoreEra, UpstreamId, UpstreamName
from rudderpass.directory import (
    DirectoryState,
    EvacuationStatement,
    KeyedRecord,
    LogPosition,
)
from rudderpass.errors import PeerError
from rudderpass.exchange import Load, PrefillRate, RateLimitUpdate, Refused, SentPrompt
from rudderpass.gossip import (
    Digest,
    Heartbeat,
    Member,
    PeerTable,
    decode_prompts,
    decode_state,
    encode_heartbeat,
    encode_prompts,
    encode_state,
)
from rudderpass.gossip._codec import decode_heartbeat
from rudderpass.host._gossip_protocol import GossipProtocol
from rudderpass.learning import StreamSample
from tests.directory.builders import OTHER_ZONE, ZONE, make_route
from tests.exchange.builders import accept, assign, make_core, make_request, parts
from tests.fuzz import make_settings
from tests.quarantine.builders import BAD, GOOD, crash, make_update

OWN = NodeId("10.0.0.9:1")
SENDER = NodeId("10.0.0.2:1")
UPSTREAM = UpstreamId("u1")
PROMPT = SentPrompt(UPSTREAM, parts(("shared", 8000)))
HEARTBEAT = encode_heartbeat(
    Heartbeat(
        SENDER,
        0,
        3,
        False,
        {UPSTREAM: Load(2, 400, 0.25)},
        (PROMPT,),
        (NodeId("10.0.0.3:1"),),
        True,
        True,
        (StreamSample(UPSTREAM, 0.01, 0.2),),
        {PoolId("engines"): PrefillRate(4000.0, 2000.0)},
        ZONE,
        7,
        Digest(
            True,
            {ZONE: (Member(OWN, 3, 0.2, 0, 3), Member(SENDER, 4, 0.1, 0, 3))},
            {UPSTREAM: Load(9, 4000, 1.5, (1, 8), (500, 3500))},
            {PoolId("engines"): PrefillRate(9000.0, 1000.0)},
        ),
        rate_limits=(RateLimitUpdate(UPSTREAM, 1.5, 0.25),),
        evacuations=(
            EvacuationStatement(OTHER_ZONE, LogPosition(StoreEra(1), 7), True),
            EvacuationStatement(ZONE, LogPosition(StoreEra(1), 9), False, 2.5),
        ),
        cold={UPSTREAM: 2.5},
        suspects=(
            make_update(BAD, crash("u1", 2.0), crash("u2", 1.0)),
            make_update(GOOD),
        ),
    )
)
STATE = encode_state(
    DirectoryState(
        KeyedRecord(3, "config", b"2"),
        (KeyedRecord(4, "u1", b"here"), KeyedRecord(5, "u4", b"here")),
        9,
        ((UpstreamName("u1"), 1.5),),
    )
)
PROMPTS = encode_prompts([PROMPT])


@st.composite
def mutated(draw: st.DrawFn, valid: bytes) -> bytes:
    """Return bytes of which some were changed, removed or added."""
    data = bytearray(valid)
    for _ in range(draw(st.integers(1, 3))):
        start = draw(st.integers(0, len(data)))
        end = start + draw(st.integers(0, 2))
        data[start:end] = draw(st.binary(max_size=3))
    return bytes(data)


@make_settings(400)
@given(mutated(HEARTBEAT))
def test_a_mutated_heartbeat_is_processed_or_rejected(data: bytes) -> None:
    try:
        heartbeat = decode_heartbeat(data, SENDER)
    except PeerError:
        return
    core = make_core(make_route())
    peers = PeerTable(OWN, random.Random(1))
    telling = GossipProtocol(OWN, ZONE, 100, core, peers, lambda now: False)
    telling.receive(heartbeat, 1.0)
    telling.compose(1.05, is_relayed=True)
    request = make_request(parts=PROMPT.parts)
    assigned = core.assign(request, accept(core, request, 1.1), (), 1.1)
    is_evacuated = core.directory.evacuations.is_evacuated(ZONE)
    assert isinstance(assigned, Refused) is is_evacuated, "all upstreams are there"


@make_settings(400)
@given(mutated(zlib.decompress(STATE)))
def test_a_mutated_state_is_processed_or_rejected(data: bytes) -> None:
    try:
        state = decode_state(zlib.compress(data))
    except PeerError:
        return
    core = make_core(make_route())
    core.directory.apply_state(state, "peer", 1.0)
    core.tick(2.0)
    assert core.directory.config is not None


@make_settings(200)
@given(mutated(zlib.decompress(PROMPTS)))
def test_mutated_prompts_are_processed_or_rejected(data: bytes) -> None:
    try:
        prompts = decode_prompts(zlib.compress(data))
    except PeerError:
        return
    core = make_core(make_route())
    core.caches.merge(prompts, 1.0)
    assign(core, make_request(parts=PROMPT.parts), 1.1)


@make_settings(200)
@given(st.sampled_from([STATE, PROMPTS]).flatmap(mutated))
def test_mutated_compressed_data_is_processed_or_rejected(data: bytes) -> None:
    for decode in (decode_state, decode_prompts):
        try:
            decode(data)
        except PeerError:
            continue
