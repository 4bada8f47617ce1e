"""The store's client against a stand-in that speaks the published calls."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from rudderpass.directory import HistoryLost, KeyedRecord
from rudderpass.errors import ConnectionLost, PlatformError
from rudderpass.platform import KeyedStore
from tests.platform.store import StandInStore

TOPIC = "keyed.test"


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
    page = client.read_after(TOPIC, 1, wait=0.0)
    assert page.records == (KeyedRecord(1, "b", b"2"), KeyedRecord(2, "a", None))
    assert page.end == 3


def test_a_wait_without_news_ends_empty(stand_in: StandInStore) -> None:
    client = KeyedStore(stand_in.address)
    page = client.read_after(TOPIC, 0, wait=0.05)
    assert page.records == ()
    assert page.end == 0


def test_a_list_of_many_pages_ends_where_its_first_page_does(
    stand_in: StandInStore,
) -> None:
    stand_in.page = 2
    for number in range(5):
        stand_in.put(TOPIC, f"k{number}", b"v")
    page = KeyedStore(stand_in.address).read_newest(TOPIC)
    assert [record.key for record in page.records] == [f"k{n}" for n in range(5)]
    assert page.end == 5


def test_dropped_records_are_told_apart(stand_in: StandInStore) -> None:
    stand_in.put(TOPIC, "a", b"1")
    stand_in.compact(TOPIC)
    with pytest.raises(HistoryLost):
        KeyedStore(stand_in.address).read_after(TOPIC, 0, wait=0.0)


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


def test_a_store_that_is_not_there_is_an_error() -> None:
    with pytest.raises(PlatformError):
        KeyedStore("127.0.0.1:1").read_newest(TOPIC)


def test_a_kept_connection_that_is_lost_is_told_apart(stand_in: StandInStore) -> None:
    """It says nothing of the store, which may answer on a new one."""
    client = KeyedStore(stand_in.address)
    client.read_newest(TOPIC)
    stand_in.close()
    with pytest.raises(ConnectionLost):
        client.read_newest(TOPIC)
    with pytest.raises(PlatformError) as caught:
        client.read_newest(TOPIC)
    assert not isinstance(caught.value, ConnectionLost), "a new one failed"


def test_a_write_goes_in_only_where_the_topic_ends_as_expected(
    stand_in: StandInStore,
) -> None:
    client = KeyedStore(stand_in.address)
    assert client.append_at(TOPIC, 0, "a", b"1")
    assert not client.append_at(TOPIC, 0, "a", b"2"), "somebody else wrote meanwhile"
    assert client.append_at(TOPIC, 1, "b", b"3")
    page = client.read_newest(TOPIC)
    assert page.records == (KeyedRecord(0, "a", b"1"), KeyedRecord(1, "b", b"3"))
    assert page.end == 2


def test_a_write_that_is_not_answered_is_an_error(stand_in: StandInStore) -> None:
    stand_in.status = 503
    with pytest.raises(PlatformError):
        KeyedStore(stand_in.address).append_at(TOPIC, 0, "a", b"1")
