"""Upstreams that restarted under their name while keys were moved away from them.

A restarted process has forgotten the fencing tokens that the former process had acknowledged. A
grant that was sent to the new process and not answered may be applied seconds later under a token
that is below the next owner's.
"""

from collections.abc import Mapping
from datetime import timedelta

from ..fleet import UpstreamIncarnation
from .lease import MAX_APPLICATION_DELAY, NEVER, Phase, RangeLease, enter_phase
from .service_leases import ServiceLeases

__all__ = ["fence_restarted_former_owners"]


def fence_restarted_former_owners(
    leases: ServiceLeases, registered: Mapping[str, UpstreamIncarnation], now: timedelta
) -> list[RangeLease]:
    """Start to fence former owners that restarted, and return the leases concerned.

    Parameters
    ----------
    leases : ServiceLeases
    registered : mapping of str to UpstreamIncarnation
        Registered process of each upstream, by name.
    now : timedelta

    Notes
    -----
    Only ranges whose next owner has certainly received no grant are fenced: otherwise the grant
    that raises the token of the former owner would create two holders. Each process is fenced at
    most once, since the former owner is replaced by the process that is fenced.
    """
    fenced = []
    for lease in leases.leases:
        former = lease.former
        if former is None or lease.held_until != NEVER or lease.phase is Phase.UNRECORDED:
            continue
        current = registered.get(former.incarnation.name)
        has_unanswered_grant = now < former.unanswered_grant_until + MAX_APPLICATION_DELAY
        if current is None or current == former.incarnation or not has_unanswered_grant:
            continue
        former.incarnation = current
        former.unanswered_grant_until = now + MAX_APPLICATION_DELAY
        former.expires_at = max(former.expires_at, former.unanswered_grant_until)
        former.needs_fencing = True
        former.is_unresponsive = False
        lease.fencing_token = leases.allocate_tokens(2)
        enter_phase(lease, Phase.UNRECORDED, now)
        fenced.append(lease)
    return fenced
