"""Safety rules of the ownership protocol, which tests disable one by one."""

from dataclasses import dataclass

__all__ = ["Rules"]


@dataclass(frozen=True, slots=True)
class Rules:
    """Safety rules that are in force.

    Production code enables all of them. A test disables a rule to show that the protocol is unsafe
    without it.

    Attributes
    ----------
    wait_before_granting : bool
        A move takes effect only after all leases under the old epoch have ended.
    count_from_send_time : bool
        Authority and leases are counted from the instant before the request for them was sent,
        not from the reply.
    refuse_older_versions : bool
        A standby refuses its consent to a coordinator whose row is older than the row that the
        standby knows.
    remember_own_grants : bool
        A new coordinator waits for the leases that it granted in its earlier terms.
    remember_own_promises : bool
        A new coordinator waits for the promises that it gave as a standby.
    inherit_takeover_wait : bool
        A new coordinator waits for the `takeover_wait` in the row of its predecessor.
    wait_as_non_standby : bool
        A new coordinator that was not a standby waits for the longest time that its predecessor
        may hold authority by consent.
    ask_both_standby_lists : bool
        While the outcome of a change of the standbys is unknown, the standbys of both rows must
        consent.
    """

    wait_before_granting: bool = True
    count_from_send_time: bool = True
    refuse_older_versions: bool = True
    remember_own_grants: bool = True
    remember_own_promises: bool = True
    inherit_takeover_wait: bool = True
    wait_as_non_standby: bool = True
    ask_both_standby_lists: bool = True
