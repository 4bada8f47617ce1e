"""The store's client against a stand-in that implements the published calls."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from rudderpass._ids import StoreEra
from rudderpass.directory import HistoryLost, KeyedRecord, LogPosition
from rudderpass.directory._follower import POLL_WAIT_SECONDS
from rudderpass.errors import ConnectionLost, PlatformError
from rudderpass.platform import KeyedStore
from tests.listener import Listener
from tests.platform.store import StandInStore

TOPIC = "keyed.test"
IN_TOUCH_SECONDS = 3.0
ERA = StoreEra(0)


@pytest.fixture
def stand_in() -> Iterator[StandInStore]:
    store = StandInStore()
    yield store
    store.close()


def test_records_are_read_in_order(stand_in: StandInStore) -> None:
    client = KeyedStore(stand_in.address)
    client.append(TOPIC, "a", b"1")
    client.append(TOPIC, "b", b"2")
    stand_in.put(TOPIC, "a", None)
    page = client.read_from(TOPIC, 1, wait=0.0)
    assert page.records == (KeyedRecord(1, "b", b"2"), KeyedRecord(2, "a", None))
    assert page.end == 3


def test_a_wait_without_new_records_returns_an_empty_page(
    stand_in: StandInStore,
) -> None:
    client = KeyedStore(stand_in.address)
    page = client.read_from(TOPIC, 0, wait=0.05)
    assert page.records == ()
    assert page.end == 0


def test_a_list_of_many_pages_ends_where_its_first_page_does(
    stand_in: StandInStore,
) -> None:
    stand_in.page_size = 2
    for number in range(5):
        stand_in.put(TOPIC, f"k{number}", b"v")
    page = KeyedStore(stand_in.address).read_newest(TOPIC)
    assert [record.key for record in page.records] == [f"k{n}" for n in range(5)]
    assert page.end == 5


def test_compacted_records_raise_their_own_error(stand_in: StandInStore) -> None:
    stand_in.put(TOPIC, "a", b"1")
    stand_in.compact(TOPIC)
    with pytest.raises(HistoryLost):
        KeyedStore(stand_in.address).read_from(TOPIC, 0, wait=0.0)


@pytest.mark.parametrize("status", [503, 429, 500])
def test_a_refusal_is_an_error_and_the_next_call_goes_through(
    stand_in: StandInStore, status: int
) -> None:
    client = KeyedStore(stand_in.address)
    stand_in.status = status
    with pytest.raises(PlatformError) as caught:
        client.read_newest(TOPIC)
    assert str(status) in caught.value.show()
    stand_in.status = 0
    assert client.read_newest(TOPIC).end == 0


def test_an_unreachable_store_is_an_error() -> None:
    with pytest.raises(PlatformError):
        KeyedStore("127.0.0.1:1").read_newest(TOPIC)


def test_a_lost_reused_connection_raises_its_own_error(stand_in: StandInStore) -> None:
    """The store may still be available on a new connection."""
    client = KeyedStore(stand_in.address)
    client.read_newest(TOPIC)
    stand_in.close()
    with pytest.raises(ConnectionLost):
        client.read_newest(TOPIC)
    with pytest.raises(PlatformError) as caught:
        client.read_newest(TOPIC)
    assert not isinstance(caught.value, ConnectionLost), "a new one failed"


def test_a_conditional_append_requires_the_expected_end(
    stand_in: StandInStore,
) -> None:
    client = KeyedStore(stand_in.address)
    assert client.compare_and_append(TOPIC, LogPosition(ERA, 0), "a", b"1")
    assert not client.compare_and_append(
        TOPIC, LogPosition(ERA, 0), "a", b"2"
    ), "somebody else wrote meanwhile"
    assert client.compare_and_append(TOPIC, LogPosition(ERA, 1), "b", b"3")
    page = client.read_newest(TOPIC)
    assert page.records == (KeyedRecord(0, "a", b"1"), KeyedRecord(1, "b", b"3"))
    assert page.end == 2


def test_a_failed_conditional_append_is_an_error(stand_in: StandInStore) -> None:
    stand_in.status = 503
    with pytest.raises(PlatformError):
        KeyedStore(stand_in.address).compare_and_append(
            TOPIC, LogPosition(ERA, 0), "a", b"1"
        )


def test_responses_carry_the_era_of_the_store(stand_in: StandInStore) -> None:
    client = KeyedStore(stand_in.address)
    assert client.append(TOPIC, "a", b"1") == 0
    stand_in.restore(stand_in.copy())
    assert client.read_newest(TOPIC).era == 1
    assert client.read_from(TOPIC, 0, wait=0.0).era == 1
    assert client.append(TOPIC, "a", b"2") == 1


def test_records_that_a_copy_lacks_are_a_lost_history(stand_in: StandInStore) -> None:
    copy = stand_in.copy()
    client = KeyedStore(stand_in.address)
    client.append(TOPIC, "a", b"1")
    stand_in.restore(copy)
    with pytest.raises(HistoryLost, match="from offset 1"):
        client.read_from(TOPIC, 1, wait=0.0)


def test_a_conditional_append_that_lands_in_another_era_does_not_count(
    stand_in: StandInStore,
) -> None:
    """Guards against a fencing token that somebody else was given before."""
    client = KeyedStore(stand_in.address)
    copy = stand_in.copy()
    client.append(TOPIC, "a", b"1")
    stand_in.restore(copy)
    with pytest.raises(HistoryLost):
        client.compare_and_append(TOPIC, LogPosition(ERA, 0), "b", b"2")
    assert client.compare_and_append(TOPIC, LogPosition(StoreEra(1), 1), "b", b"3")


def test_the_pages_of_a_list_are_of_one_era(stand_in: StandInStore) -> None:
    stand_in.page_size = 1
    for key in ("a", "b", "c"):
        stand_in.put(TOPIC, key, b"old")
    copy = stand_in.copy()
    stand_in.put(TOPIC, "a", b"lost")
    stand_in.after_call = lambda: stand_in.restore(copy)
    page = KeyedStore(stand_in.address).read_newest(TOPIC)
    assert [record.value for record in page.records] == [b"old"] * 3
    assert (page.end, page.era) == (3, 1)


def test_a_lost_waiting_call_is_noticed_before_the_host_counts_as_in_touch() -> None:
    """Open connections may go silent for good while new ones work."""
    silent = Listener(lambda sock: time.sleep(2 * IN_TOUCH_SECONDS))
    began = time.monotonic()
    try:
        with pytest.raises(PlatformError):
            KeyedStore(silent.address).read_from(TOPIC, 0, wait=POLL_WAIT_SECONDS)
    finally:
        silent.close()
    assert time.monotonic() - began < IN_TOUCH_SECONDS
