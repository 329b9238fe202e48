"""Decoder of the operator's requests to evacuate data centres."""

from collections.abc import Iterable

import logbook

from ..coordination.store import StoredRow

__all__ = ["EVACUATION_PREFIX", "decode_evacuations"]

# Start of the key of a row that asks to evacuate the data centre named after it. The rows are in
# the table of the configuration. Their values mean nothing.
EVACUATION_PREFIX = "evacuate/"
# As for the data centre in a registration.
MAX_NAME_LENGTH = 200
# Bounds the message with which the leader passes the names on, of up to 4 bytes for a character.
MAX_DATA_CENTRES = 100
MAX_LOGGED_LENGTH = 50

_log = logbook.Logger("laburnumhatch.platform")


def decode_evacuations(rows: Iterable[StoredRow], known_errors: dict[str, str]) -> frozenset[str]:
    """Return the data centres that rows ask to evacuate, and log the invalid rows.

    Parameters
    ----------
    rows : iterable of StoredRow
        Rows of the table; those with other keys are left out.
    known_errors : dict of str to str
        Reason for each row that was invalid at the previous call. The function updates the mapping,
        so that an unchanged error is logged only once.
    """
    data_centres: set[str] = set()
    errors = {}
    for row in rows:
        if not row.key.startswith(EVACUATION_PREFIX):
            continue
        name = row.key[len(EVACUATION_PREFIX) :]
        error = _find_error(name)
        if not error and len(data_centres) >= MAX_DATA_CENTRES:
            error = f"more than {MAX_DATA_CENTRES} data centres are to be evacuated"
        if error:
            errors[row.key] = error
            if known_errors.get(row.key) != error:
                _log.warning("ignoring the row {!r}: {}", row.key[:MAX_LOGGED_LENGTH], error)
        else:
            data_centres.add(name)
    known_errors.clear()
    known_errors.update(errors)
    return frozenset(data_centres)


def _find_error(name: str) -> str:
    if not name:
        return "it names no data centre"
    if len(name) > MAX_NAME_LENGTH:
        return f"a name of {len(name)} characters is too long"
    if not name.isprintable():
        return "the name holds characters that can't be printed"
    return ""
