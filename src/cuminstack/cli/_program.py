"""The commands of the tool, as `fire` finds them."""

import asyncio
import sys
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final, NoReturn

import fire
import msgspec
from fire.decorators import SetParseFn

from cuminstack import queries
from cuminstack.cli._exit import ExitCode, describe, exit_code_of
from cuminstack.cli._views import render
from cuminstack.client import BadAddress, ClientError, OperatorClient
from cuminstack.commands import submit_sheet
from cuminstack.sheet import SheetFaults

_INSTANCE: Final = 'http://127.0.0.1:8002'
_TIMEOUT_SECONDS: Final = 5

#: `fire` makes a tuple of a list with commas that reads like one.
Instances = str | Sequence[str]

_Request = Callable[[OperatorClient], Awaitable[Any]]


@dataclass(frozen=True, slots=True)
class Action:
    """What a command does once the whole command line is understood.

    `fire` calls a command before it finds that a later argument is wrong;
    nothing may be sent by then.
    """

    perform: Callable[[], str]


class Tool:
    """Drive cuminstack and see what it does.

    Commands: submit SHEET, check SHEET, diff OLD NEW, sheet, status, members,
    endpoints, histograms, explain KEY LOG...
    Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable.

    Args:
        instance: Addresses of instances, `http://ip:port` with commas
            between; if one can't answer, the next is asked.
        timeout: Seconds that one instance may take to answer.
        json: Print JSON for programs.
    """

    def __init__(
        self,
        *,
        instance: Instances = _INSTANCE,
        timeout: float = _TIMEOUT_SECONDS,
        json: bool = False,
    ) -> None:
        self._instance = instance
        self._timeout = timeout
        self._as_json = json

    def submit(self, sheet: str) -> Action:
        """Put a sheet in force.

        Args:
            sheet: Path of the CSV file.
        """
        return Action(lambda: self._submit(str(sheet)))

    def check(self, sheet: str) -> Action:
        """Check a sheet before it is submitted; no instance is asked.

        Args:
            sheet: Path of the CSV file.
        """
        return Action(
            lambda: self._judge(queries.check_sheet(_read_file(str(sheet)))),
        )

    def diff(self, old: str, new: str) -> Action:
        """Show what differs between two sheets; no instance is asked.

        Args:
            old: Path of a CSV file.
            new: Path of another one.
        """
        return Action(
            lambda: self._judge(
                queries.compare_sheets(
                    _read_file(str(old)),
                    _read_file(str(new)),
                ),
            ),
        )

    def sheet(self) -> Action:
        """Print the sheet in force."""
        return Action(lambda: self._ask(queries.fetch_sheet).decode().rstrip())

    def status(self) -> Action:
        """Show how an instance does, and what it knows of the others."""
        return Action(lambda: self._show(self._ask(queries.fetch_status)))

    def members(self) -> Action:
        """Show the members, their terms and what they use."""
        return Action(lambda: self._show(self._ask(queries.fetch_members)))

    def endpoints(self) -> Action:
        """Show the endpoints that an instance knows."""
        return Action(lambda: self._show(self._ask(queries.fetch_endpoints)))

    def histograms(self) -> Action:
        """Show histograms and counts, added up over all instances given."""
        return Action(self._histograms)

    def explain(self, key: str, *logs: str) -> Action:
        """Show what became of a job; no instance is asked.

        Args:
            key: Key of the job.
            logs: Paths of the logs of all instances.
        """
        return Action(lambda: self._explain(str(key), tuple(map(str, logs))))

    def _explain(self, key: str, paths: tuple[str, ...]) -> str:
        events: list[queries.LoggedEvent] = []
        for path in paths:
            text = _read_file(path).decode(errors='replace')
            source = Path(path).stem
            events.extend(queries.read_events(source, text.splitlines()))
        found = queries.explain_job(key, events)
        if not found:
            _end(ExitCode.refused, f'no line names the job {key}')
        return '\n'.join(f'{event.source}: {event.text}' for event in found)

    def _submit(self, path: str) -> str:
        body = _read_file(path)
        return self._show(self._ask(lambda client: submit_sheet(client, body)))

    def _histograms(self) -> str:
        view = self._ask(queries.fetch_histograms)
        for failure in view.failures:
            sys.stderr.write(f'left out: {failure}\n')
        return self._show(view.merged)

    def _ask(self, request: _Request) -> Any:
        try:
            client = OperatorClient(
                _addresses(self._instance),
                timeout_seconds=float(self._timeout),
            )
        except (BadAddress, ValueError) as fault:
            _end(ExitCode.usage, str(fault))
        try:
            return asyncio.run(_send(request, client))
        except ClientError as error:
            _end(exit_code_of(error), describe(error))

    def _judge(self, found: object) -> str:
        if isinstance(found, SheetFaults):
            lines = map(str, found.faults)
            _end(ExitCode.refused, '\n'.join(lines))
        return self._show(found)

    def _show(self, view: object) -> str:
        if self._as_json:
            return msgspec.json.encode(view).decode()
        return render(view)


def run(arguments: Sequence[str]) -> None:
    """Run one command line.

    Raises:
        SystemExit: With an `ExitCode`, unless all went well.
    """
    # Else a key of digits around an `e` would become a number.
    SetParseFn(str)(Tool.explain)
    fire.Fire(
        Tool,
        command=list(arguments),
        name='cuminstack',
        serialize=_perform,
    )


def _perform(found: Any) -> Any:
    return found.perform() if isinstance(found, Action) else found


def main() -> None:
    """Start the program with the arguments of the command line."""
    run(sys.argv[1:])


async def _send(request: _Request, client: OperatorClient) -> Any:
    async with client:
        return await request(client)


def _addresses(instance: Instances) -> tuple[str, ...]:
    if isinstance(instance, str):
        instance = instance.split(',')
    return tuple(str(each).strip() for each in instance)


def _read_file(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        _end(ExitCode.usage, str(error))


def _end(code: ExitCode, text: str) -> NoReturn:
    sys.stderr.write(f'{text}\n')
    sys.exit(code)
