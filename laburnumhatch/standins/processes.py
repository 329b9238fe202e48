"""Management of the child processes of tests and the demo."""

import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Any, Self

from twisted.internet.defer import Deferred

from ..clocks import Clock, milliseconds

__all__ = ["ChildProcess", "ProcessGroup", "wait_until"]

POLL_INTERVAL = milliseconds(20)
START_TIMEOUT = timedelta(seconds=30)
EXIT_TIMEOUT = timedelta(seconds=40)
MAX_OUTPUT_CHARS = 4_000


async def wait_until(
    clock: Clock, condition: Callable[[], Any], timeout: timedelta, description: str
) -> Any:
    """Poll `condition`, which may be a coroutine function, and return its first true value.

    Raises
    ------
    TimeoutError
        If there is none after `timeout`; the message contains `description`, the awaited event.
    """
    deadline = clock.now() + timeout
    while True:
        value = condition()
        if hasattr(value, "__await__"):
            value = await value
        if value:
            return value
        if clock.now() > deadline:
            raise TimeoutError(f"{description}: timed out after {timeout.total_seconds():g} s")
        poll_due: Deferred[None] = Deferred()
        clock.call_later(POLL_INTERVAL, poll_due.callback, None)
        await poll_due


@dataclass
class ChildProcess:
    """A child process.

    Attributes
    ----------
    name : str
    process : subprocess.Popen
    stdout, stderr : Path
        Files to which the output of the process is redirected.
    """

    name: str
    process: subprocess.Popen[bytes]
    stdout: Path
    stderr: Path

    @property
    def ports(self) -> dict[str, int]:
        """Ports on which the process listens, by name; empty until it has printed them."""
        line = self.stdout.read_text().partition("\n")[0]
        if not line.startswith('{"listening"'):
            return {}
        listening: dict[str, int] = json.loads(line)["listening"]
        return listening

    @property
    def exit_code(self) -> int | None:
        """Exit code, negative after a signal; None while the process runs."""
        return self.process.poll()

    @property
    def output(self) -> str:
        """End of the standard output and standard error of the process."""
        text = f"{self.stdout.read_text()}{self.stderr.read_text()}"
        return f"--- {self.name}\n{text[-MAX_OUTPUT_CHARS:]}"

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        if self.exit_code is None:
            self.process.send_signal(signal_number)

    def kill(self) -> None:
        """Send SIGKILL, which acts like a crash, and wait for the exit."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP, which it cannot notice."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the suspended process with SIGCONT."""
        self.signal(signal.SIGCONT)


@dataclass
class ProcessGroup:
    """Context manager that kills its child processes on exit.

    Attributes
    ----------
    clock : Clock
    directory : Path
        Directory of the output files.
    """

    clock: Clock
    directory: Path
    children: list[ChildProcess] = field(default_factory=list)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        for child in self.children:
            child.kill()

    def launch(
        self,
        name: str,
        *arguments: str,
        module: str = "laburnumhatch",
        directory: Path | None = None,
    ) -> ChildProcess:
        """Start ``python -m MODULE ARGUMENTS``, without waiting for its end.

        A directory is the working directory, whose packages go before those that are installed.
        """
        number = len(self.children)
        stdout = self.directory / f"{number}-{name}.out"
        stderr = self.directory / f"{number}-{name}.err"
        command = [sys.executable, "-m", module, *arguments]
        with stdout.open("wb") as out, stderr.open("wb") as err:
            process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                env=os.environ,
                cwd=directory,
            )
        child = ChildProcess(name, process, stdout, stderr)
        self.children.append(child)
        return child

    async def wait_until_listening(self, child: ChildProcess) -> dict[str, int]:
        """Wait until a child process listens, and return its ports.

        Raises
        ------
        RuntimeError
            If the process exits first; the message contains its output.
        """

        def ready() -> bool:
            return bool(child.ports) or child.exit_code is not None

        await wait_until(self.clock, ready, START_TIMEOUT, f"start of {child.name}")
        if not child.ports:
            raise RuntimeError(f"{child.name} exited with code {child.exit_code}\n{child.output}")
        return child.ports

    async def wait_until_exited(self, child: ChildProcess) -> int:
        """Wait until a child process exits, and return its exit code."""
        await wait_until(
            self.clock, lambda: child.exit_code is not None, EXIT_TIMEOUT, f"end of {child.name}"
        )
        code = child.exit_code
        assert code is not None
        return code

    async def run(self, name: str, *arguments: str) -> ChildProcess:
        """Run a command, and return its process once it has exited."""
        child = self.launch(name, *arguments)
        await self.wait_until_exited(child)
        return child
