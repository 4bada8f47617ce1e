"""The index of cached prompt parts counts leading parts, is bounded, and expires."""

from __future__ import annotations

from rudderpass._ids import UpstreamId
from rudderpass.exchange import PartId, PrefixIndex, PromptPart

UPSTREAM = UpstreamId("u1")
OTHER = UpstreamId("u2")


def part(name: str, tokens: int = 100) -> PromptPart:
    return PromptPart(PartId(name), tokens)


def test_only_leading_parts_count() -> None:
    index = PrefixIndex()
    index.record_use(UPSTREAM, [part("a"), part("b")], 10_000, 0.0)
    assert index.cached_tokens(UPSTREAM, [part("a"), part("b"), part("c")], 1.0) == 200
    assert index.cached_tokens(UPSTREAM, [part("c"), part("a")], 1.0) == 0
    assert index.cached_tokens(OTHER, [part("a")], 1.0) == 0


def test_the_least_recently_used_part_is_evicted() -> None:
    index = PrefixIndex()
    for name in "abc":
        index.record_use(UPSTREAM, [part(name)], 400, float(ord(name)))
    index.record_use(UPSTREAM, [part("a")], 400, 200.0)
    index.record_use(UPSTREAM, [part("d")], 400, 201.0)
    now = 202.0
    cached = {name: index.cached_tokens(UPSTREAM, [part(name)], now) for name in "abcd"}
    assert cached == {"a": 100, "b": 0, "c": 100, "d": 100}


def test_unused_parts_expire() -> None:
    index = PrefixIndex()
    index.record_use(UPSTREAM, [part("a")], 10_000, 0.0)
    assert index.used_since(PartId("a"), 0.0)
    assert not index.used_since(PartId("a"), 0.1)
    assert index.cached_tokens(UPSTREAM, [part("a")], 200.0) == 0
    index.forget_unused(200.0)
    assert index.known() == [(UPSTREAM, ())]


def test_a_removed_upstream_has_no_cached_parts() -> None:
    index = PrefixIndex()
    index.record_use(UPSTREAM, [part("a")], 10_000, 0.0)
    index.forget_upstream(UPSTREAM)
    assert index.cached_tokens(UPSTREAM, [part("a")], 0.0) == 0
    assert index.known() == []


def test_parts_that_are_still_being_read_cannot_be_copied() -> None:
    index = PrefixIndex()
    index.record_use(UPSTREAM, [part("a")], 10_000, 0.0)
    index.record_use(UPSTREAM, [part("a"), part("b")], 10_000, 1.0)
    prompt = [part("a"), part("b")]
    assert index.cached_tokens(UPSTREAM, prompt, 1.0) == 200
    assert index.copyable_tokens(UPSTREAM, prompt, 1.0) == 0
    assert index.copyable_tokens(UPSTREAM, prompt, 1.6) == 100
    assert index.copyable_tokens(UPSTREAM, prompt, 2.6) == 200
