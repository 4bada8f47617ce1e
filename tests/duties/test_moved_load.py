"""Tests of the capacity that other zones get for an evacuated one."""

from __future__ import annotations

import pytest

from rudderpass._ids import AvailabilityZone, PoolId
from rudderpass.duties._moved_load import HeldCounts, count_moved, shift_shortage

A, B, C, D = (AvailabilityZone(f"hall-{letter}") for letter in "abcd")
SERVICE = PoolId("engines")
WINDOW = 600.0


@pytest.mark.parametrize(
    ("present", "zones", "open_zones", "expected"),
    [
        ([], 3, 3, 0),
        ([10], 3, 2, 15),
        ([10, 4], 3, 1, 21),
        ([10], 1, 0, 0),
        ([0], 3, 2, 0),
        ([7], 3, 2, 11),
    ],
)
def test_open_zones_share_what_runs_in_evacuated_ones(
    present: list[int], zones: int, open_zones: int, expected: int
) -> None:
    assert count_moved(present, zones, open_zones) == expected


def test_a_shortage_goes_to_the_smallest_and_cheapest_zones() -> None:
    totals = {A: 10, B: 10, C: 9, D: 10}
    prices = {A: 1.0, B: 3.0, C: 9.0, D: 2.0}
    present = {A: 6, B: 10, C: 9, D: 10}
    shifted = shift_shortage(totals, present, {A}, prices, 30)
    assert shifted == {A: 10, B: 11, C: 11, D: 11}, "the order is kept"
    shifted = shift_shortage(totals, present | {A: 8}, {A}, prices, 30)
    assert shifted == {A: 10, B: 10, C: 10, D: 11}


def test_a_shortage_is_shifted_within_the_bound() -> None:
    totals = {A: 10, B: 10, C: 10}
    assert shift_shortage(totals, {A: 0}, {A}, {}, 12) == {A: 10, B: 12, C: 12}
    assert shift_shortage(totals, {}, {A, B, C}, {}, 12) == totals
    assert shift_shortage(totals, totals, {A}, {}, 12) == totals, "none is missing"


def test_without_evacuations_nothing_is_held() -> None:
    held = HeldCounts(WINDOW)
    for count in (10, 3, 8):
        totals = {A: count, B: count}
        assert held.apply(SERVICE, (), totals, totals, 0.0) is totals


def test_a_count_is_held_for_the_window_after_the_evacuation() -> None:
    held = HeldCounts(WINDOW)
    calm, present = {A: 10, B: 10, C: 10}, {A: 10, B: 15, C: 15}
    assert held.apply(SERVICE, {A}, {B: 15, C: 15}, present, 0.0) == {B: 15, C: 15}
    kept = {A: 10, B: 15, C: 15}
    assert held.apply(SERVICE, (), calm, present, 1.0) == kept
    assert held.apply(SERVICE, (), calm, present, WINDOW - 1.0) == kept
    short = present | {A: 9}
    assert held.apply(SERVICE, (), calm, short, WINDOW + 1.0) == kept
    assert held.apply(SERVICE, (), calm, present, WINDOW + 2.0) == calm
    assert held.apply(SERVICE, (), calm, present, WINDOW + 3.0) is calm


def test_a_new_holder_holds_nothing() -> None:
    held = HeldCounts(WINDOW)
    held.apply(SERVICE, {A}, {B: 15}, {B: 15}, 0.0)
    held.clear()
    calm = {A: 10, B: 10}
    assert held.apply(SERVICE, (), calm, calm, 1.0) is calm
