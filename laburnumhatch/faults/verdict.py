"""Verdicts on the guarantees under a fault."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from ..results import RunStatus
from .history import ServerRun, find_epoch_reversals, find_owner_overlaps, find_repeated_runs
from .traffic import Call, longest_gap

__all__ = ["Verdict", "common_verdicts", "gap_verdict", "idempotency_claim_verdict"]


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of the check of one guarantee under a fault.

    Attributes
    ----------
    guarantee, bound, observed : str
    holds : bool
    """

    guarantee: str
    bound: str
    observed: str
    holds: bool


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
    repeatable = {call.path for call in calls if call.plan.is_repeatable}
    unrepeatable_runs = [run for run in runs if run.request_id not in repeatable]
    repeated = find_repeated_runs(unrepeatable_runs)
    run_ids = {run.request_id for run in runs}
    false_refusals = [call for call in calls if call.run is RunStatus.NO and call.path in run_ids]
    wrong_answers = [call for call in calls if call.status == 200 and not call.is_own_answer]
    answered = sum(call.is_answered for call in calls)
    return [
        _none_found("one owner at a time", overlaps, f"of {len(owned)} runs"),
        _none_found("no run under an older epoch", reversals, f"of {len(owned)} runs"),
        _none_found(
            "not-repeatable runs at most once", repeated, f"of {len(unrepeatable_runs)} runs"
        ),
        _none_found("'not run' is true", false_refusals, f"of {len(calls)} calls"),
        _none_found("each caller its own answer", wrong_answers, f"of {answered} answers"),
    ]


def gap_verdict(
    guarantee: str, calls: list[Call], start: timedelta, end: timedelta, bound: timedelta
) -> Verdict:
    """Return the verdict on whether no plan went without a response for longer than a bound."""
    gap, plan = longest_gap(calls, start, end)
    observed = f"{gap.total_seconds():.2f} s ({plan})"
    return Verdict(guarantee, f"{bound.total_seconds():g} s", observed, gap <= bound)


def idempotency_claim_verdict(calls: Sequence[Call], start: timedelta, end: timedelta) -> Verdict:
    """Return the verdict on calls with an idempotency key: answered, or refused as not run.

    Parameters
    ----------
    calls : sequence of Call
    start, end : timedelta
        Period in which no idempotency key can be claimed.
    """
    keyed_calls = [
        call for call in calls if call.plan.has_idempotency_key and start <= call.sent_at <= end
    ]
    violations = [
        call for call in keyed_calls if not call.is_answered and call.run is not RunStatus.NO
    ]
    refused = sum(call.run is RunStatus.NO for call in keyed_calls)
    return Verdict(
        "an idempotency key that can't be claimed is refused as not run",
        "none otherwise",
        f"{len(violations)} otherwise {_outcomes(violations)},"
        f" {refused} refused of {len(keyed_calls)}",
        not violations and bool(keyed_calls),
    )


def _outcomes(calls: Sequence[Call]) -> list[str]:
    return sorted({f"{call.status} {call.code or call.detail}" for call in calls})


def _none_found(guarantee: str, found: Sequence[object], checked: str) -> Verdict:
    return Verdict(guarantee, "none", f"{len(found)} {checked}", not found)
