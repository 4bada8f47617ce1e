"""The declared objects of one configuration version, indexed for lookups."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property
from typing import TypeVar, cast

from rudderpass._ids import ClassName, PoolId, TeamId, UpstreamId
from rudderpass.declarations._objects import (
    AnySpec,
    Kind,
    ObjectiveSpec,
    RouteSpec,
    SelectorSpec,
    ServiceClassSpec,
    TeamSpec,
    UpstreamSpec,
)

_SpecT = TypeVar("_SpecT")


@dataclass(frozen=True, order=True)
class ObjectKey:
    """Identifies an object. Sorts by kind, then by name."""

    kind_value: str
    name: str

    @property
    def kind(self) -> Kind:
        """The object's kind."""
        return Kind(self.kind_value)

    def __str__(self) -> str:
        return f"{self.kind_value}/{self.name}"


@dataclass(frozen=True)
class Reference:
    """A reference from one object to a name that must be declared."""

    source: ObjectKey
    path: tuple[str | int, ...]
    target: str
    hint: str


@dataclass(frozen=True)
class Catalog:
    """An immutable set of declared objects."""

    objects: Mapping[ObjectKey, AnySpec] = field(default_factory=dict)

    def _specs_of_kind(self, kind: Kind, spec_type: type[_SpecT]) -> dict[str, _SpecT]:
        return {
            key.name: cast(_SpecT, spec)
            for key, spec in sorted(self.objects.items(), key=lambda item: item[0])
            if key.kind_value == kind.value
        }

    @cached_property
    def classes(self) -> dict[ClassName, ServiceClassSpec]:
        """Service classes by name."""
        found = self._specs_of_kind(Kind.SERVICE_CLASS, ServiceClassSpec)
        return cast(dict[ClassName, ServiceClassSpec], found)

    @cached_property
    def teams(self) -> dict[TeamId, TeamSpec]:
        """Teams by name."""
        return cast(dict[TeamId, TeamSpec], self._specs_of_kind(Kind.TEAM, TeamSpec))

    @cached_property
    def routes(self) -> dict[str, RouteSpec]:
        """Routes by name."""
        return self._specs_of_kind(Kind.ROUTE, RouteSpec)

    @cached_property
    def routes_by_model(self) -> dict[str, dict[str, RouteSpec]]:
        """Routes by the models that they serve."""
        found: dict[str, dict[str, RouteSpec]] = {}
        for name, route in self.routes.items():
            for model in route.models:
                found.setdefault(model, {})[name] = route
        return found

    @cached_property
    def routes_by_path(self) -> dict[str, RouteSpec]:
        """Routes that match by path."""
        return {name: spec for name, spec in self.routes.items() if spec.path_prefix}

    @cached_property
    def upstreams(self) -> dict[UpstreamId, UpstreamSpec]:
        """Upstreams by name."""
        found = self._specs_of_kind(Kind.UPSTREAM, UpstreamSpec)
        return cast(dict[UpstreamId, UpstreamSpec], found)

    @cached_property
    def selectors(self) -> dict[str, SelectorSpec]:
        """Selectors by name."""
        return self._specs_of_kind(Kind.SELECTOR, SelectorSpec)

    @cached_property
    def objective(self) -> ObjectiveSpec:
        """The deployment's objective; equal weights when none is declared."""
        declared = self._specs_of_kind(Kind.OBJECTIVE, ObjectiveSpec)
        return next(iter(declared.values()), ObjectiveSpec())

    @cached_property
    def models(self) -> tuple[str, ...]:
        """Every model that some route serves, sorted."""
        return tuple(
            sorted({model for route in self.routes.values() for model in route.models})
        )

    @cached_property
    def pools(self) -> dict[PoolId, dict[UpstreamId, UpstreamSpec]]:
        """Upstreams by runner."""
        pools: dict[PoolId, dict[UpstreamId, UpstreamSpec]] = {}
        for name, spec in self.upstreams.items():
            pools.setdefault(PoolId(spec.runner), {})[name] = spec
        return pools

    @cached_property
    def _team_by_digest(self) -> dict[str, TeamId]:
        return {
            digest: team
            for team, spec in self.teams.items()
            for digest in spec.token_digests
        }

    def find_team(self, token: str) -> TeamId | None:
        """Return the team that holds ``token``.

        The lookup is by digest, so its timing reveals nothing about a stored token;
        the digest itself is compared in constant time.
        """
        digest = digest_token(token)
        team = self._team_by_digest.get(digest)
        if team is None:
            return None
        held = self.teams[team].token_digests
        if not any(hmac.compare_digest(digest, known) for known in held):
            return None
        return team

    def references(self) -> Iterable[Reference]:
        """Yield all references to objects that are not declared."""
        for team, spec in self.teams.items():
            source = ObjectKey(Kind.TEAM.value, team)
            for position, name in enumerate(spec.classes):
                if ClassName(name) not in self.classes:
                    yield Reference(
                        source, ("classes", position), name, "declare the ServiceClass"
                    )
        for route, route_spec in self.routes.items():
            if PoolId(route_spec.runner) not in self.pools:
                yield Reference(
                    ObjectKey(Kind.ROUTE.value, route),
                    ("runner",),
                    route_spec.runner,
                    "declare an Upstream with this runner",
                )


def digest_token(token: str) -> str:
    """Return the digest under which a team's token is declared."""
    return hashlib.sha256(token.encode()).hexdigest()
