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
class World:
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
def world() -> Iterator[World]:
    log = StandInLog(retention=4)
    log.start()
    yield World(log, Publisher(HttpLogService(log.address)))
    log.close()


def with_floor_share(floor: float) -> Catalog:
    catalog = make_catalog()
    spec = catalog.objects[URGENT]
    assert isinstance(spec, ServiceClassSpec)
    changed = spec.model_copy(update={"floor_share": floor})
    return replace(catalog, objects={**catalog.objects, URGENT: changed})


@given("declarations in force")
def in_force(world: World) -> None:
    result = world.publisher.apply(make_catalog(), "first")
    assert isinstance(result, Success)
    world.base = result.unwrap().state
    world.appends = world.log.appends


@given("the log loses its answers")
def loses_answers(world: World) -> None:
    world.log.fault = LogFault.APPEND_ANSWER_LOST


@given("the log is down")
def log_is_down(world: World) -> None:
    world.log.fault = LogFault.DOWN


@given("a log that has lost its oldest records behind a snapshot")
def truncated_log(world: World) -> None:
    world.publisher.write_snapshot()
    for number in range(3):
        world.log.append(CONFIG_STREAM, b"of somebody else")
    assert world.log.read(CONFIG_STREAM, 0, 0).first > 0


@when(
    parsers.parse('"{one}" and "{two}" change the same class against the same version')
)
def conflicting_changes(world: World, one: str, two: str) -> None:
    world.apply(with_floor_share(0.1), one, world.base)
    world.apply(with_floor_share(0.2), two, world.base)


@when(parsers.parse('"{author}" changes a class'))
def change(world: World, author: str) -> None:
    world.apply(with_floor_share(0.1), author, world.base)


@when(parsers.parse('"{author}" applies what is in force already'))
def apply_same(world: World, author: str) -> None:
    world.apply(make_catalog(), author, world.base)


@then(parsers.parse('the change of "{author}" is accepted'))
def accepted(world: World, author: str) -> None:
    result = world.results[author]
    assert isinstance(result, Success), result
    outcome = result.unwrap().outcome
    assert outcome is not None and outcome.author == author


@then(
    parsers.parse('the change of "{author}" is refused, naming the class and "{other}"')
)
def refused(world: World, author: str, other: str) -> None:
    result = world.results[author]
    assert isinstance(result, Failure)
    text = result.failure().show()
    assert "ServiceClass/urgent" in text and f"by {other}" in text


@then("the log holds one record more")
def one_more_record(world: World) -> None:
    assert world.log.appends == world.appends + 1


@then("the platform is named as the cause")
def platform_named(world: World) -> None:
    if world.error is not None:
        assert world.log.address in world.error.show()
        return
    result = world.results["ada"]
    assert isinstance(result, Failure)
    assert "not known whether" in result.failure().show()


@then("nothing is published")
def nothing_published(world: World) -> None:
    assert world.results["ada"].unwrap().outcome is None
    assert world.log.appends == world.appends


@then("a new reader finds the same declarations")
def same_declarations(world: World) -> None:
    state = world.publisher.history().state
    assert state.entries == world.base.entries
