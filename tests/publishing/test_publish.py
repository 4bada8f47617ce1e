"""Publishing declarations: the steps of publish.feature."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from returns.result import Failure, Result, Success

from rudderpass.declarations import (
    Catalog,
    ConfigState,
    Kind,
    ObjectKey,
    ServiceClassSpec,
)
from rudderpass.errors import DeclarationError, PlatformError
from rudderpass.logservice import CONFIG_STREAM, HttpLogService
from rudderpass.publishing import Applied, Publisher
from rudderpass.standins import LogFault, StandInLog
from tests.builders import make_catalog

scenarios("features/publish.feature")

URGENT = ObjectKey(Kind.SERVICE_CLASS.value, "urgent")


@dataclass
class PublishingHarness:
    log: StandInLog
    publisher: Publisher
    base: ConfigState = field(default_factory=ConfigState)
    appends: int = 0
    results: dict[str, Result[Applied, DeclarationError]] = field(default_factory=dict)
    error: PlatformError | None = None

    def apply(self, catalog: Catalog, author: str, base: ConfigState) -> None:
        try:
            self.results[author] = self.publisher.apply(catalog, author, base)
        except PlatformError as error:
            self.error = error


@pytest.fixture
def harness() -> Iterator[PublishingHarness]:
    log = StandInLog(retention=4)
    log.start()
    yield PublishingHarness(log, Publisher(HttpLogService(log.address)))
    log.close()


def with_floor_share(floor: float) -> Catalog:
    catalog = make_catalog()
    spec = catalog.objects[URGENT]
    assert isinstance(spec, ServiceClassSpec)
    changed = spec.model_copy(update={"floor_share": floor})
    return replace(catalog, objects={**catalog.objects, URGENT: changed})


@given("declarations in force")
def in_force(harness: PublishingHarness) -> None:
    result = harness.publisher.apply(make_catalog(), "first")
    assert isinstance(result, Success)
    harness.base = result.unwrap().state
    harness.appends = harness.log.appends


@given("the log loses its answers")
def loses_answers(harness: PublishingHarness) -> None:
    harness.log.fault = LogFault.APPEND_ANSWER_LOST


@given("the log is down")
def log_is_down(harness: PublishingHarness) -> None:
    harness.log.fault = LogFault.DOWN


@given("a log that has lost its oldest records behind a snapshot")
def truncated_log(harness: PublishingHarness) -> None:
    harness.publisher.write_snapshot()
    for number in range(3):
        harness.log.append(CONFIG_STREAM, b"of somebody else")
    assert harness.log.read(CONFIG_STREAM, 0, 0).first > 0


@when(
    parsers.parse('"{one}" and "{two}" change the same class against the same version')
)
def conflicting_changes(harness: PublishingHarness, one: str, two: str) -> None:
    harness.apply(with_floor_share(0.1), one, harness.base)
    harness.apply(with_floor_share(0.2), two, harness.base)


@when(parsers.parse('"{author}" changes a class'))
def change(harness: PublishingHarness, author: str) -> None:
    harness.apply(with_floor_share(0.1), author, harness.base)


@when(parsers.parse('"{author}" applies what is in force already'))
def apply_same(harness: PublishingHarness, author: str) -> None:
    harness.apply(make_catalog(), author, harness.base)


@then(parsers.parse('the change of "{author}" is accepted'))
def accepted(harness: PublishingHarness, author: str) -> None:
    result = harness.results[author]
    assert isinstance(result, Success), result
    outcome = result.unwrap().outcome
    assert outcome is not None and outcome.author == author


@then(
    parsers.parse('the change of "{author}" is refused, naming the class and "{other}"')
)
def refused(harness: PublishingHarness, author: str, other: str) -> None:
    result = harness.results[author]
    assert isinstance(result, Failure)
    text = result.failure().show()
    assert "ServiceClass/urgent" in text and f"by {other}" in text


@then("the log holds one record more")
def one_more_record(harness: PublishingHarness) -> None:
    assert harness.log.appends == harness.appends + 1


@then("the platform is named as the cause")
def platform_named(harness: PublishingHarness) -> None:
    if harness.error is not None:
        assert harness.log.address in harness.error.show()
        return
    result = harness.results["ada"]
    assert isinstance(result, Failure)
    assert "not known whether" in result.failure().show()


@then("nothing is published")
def nothing_published(harness: PublishingHarness) -> None:
    assert harness.results["ada"].unwrap().outcome is None
    assert harness.log.appends == harness.appends


@then("a new reader finds the same declarations")
def same_declarations(harness: PublishingHarness) -> None:
    state = harness.publisher.history().state
    assert state.entries == harness.base.entries
