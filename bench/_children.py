"""Child processes that are signalled by id and never left behind."""

import asyncio
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final, Self

import cuminstack

#: How long a child may take to end after SIGKILL, in seconds.
_KILL_SECONDS: Final = 5.0

#: Clock ticks a second in the statistics of a process.
_TICKS: Final = os.sysconf('SC_CLK_TCK')

#: Bytes in a page of memory.
_PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')

#: Where user and system time stand after the command in /proc/PID/stat.
_USER_TIME: Final = 11
_SYSTEM_TIME: Final = 12

_MEBIBYTE: Final = 1024 * 1024


class Child:
    """One child process, with its output in a file."""

    def __init__(
        self,
        name: str,
        process: asyncio.subprocess.Process,
        log_path: Path,
    ) -> None:
        self.name = name
        self.log_path = log_path
        self._process = process

    @property
    def pid(self) -> int:
        """Give its process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Tell whether it has not ended."""
        return self._process.returncode is None

    @property
    def exit_code(self) -> int | None:
        """Give its exit code; negative for a signal; none while it runs."""
        return self._process.returncode

    @property
    def log(self) -> str:
        """Give what it wrote so far."""
        return self.log_path.read_text(errors='replace')

    @property
    def cpu_seconds(self) -> float:
        """Give the processor time that it has used."""
        text = Path(f'/proc/{self.pid}/stat').read_text()
        numbers = text.rpartition(')')[2].split()
        ticks = int(numbers[_USER_TIME]) + int(numbers[_SYSTEM_TIME])
        return ticks / _TICKS

    @property
    def memory_mb(self) -> float:
        """Give its resident memory in mebibytes."""
        text = Path(f'/proc/{self.pid}/statm').read_text()
        return int(text.split()[1]) * _PAGE_BYTES / _MEBIBYTE

    @classmethod
    async def spawn(
        cls,
        name: str,
        command: Sequence[str],
        *,
        folder: Path,
        stdout: int | None = None,
    ) -> Self:
        """Start a child of this process.

        Args:
            name: Its name, also that of its log file.
            command: Program and arguments.
            folder: Where its log file goes.
            stdout: `asyncio.subprocess.PIPE` to read its standard output;
                else that goes to the log file too.
        """
        log_path = folder / f'{name}.log'
        with log_path.open('ab') as log:
            process = await asyncio.create_subprocess_exec(
                *command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log if stdout is None else stdout,
                stderr=log,
                env=_environment(),
            )
        return cls(name, process, log_path)

    async def read_line(self) -> bytes:
        """Read a line of its standard output, if that is a pipe."""
        assert self._process.stdout is not None
        return await self._process.stdout.readline()

    def send(self, signal_number: signal.Signals) -> None:
        """Send it a signal, if it still runs."""
        if self.running:
            self._process.send_signal(signal_number)

    def pause(self) -> None:
        """Stop it with SIGSTOP."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on with SIGCONT."""
        self.send(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask it to end, with SIGTERM."""
        self.send(signal.SIGTERM)

    async def wait(self, *, seconds: float) -> int:
        """Wait until it has ended, and give its exit code.

        Raises:
            TimeoutError: It still runs after `seconds`.
        """
        async with asyncio.timeout(seconds):
            return await self._process.wait()

    async def kill(self) -> None:
        """End it with SIGKILL, and wait until it is gone."""
        self.send(signal.SIGKILL)
        await self.wait(seconds=_KILL_SECONDS)


def program(name: str) -> str:
    """Give the path of a program installed beside the interpreter."""
    return str(Path(sys.executable).with_name(name))


def _environment() -> dict[str, Any]:
    # A child runs the same code as its parent, wherever that was found.
    source = Path(cuminstack.__path__[0]).parent
    root = Path(__file__).parents[1]
    paths = (str(source), str(root), os.environ.get('PYTHONPATH', ''))
    return {**os.environ, 'PYTHONPATH': os.pathsep.join(filter(None, paths))}
