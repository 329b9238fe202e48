"""Processor time and memory of a child process, from the kernel's accounting."""

from pathlib import Path

from ..standins.processes import ChildProcess

__all__ = ["processor_seconds", "resident_megabytes"]

NANOSECONDS_PER_SECOND = 1e9
KILOBYTES_PER_MEGABYTE = 1024.0


def processor_seconds(child: ChildProcess) -> float:
    """Return the processor time that a process has used, in seconds."""
    schedstat = Path(f"/proc/{child.process.pid}/schedstat").read_text()
    return int(schedstat.split()[0]) / NANOSECONDS_PER_SECOND


def resident_megabytes(child: ChildProcess) -> float:
    """Return the resident memory of a process in megabytes."""
    status = Path(f"/proc/{child.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / KILOBYTES_PER_MEGABYTE
