"""What a child process uses, as the kernel counts it."""

from pathlib import Path

from ..standins.processes import ChildProcess

__all__ = ["processor_seconds", "resident_megabytes"]

NANOSECONDS = 1e9
KILOBYTES = 1024.0


def processor_seconds(child: ChildProcess) -> float:
    """Return the processor time that a process has used."""
    schedstat = Path(f"/proc/{child.process.pid}/schedstat").read_text()
    return int(schedstat.split()[0]) / NANOSECONDS


def resident_megabytes(child: ChildProcess) -> float:
    """Return the memory of a process that is resident."""
    status = Path(f"/proc/{child.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / KILOBYTES
