"""Log messages about what a host learns from its store and its peers."""

from __future__ import annotations

from rudderpass._ids import StoreEra
from rudderpass.directory import DirectoryChange, HistoryChange, ReachabilityChange
from rudderpass.eventlog import log, round_age


def log_learned(change: DirectoryChange, current_era: StoreEra) -> None:
    """Log a learned change.

    :param current_era: logged if the change has no era of its own.
    """
    log(
        "belief",
        f"{change.text}, from {change.source}.",
        source=change.source,
        offset=change.offset,
        era=current_era if change.era is None else change.era,
        believed_for=change.retained_for,
    )


def log_reachability(change: ReachabilityChange) -> None:
    """Log that the store was lost or regained."""
    word = "regained" if change.is_reachable else "lost"
    log(
        "store",
        f"{word}: {f'{change.topic} {change.reason}'.strip()}.",
        reachable=change.is_reachable,
        silent_for=round_age(change.silent_for),
    )


def log_history(change: HistoryChange) -> None:
    """Log a change of the store's history."""
    log("store", f"{change.text}.", topic=change.topic, era=change.era)
