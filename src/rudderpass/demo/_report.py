"""The demo's result: metrics of each class, and the checked promises."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass

from rudderpass._ids import ClassName
from rudderpass.declarations import Catalog, ServiceClassSpec
from rudderpass.demo._caller import Answer
from rudderpass.demo._checks import Promise
from rudderpass.streams import Outcome


@dataclass(frozen=True)
class ClassRow:
    """One class's metrics.

    :param attainment: share of all its requests that met every target.
    :param goodput: tokens per second of answers that met every target.
    :param not_run: requests reported as not run, including shed ones.
    """

    name: str
    tier: int
    requests: int
    completed: int
    attainment: float
    goodput: float
    first_token_p95: float
    shed: int
    not_run: int
    unknown: int


@dataclass(frozen=True)
class DemoResult:
    """The complete result of a demo."""

    profile: str
    seconds: float
    rows: tuple[ClassRow, ...]
    engine_tokens: int
    wasted_tokens: int
    promises: tuple[Promise, ...]
    faults: int = 0

    @property
    def kept(self) -> bool:
        """Whether no promise was broken."""
        return not any(promise.broken for promise in self.promises)

    def as_json(self) -> dict[str, object]:
        """Return the result as JSON-serializable values."""
        return {**asdict(self), "kept": self.kept}


def build_rows(
    catalog: Catalog, answers: Sequence[Answer], seconds: float
) -> tuple[ClassRow, ...]:
    """Return a row for each class that had requests, most urgent tier first."""
    rows = []
    for name, spec in catalog.classes.items():
        class_answers = [item for item in answers if item.arrival.service_class == name]
        if class_answers:
            rows.append(_build_row(name, spec, class_answers, seconds))
    return tuple(sorted(rows, key=lambda row: (row.tier, row.name)))


def _build_row(
    name: ClassName,
    spec: ServiceClassSpec,
    answers: Sequence[Answer],
    seconds: float,
) -> ClassRow:
    on_target = [answer for answer in answers if met_targets(spec, answer)]
    first_tokens = sorted(item.first_token for item in answers if item.first_token)
    p95 = first_tokens[int(0.95 * (len(first_tokens) - 1))] if first_tokens else 0.0
    return ClassRow(
        name=name,
        tier=spec.tier,
        requests=len(answers),
        completed=sum(answer.completed for answer in answers),
        attainment=len(on_target) / len(answers),
        goodput=sum(answer.tokens for answer in on_target) / seconds,
        first_token_p95=p95,
        shed=sum("overload" in answer.reason for answer in answers),
        not_run=sum(answer.outcome is Outcome.NOT_RUN for answer in answers),
        unknown=sum(answer.outcome is Outcome.UNKNOWN for answer in answers),
    )


def met_targets(spec: ServiceClassSpec, answer: Answer) -> bool:
    """Return whether an answer met every target of its class."""
    if not answer.completed:
        return False
    targets = spec.targets
    first_token = answer.first_token or answer.duration
    if targets.first_token_seconds is not None:
        if first_token > targets.first_token_seconds:
            return False
    if targets.between_tokens_seconds is not None and answer.gaps:
        if sum(answer.gaps) / len(answer.gaps) > targets.between_tokens_seconds:
            return False
    if targets.whole_answer_seconds is not None:
        return answer.duration <= targets.whole_answer_seconds
    return True


def render(result: DemoResult) -> str:
    """Return the result as tables for a terminal."""
    lines = [
        f"{'class':<12}{'tier':>5}{'requests':>10}{'completed':>11}{'attained':>10}"
        f"{'goodput':>9}{'p95 first':>11}{'shed':>6}{'not-run':>9}{'unknown':>9}"
    ]
    for row in result.rows:
        lines.append(
            f"{row.name:<12}{row.tier:>5}{row.requests:>10}{row.completed:>11}"
            f"{row.attainment:>10.3f}{row.goodput:>9.1f}{row.first_token_p95:>11.3f}"
            f"{row.shed:>6}{row.not_run:>9}{row.unknown:>9}"
        )
    share = result.wasted_tokens / max(1, result.engine_tokens)
    lines += [
        "",
        f"goodput is in tokens per second; wasted work: {result.wasted_tokens} of "
        f"{result.engine_tokens} tokens ({share:.2%})",
        f"faults caused: {result.faults}",
        "",
        f"{'promise':<64}{'tested':>8}{'broken':>8}",
    ]
    for promise in result.promises:
        lines.append(f"{promise.name:<64}{promise.tested:>8}{len(promise.broken):>8}")
        lines += [f"    broken: {detail}" for detail in promise.broken[:5]]
    return "\n".join(lines)
