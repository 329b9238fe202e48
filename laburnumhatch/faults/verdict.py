"""Verdicts on the guarantees under a fault."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from ..results import Run
from .history import ServerRun, find_epoch_reversals, find_owner_overlaps, find_repeated_runs
from .traffic import Call, longest_gap

__all__ = ["Verdict", "claims_verdict", "common_verdicts", "gap_verdict"]


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of the check of one guarantee under a fault.

    Attributes
    ----------
    promise, bound, seen : str
    held : bool
    """

    promise: str
    bound: str
    seen: str
    held: bool


def common_verdicts(
    calls: Sequence[Call], runs: Sequence[ServerRun], owned_service: str
) -> list[Verdict]:
    """Return the verdicts on the guarantees that hold under every fault.

    Parameters
    ----------
    calls : sequence of Call
    runs : sequence of ServerRun
        Runs at the servers, with the paths of the calls as request identifiers.
    owned_service : str
        Service whose keys have exclusive owners.
    """
    owned = [run for run in runs if run.service == owned_service]
    overlaps = find_owner_overlaps(owned)
    reversals = find_epoch_reversals(owned)
    repeatable = {call.path for call in calls if call.plan.repeatable}
    once = [run for run in runs if run.request_id not in repeatable]
    repeated = find_repeated_runs(once)
    ran = {run.request_id for run in runs}
    untrue = [call for call in calls if call.run is Run.NO and call.path in ran]
    foreign = [call for call in calls if call.status == 200 and not call.own_answer]
    answered = sum(call.answered for call in calls)
    return [
        _none("one owner at a time", overlaps, f"of {len(owned)} runs"),
        _none("no run under an older epoch", reversals, f"of {len(owned)} runs"),
        _none("not-repeatable runs at most once", repeated, f"of {len(once)} runs"),
        _none("'not run' is true", untrue, f"of {len(calls)} calls"),
        _none("each caller its own answer", foreign, f"of {answered} answers"),
    ]


def gap_verdict(
    promise: str, calls: list[Call], start: timedelta, end: timedelta, bound: timedelta
) -> Verdict:
    """Return the verdict on whether no plan went without a response for longer than a bound."""
    gap, plan = longest_gap(calls, start, end)
    seen = f"{gap.total_seconds():.2f} s ({plan})"
    return Verdict(promise, f"{bound.total_seconds():g} s", seen, gap <= bound)


def claims_verdict(calls: Sequence[Call], start: timedelta, end: timedelta) -> Verdict:
    """Return the verdict on calls with an idempotency key: answered, or refused as not run.

    Parameters
    ----------
    calls : sequence of Call
    start, end : timedelta
        Period in which no idempotency key can be claimed.
    """
    claimed = [call for call in calls if call.plan.claimed and start <= call.sent <= end]
    other = [call for call in claimed if not call.answered and call.run is not Run.NO]
    refused = sum(call.run is Run.NO for call in claimed)
    return Verdict(
        "an idempotency key that can't be claimed is refused as not run",
        "none otherwise",
        f"{len(other)} otherwise {_outcomes(other)}, {refused} refused of {len(claimed)}",
        not other and bool(claimed),
    )


def _outcomes(calls: Sequence[Call]) -> list[str]:
    return sorted({f"{call.status} {call.code or call.detail}" for call in calls})


def _none(promise: str, found: Sequence[object], of: str) -> Verdict:
    return Verdict(promise, "none", f"{len(found)} {of}", not found)
