"""A caller's request that is passed on to another instance, which reaches its upstreams."""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

from ..coordination.messages import RelayPeer
from ..platform.headers import DEADLINE, SEAL, find_header
from ..transport import CallerRequest, CallFailure, OutboundRequest, PooledCall
from ..transport.fields import HeaderFields, end_to_end_fields
from .answers import NOT_RUN_STATUSES, AttemptOutcome, OutcomeKind
from .relay import ResponseRelay
from .relay_header import RELAY, relay_value

if TYPE_CHECKING:
    from .gateway import Gateway

__all__ = ["PeerCall", "PeerResult"]

# Statuses by which an instance tells that it doesn't know whether a request has run.
UNKNOWN_STATUSES = frozenset({502, 504})


class PeerResult(Enum):
    """Result of a request at another instance."""

    # The answer of an upstream, or of the instance if it doesn't know whether the request has run.
    ANSWERED = "answered"
    REFUSED = "refused"
    # The instance was not reached, or can't handle the request.
    NOT_TAKEN = "not taken"
    LOST = "lost"


class PeerCall:
    """One request at another instance.

    Parameters
    ----------
    gateway : Gateway
    request : CallerRequest
    peer : RelayPeer
    deadline : timedelta
        Instant at which the caller's time is over.
    on_result : callable
        Called once with the `PeerResult`, unless the call is aborted.

    Attributes
    ----------
    peer : RelayPeer
    relay : ResponseRelay
    was_sent : bool
        Whether the instance may have received the request.
    reason : str
        Explanation of a result other than an answer.
    """

    def __init__(
        self,
        gateway: "Gateway",
        request: CallerRequest,
        peer: RelayPeer,
        deadline: timedelta,
        on_result: Callable[[PeerResult], None],
    ) -> None:
        self._gateway = gateway
        self._request = request
        self._deadline = deadline
        self._on_result = on_result
        self._call: PooledCall | None = None
        self._is_ended = False
        self._is_sealed = False
        self.peer = peer
        self.relay = ResponseRelay(request, gateway.memory)
        self.was_sent = False
        self.reason = ""

    def start(self) -> None:
        """Send the request."""
        gateway, peer = self._gateway, self.peer
        gateway.relays.note_started(peer.member)
        call = gateway.pool.send(
            peer.host, peer.port, self._build_outbound_request, self, gateway.max_idle_time
        )
        if not self._is_ended:
            self._call = call

    def abort(self) -> None:
        """End the call; the other instance learns that the caller has left."""
        if not self._is_ended:
            self._end(is_unreachable=False)
            if self._call is not None:
                self._call.abort()

    def _build_outbound_request(self) -> OutboundRequest | None:
        request, gateway = self._request, self._gateway
        if self._is_ended or not request.is_caller_connected():
            return None
        self.was_sent = True
        remaining = self._deadline - gateway.clock.now()
        fields = [
            (name, value)
            for name, value in end_to_end_fields(request.fields)
            if name not in (DEADLINE, RELAY, b"expect")
        ]
        fields.append((DEADLINE, b"%d" % max(1, int(remaining.total_seconds() * 1000))))
        value = relay_value(gateway.shared_key(), request.method, request.target, fields)
        fields.append((RELAY, value))
        # Answers of other instances come in order, and a call that is aborted ends its connection.
        return OutboundRequest(
            request.method, request.target, fields, request.body, lambda status, fields: True
        )

    def _end(self, *, is_unreachable: bool) -> None:
        self._is_ended = True
        self._gateway.relays.note_ended(self.peer.member, is_unreachable=is_unreachable)

    # Methods of `ResponseReceiver`.

    def on_header(self, status: int, fields: HeaderFields, length: int | None) -> None:
        """Handle the header of the answer."""
        self.relay.on_header(AttemptOutcome(OutcomeKind.SUCCESS), status, fields, length)
        self._is_sealed = find_header(fields, SEAL) is not None

    def on_body(self, data: bytes) -> None:
        """Handle a part of the answer's body."""
        self.relay.on_body(data, self._call.connection if self._call is not None else None)

    def on_end(self) -> None:
        """Handle the end of a complete answer."""
        self._end(is_unreachable=False)
        status = self.relay.status
        if self._is_sealed or self.relay.is_streaming or status in UNKNOWN_STATUSES:
            result = PeerResult.ANSWERED
        elif status in NOT_RUN_STATUSES:
            result = PeerResult.REFUSED
        else:
            # An instance of another configuration or build may know no route for the request.
            self.reason = f"status {status} of {self.peer.member}"
            is_refusal = 400 <= status < 500
            result = PeerResult.NOT_TAKEN if is_refusal else PeerResult.LOST
        self._on_result(result)

    def on_failure(self, failure: CallFailure) -> None:
        """Handle the failure to receive a complete answer."""
        self._end(is_unreachable=True)
        self.reason = f"{self.peer.member}: {failure.reason}"
        self._on_result(PeerResult.NOT_TAKEN if failure.was_not_sent else PeerResult.LOST)
