"""The shared key by which the instances authenticate each other on their streams."""

import random
import secrets

import logbook
from twisted.internet.defer import Deferred

from ..clocks import Clock, milliseconds
from .store import Committed, Expectation, NewRow, Rejected, RowsRead, RowStore

__all__ = ["restore_stream_key", "shared_stream_key"]

TABLE = "streams"
KEY = "key"
KEY_BYTES = 24
# Time between two attempts while the store doesn't answer: at first, and at most. Instances of a
# whole deployment may wait here, and each call adds to the load of a store in trouble.
FIRST_RETRY_INTERVAL = milliseconds(400)
MAX_RETRY_INTERVAL = milliseconds(1500)
BACKOFF_FACTOR = 1.5

_log = logbook.Logger("laburnumhatch.member")


async def restore_stream_key(store: RowStore, clock: Clock, known_key: str) -> str:
    """Return the key after the store has come back from an older copy.

    The known key is written again if it is lost. If another one is there, which instances created
    meanwhile that didn't find the known one, all go over to that.
    """
    return await _read_or_create(store, clock, known_key)


async def shared_stream_key(store: RowStore, clock: Clock) -> str:
    """Return the key from the store, which the first instance creates.

    Notes
    -----
    Only instances may read and write the rows of the store, so no other distribution of the key is
    needed.
    """
    return await _read_or_create(store, clock, secrets.token_hex(KEY_BYTES))


async def _read_or_create(store: RowStore, clock: Clock, new_key: str) -> str:
    interval = FIRST_RETRY_INTERVAL
    while True:
        result = await store.read_row(TABLE, KEY)
        if isinstance(result, RowsRead) and result.rows:
            return result.rows[0].value.decode("ascii", "replace")
        if isinstance(result, RowsRead):
            row = NewRow(TABLE, KEY, new_key.encode())
            write_result = await store.write([Expectation(TABLE, KEY, 0)], [row])
            if isinstance(write_result, Committed):
                return new_key
            if isinstance(write_result, Rejected) and write_result.rows:
                # Another instance was first.
                return write_result.rows[0].value.decode("ascii", "replace")
            if isinstance(write_result, Rejected):
                continue
            result = write_result
        _log.warning("the stream key can't be read from the store, retrying: {}", result.reason)
        pause: Deferred[None] = Deferred()
        clock.call_later(interval * random.uniform(0.8, 1.2), pause.callback, None)
        interval = min(interval * BACKOFF_FACTOR, MAX_RETRY_INTERVAL)
        await pause
