"""Addresses of a soak run, which no other run on the machine uses at the same time."""

import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import logbook

__all__ = ["reserve_network"]

# Port on the first address of a network that the run which uses the network listens on.
RESERVATION_PORT = 7600
# Number of values of each of the two octets that name a network, from 1 on.
OCTET_COUNT = 250

_log = logbook.Logger("laburnumhatch.soak")


@contextmanager
def reserve_network(run_number: int = 0) -> Iterator[str]:
    """Reserve a network in 127.0.0.0/8 and yield the first three octets of its addresses.

    Parameters
    ----------
    run_number : int, optional
        Number of the run in this process. The networks of successive runs differ.

    Raises
    ------
    OSError
        If all networks are in use.
    """
    start = os.getpid() + run_number * OCTET_COUNT
    for number in range(start, start + OCTET_COUNT**2):
        network = f"127.{1 + number % OCTET_COUNT}.{1 + number // OCTET_COUNT % OCTET_COUNT}"
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as reservation:
            try:
                reservation.bind((f"{network}.1", RESERVATION_PORT))
            except OSError as e:
                _log.info("network {} is not available: {}", network, e)
                continue
            reservation.listen(1)
            yield network
            return
    raise OSError("all networks for soak runs are in use")
