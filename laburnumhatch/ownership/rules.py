"""Rules of the ownership protocol that tests switch off to see them missed."""

from dataclasses import dataclass

__all__ = ["Rules"]


@dataclass(frozen=True, slots=True)
class Rules:
    """The rules in force; daemons keep all of them.

    Attributes
    ----------
    wait_before_granting : bool
        A move waits until nobody holds a lease under the old epoch.
    count_from_send_time : bool
        Authority and leases count from before the request for them was sent.
    refuse_older_versions : bool
        A standby refuses its consent to a coordinator of a row older than it has known.
    remember_own_grants : bool
        A coordinator waits for what it granted in its earlier terms.
    remember_own_promises : bool
        A coordinator waits for what it promised as a standby.
    inherit_takeover_wait : bool
        A coordinator waits for what its predecessors' rows say is owed.
    wait_as_non_standby : bool
        A coordinator that was no standby waits for the longest hold by consent.
    ask_both_standby_lists : bool
        While a change of standbys is unresolved, both lists must consent.
    """

    wait_before_granting: bool = True
    count_from_send_time: bool = True
    refuse_older_versions: bool = True
    remember_own_grants: bool = True
    remember_own_promises: bool = True
    inherit_takeover_wait: bool = True
    wait_as_non_standby: bool = True
    ask_both_standby_lists: bool = True
