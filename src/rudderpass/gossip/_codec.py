"""Encoding of heartbeats and states as thrift structs in the compact protocol."""

from __future__ import annotations

import socket
import zlib
from collections.abc import Iterable, Mapping

from rudderpass._ids import (
    AvailabilityZone,
    FencingToken,
    NodeId,
    PoolId,
    StoreEra,
    UpstreamId,
    UpstreamName,
)
from rudderpass._thrift import decode_struct, encode_struct
from rudderpass.directory import UNKNOWN_ERA, URGENCY_RANKS, DirectoryState, KeyedRecord
from rudderpass.duties import DutyStatus
from rudderpass.errors import PeerError
from rudderpass.exchange import Load, PartId, PrefillRate, PromptPart, SentPrompt
from rudderpass.gossip._brittle import brittle_from_wire, brittle_to_wire
from rudderpass.gossip._cold_starts import cold_from_wire, cold_to_wire
from rudderpass.gossip._digest import Digest, Member
from rudderpass.gossip._duties import usage_from_wire, usage_to_wire
from rudderpass.gossip._evacuations import evacuations_from_wire, evacuations_to_wire
from rudderpass.gossip._gen.wire import ttypes as wire
from rudderpass.gossip._heartbeat import Heartbeat
from rudderpass.gossip._origins import versions_from_wire, versions_to_wire
from rudderpass.gossip._rate_limits import rate_limit_from_wire, rate_limit_to_wire
from rudderpass.gossip._suspects import suspect_from_wire, suspect_to_wire
from rudderpass.gossip._wire import MAX_I32, required
from rudderpass.learning import StreamSample

_MS = 1000.0
_US = 1_000_000.0
_PERCENT = 100
_UNKNOWN = -1
_PORT_BITS = 16
_MAX_PORT = 2**_PORT_BITS - 1
_ADDRESS_BITS = 32 + _PORT_BITS

_BLOCK_TOKENS = 256
"""Unread tokens per rank are sent in blocks of this size, whose prefill takes 6 ms. A
digest of 78 engines then has 2.0 kB; it would have 2.5 kB with exact token counts, and
1.0 kB without ranks."""

_DEFLATE_LEVEL = 3
"""Shrinks a configuration to a sixth; higher levels take twice as long to save another
tenth."""

MIN_DEFLATED_BYTES = 600
"""Heartbeats of at least this size are compressed: digests, which go to many hosts and
fill slow links. Shorter ones hardly shrink."""

_DEFLATED = b"\x78"

MAX_STATE_BYTES = 16 * 1024 * 1024
"""Limit of a decompressed state: far above the 1.5 MB of the deployment planned for two
years from now, and below what would exhaust the process's memory."""


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return the datagram for a heartbeat."""
    prompts = [_prompt_to_wire(prompt) for prompt in heartbeat.prompts]
    data = encode_struct(
        wire.Beat(
            heartbeat.config_offset,
            heartbeat.upstreams_end,
            heartbeat.stopping,
            None if heartbeat.loads is None else _loads_to_wire(heartbeat.loads),
            prompts,
            list(heartbeat.peers),
            heartbeat.warm,
            heartbeat.following,
            [_stream_to_wire(sample) for sample in heartbeat.streams] or None,
            _prefill_rates_to_wire(heartbeat.prefill_rates) or None,
            heartbeat.zone,
            heartbeat.number,
            None if heartbeat.digest is None else _digest_to_wire(heartbeat),
            heartbeat.link_mbps or None,
            [suspect_to_wire(suspect) for suspect in heartbeat.suspects] or None,
            None if heartbeat.duty is None else heartbeat.duty.token,
            None if heartbeat.duty is None else heartbeat.duty.holds or None,
            None if heartbeat.duty is None else heartbeat.duty.settled_before or None,
            None if heartbeat.usage is None else usage_to_wire(heartbeat.usage),
            [rate_limit_to_wire(limit) for limit in heartbeat.rate_limits] or None,
            list(heartbeat.leaving) or None,
            _era_to_wire(heartbeat.era),
            heartbeat.config_version,
            evacuations_to_wire(heartbeat.evacuations),
            cold_ms=cold_to_wire(heartbeat.cold) or None,
            brittle=[brittle_to_wire(report) for report in heartbeat.brittle] or None,
            versions=versions_to_wire(heartbeat.versions),
            lacks_versions=heartbeat.lacks_versions or None,
        )
    )
    return data if len(data) < MIN_DEFLATED_BYTES else _deflate(data)


def decode_heartbeat(data: bytes, sender: NodeId) -> Heartbeat:
    """Return the heartbeat in a datagram.

    :param sender: the datagram's source address.
    :raises PeerError: when the bytes are not a valid heartbeat.
    """
    # An uncompressed heartbeat begins with another byte, the header of its first field.
    is_deflated = data[:1] == _DEFLATED
    raw = decode_struct(wire.Beat(), _inflate(data) if is_deflated else data)
    try:
        return Heartbeat(
            sender,
            required(raw.config_offset),
            required(raw.upstreams_end),
            bool(raw.stopping),
            None if raw.loads is None else _loads_from_wire(raw.loads),
            tuple(_prompt_from_wire(item) for item in raw.prompts or ()),
            tuple(NodeId(peer) for peer in raw.peers or ()),
            bool(raw.warm),
            bool(raw.following),
            tuple(_stream_from_wire(item) for item in raw.streams or ()),
            _prefill_rates_from_wire(raw.reading),
            None if raw.zone is None else AvailabilityZone(raw.zone),
            raw.number or 0,
            None if raw.digest is None else _digest_from_wire(raw.digest, raw),
            raw.link_mbps or 0,
            tuple(suspect_from_wire(item) for item in raw.suspects or ()),
            _duty_from_wire(raw),
            None if raw.usage is None else usage_from_wire(raw.usage),
            tuple(rate_limit_from_wire(item) for item in raw.rate_limits or ()),
            tuple(UpstreamId(name) for name in raw.leaving or ()),
            raw.config_version,
            _era_from_wire(raw.era),
            evacuations_from_wire(raw.evacuations),
            cold=cold_from_wire(raw.cold_ms),
            brittle=tuple(brittle_from_wire(item) for item in raw.brittle or ()),
            versions=versions_from_wire(raw.versions),
            lacks_versions=bool(raw.lacks_versions),
        )
    except TypeError as error:
        raise PeerError(f"invalid heartbeat: {error}", step="decode") from error


def _duty_from_wire(raw: wire.Beat) -> DutyStatus | None:
    if raw.duty_token is None:
        return None
    return DutyStatus(
        FencingToken(raw.duty_token), bool(raw.holds_duties), raw.usage_settled or 0
    )


def encode_state(state: DirectoryState) -> bytes:
    """Return the compressed bytes of a state."""
    config = None if state.config is None else _record_to_wire(state.config)
    return _deflate(
        encode_struct(
            wire.State(
                config,
                [_record_to_wire(record) for record in state.upstreams],
                state.upstreams_end,
                {name: int(seconds * _MS) for name, seconds in state.expiring},
                state.changes_from,
                _era_to_wire(state.era),
                {name: int(seconds * _MS) for name, seconds in state.held} or None,
            )
        )
    )


def decode_state(data: bytes) -> DirectoryState:
    """Return the state received from a peer.

    :raises PeerError: when the bytes are not a valid state.
    """
    raw = decode_struct(wire.State(), _inflate(data))
    try:
        return DirectoryState(
            None if raw.config is None else _record_from_wire(raw.config),
            tuple(_record_from_wire(record) for record in raw.upstreams or ()),
            required(raw.upstreams_end),
            tuple(
                (UpstreamName(name), ms / _MS)
                for name, ms in (raw.ending_ms or {}).items()
            ),
            raw.changes_from,
            _era_from_wire(raw.era),
            tuple(
                (UpstreamName(name), ms / _MS)
                for name, ms in (raw.held_ms or {}).items()
            ),
        )
    except TypeError as error:
        raise PeerError(f"invalid state: {error}", step="decode") from error


def encode_prompts(prompts: Iterable[SentPrompt]) -> bytes:
    """Return the compressed bytes of the prompts that a host assumes to be cached."""
    raw = wire.Prompts([_prompt_to_wire(prompt) for prompt in prompts])
    return _deflate(encode_struct(raw))


def decode_prompts(data: bytes) -> tuple[SentPrompt, ...]:
    """Return the prompts that a peer assumes to be cached.

    :raises PeerError: when the bytes are not valid prompts.
    """
    raw = decode_struct(wire.Prompts(), _inflate(data))
    try:
        return tuple(_prompt_from_wire(item) for item in raw.prompts or ())
    except TypeError as error:
        raise PeerError(f"invalid prompts: {error}", step="decode") from error


def _deflate(data: bytes) -> bytes:
    return zlib.compress(data, _DEFLATE_LEVEL)


def _inflate(data: bytes) -> bytes:
    inflater = zlib.decompressobj()
    try:
        inflated = inflater.decompress(data, MAX_STATE_BYTES)
    except zlib.error as error:
        raise PeerError(f"invalid compressed data: {error}", step="decode") from error
    if not inflater.eof:
        raise PeerError(
            f"data truncated or larger than {MAX_STATE_BYTES} bytes", step="decode"
        )
    return inflated


def _prompt_to_wire(prompt: SentPrompt) -> wire.SentPrompt:
    parts = [wire.PromptPart(part.part, part.tokens) for part in prompt.parts]
    return wire.SentPrompt(prompt.upstream, parts)


def _prompt_from_wire(raw: wire.SentPrompt) -> SentPrompt:
    parts = tuple(
        PromptPart(PartId(required(part.part)), required(part.tokens))
        for part in raw.parts
    )
    return SentPrompt(UpstreamId(required(raw.upstream)), parts)


def _stream_to_wire(sample: StreamSample) -> wire.StreamSample:
    return wire.StreamSample(
        sample.upstream,
        round(sample.pace * _US),
        round(sample.longest_pause * _US),
    )


def _loads_to_wire(loads: Mapping[UpstreamId, Load]) -> list[wire.UpstreamLoad]:
    return [
        wire.UpstreamLoad(
            upstream,
            load.running,
            min(MAX_I32, load.unread_tokens),
            round(load.tight * _PERCENT),
            list(load.ranks) or None,
            [_to_blocks(tokens) for tokens in load.unread_ranks] or None,
        )
        for upstream, load in loads.items()
    ]


def _loads_from_wire(raw: list[wire.UpstreamLoad] | None) -> dict[UpstreamId, Load]:
    return {
        UpstreamId(required(item.upstream)): Load(
            required(item.running),
            required(item.unread_tokens),
            (item.tight_percent or 0) / _PERCENT,
            _ranks_from_wire(item.ranks),
            tuple(
                blocks * _BLOCK_TOKENS
                for blocks in _ranks_from_wire(item.unread_blocks)
            ),
        )
        for item in raw or ()
    }


def _to_blocks(tokens: int) -> int:
    return min(MAX_I32, round(tokens / _BLOCK_TOKENS))


def _ranks_from_wire(raw: list[int] | None) -> tuple[int, ...]:
    return tuple(max(0, amount) for amount in (raw or ())[:URGENCY_RANKS])


def _era_to_wire(era: StoreEra) -> int | None:
    return None if era == UNKNOWN_ERA else era


def _era_from_wire(raw: int | None) -> StoreEra:
    return UNKNOWN_ERA if raw is None else StoreEra(max(UNKNOWN_ERA, raw))


def _digest_to_wire(heartbeat: Heartbeat) -> wire.Digest:
    digest = heartbeat.digest
    assert digest is not None
    return wire.Digest(
        digest.covers_all_zones,
        [
            wire.ZoneMembers(
                zone, [_member_to_wire(member, heartbeat) for member in members]
            )
            for zone, members in digest.members.items()
        ],
        _loads_to_wire(digest.loads),
        _prefill_rates_to_wire(digest.prefill_rates),
    )


def _digest_from_wire(raw: wire.Digest, beat: wire.Beat) -> Digest:
    return Digest(
        bool(raw.whole),
        {
            AvailabilityZone(required(item.zone)): tuple(
                _member_from_wire(member, beat) for member in item.members or ()
            )
            for item in raw.zones or ()
        },
        _loads_from_wire(raw.loads),
        _prefill_rates_from_wire(raw.reading),
    )


def _member_to_wire(member: Member, heartbeat: Heartbeat) -> wire.Member:
    """Return a host's entry; what it shares with the sender takes no bytes."""
    version = _UNKNOWN if member.config_version is None else member.config_version
    return wire.Member(
        _pack_address(member.host),
        member.number,
        max(0, min(MAX_I32, round(member.age * _MS))),
        member.config_offset,
        member.upstreams_end,
        member.stopping or None,
        member.warm or None,
        member.following or None,
        member.link_mbps or None,
        None if member.era == heartbeat.era else member.era,
        None if member.config_version == heartbeat.config_version else version,
    )


def _member_from_wire(raw: wire.Member, beat: wire.Beat) -> Member:
    version = beat.config_version if raw.config_version is None else raw.config_version
    return Member(
        _unpack_address(required(raw.address)),
        required(raw.number),
        max(0, required(raw.age_ms)) / _MS,
        required(raw.config_offset),
        required(raw.upstreams_end),
        bool(raw.stopping),
        bool(raw.warm),
        bool(raw.following),
        raw.link_mbps or 0,
        None if version == _UNKNOWN else version,
        _era_from_wire(beat.era if raw.era is None else raw.era),
    )


def _pack_address(address: NodeId) -> int:
    """Return ``ip:port`` as a number, which takes 7 bytes where the text takes 16."""
    ip, _, port = address.rpartition(":")
    return int.from_bytes(socket.inet_aton(ip), "big") << _PORT_BITS | int(port)


def _unpack_address(packed: int) -> NodeId:
    if not 0 <= packed < 1 << _ADDRESS_BITS:
        raise TypeError(f"{packed} is not an address")
    ip = socket.inet_ntoa((packed >> _PORT_BITS).to_bytes(4, "big"))
    return NodeId(f"{ip}:{packed & _MAX_PORT}")


def _prefill_rates_from_wire(
    raw: list[wire.ServiceReading] | None,
) -> dict[PoolId, PrefillRate]:
    return {
        PoolId(required(item.pool)): PrefillRate(
            float(max(0, required(item.tight))), float(max(0, required(item.other)))
        )
        for item in raw or ()
    }


def _prefill_rates_to_wire(
    prefill_rates: Mapping[PoolId, PrefillRate],
) -> list[wire.ServiceReading]:
    rounded = [
        wire.ServiceReading(
            service,
            min(MAX_I32, round(rates.tight)),
            min(MAX_I32, round(rates.other)),
        )
        for service, rates in prefill_rates.items()
    ]
    return [item for item in rounded if item.tight or item.other]


def _stream_from_wire(raw: wire.StreamSample) -> StreamSample:
    return StreamSample(
        UpstreamId(required(raw.upstream)),
        required(raw.pace_us) / _US,
        required(raw.longest_pause_us) / _US,
    )


def _record_to_wire(record: KeyedRecord) -> wire.KeyedRecord:
    return wire.KeyedRecord(record.offset, record.key, record.value or b"")


def _record_from_wire(raw: wire.KeyedRecord) -> KeyedRecord:
    return KeyedRecord(required(raw.offset), required(raw.key), raw.value or None)
