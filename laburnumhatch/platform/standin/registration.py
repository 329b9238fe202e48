"""Encoder of upstream registrations in the format of the platform's store."""

import msgspec

from ...fleet import Upstream

__all__ = ["encode_registration"]


def encode_registration(upstream: Upstream, report_number: int) -> bytes:
    """Return the registration of an upstream, as it stands in the store.

    Parameters
    ----------
    upstream : Upstream
    report_number : int
        Number that differs between the reports of an upstream.
    """
    return msgspec.json.encode(
        {
            "service": upstream.service,
            "address": f"{upstream.host}:{upstream.port}",
            "zone": upstream.data_centre,
            "version": "v1",
            "slots": upstream.slots,
            "state": "draining" if upstream.is_draining else "ready",
            "warmup_left": f"{upstream.warmup_remaining.total_seconds():g}s",
            "sequence": report_number,
            "born": upstream.incarnation.started_at_ms,
        }
    )
