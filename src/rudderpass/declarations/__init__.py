"""Declarations: objects, selectors, files and the configuration in force."""

from rudderpass.declarations._base import Spec as Spec
from rudderpass.declarations._catalog import (
    Catalog as Catalog,
    ObjectKey as ObjectKey,
    digest_token as digest_token,
)
from rudderpass.declarations._config_state import (
    Change as Change,
    ChangeOutcome as ChangeOutcome,
    ConfigState as ConfigState,
    Conflict as Conflict,
    Operation as Operation,
    Snapshot as Snapshot,
    apply_record as apply_record,
    dump_record as dump_record,
    dump_spec as dump_spec,
    parse_snapshot as parse_snapshot,
    restore_snapshot as restore_snapshot,
    take_snapshot as take_snapshot,
)
from rudderpass.declarations._diff import (
    DiffAction as DiffAction,
    Difference as Difference,
    build_change as build_change,
    diff_state as diff_state,
)
from rudderpass.declarations._load import (
    Finding as Finding,
    load_declarations as load_declarations,
)
from rudderpass.declarations._objects import (
    AnySpec as AnySpec,
    Fencing as Fencing,
    Kind as Kind,
    Limits as Limits,
    ObjectiveSpec as ObjectiveSpec,
    RouteSpec as RouteSpec,
    SelectorSpec as SelectorSpec,
    ServiceClassSpec as ServiceClassSpec,
    Targets as Targets,
    TeamSpec as TeamSpec,
    UpstreamKind as UpstreamKind,
    UpstreamSpec as UpstreamSpec,
)
from rudderpass.declarations._selectors import (
    LabelSelector as LabelSelector,
    MatchExpression as MatchExpression,
    Operator as Operator,
)
