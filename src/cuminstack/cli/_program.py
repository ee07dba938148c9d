"""Commands of the command-line tool, exposed through `fire`."""

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

_DEFAULT_INSTANCE: Final = 'http://127.0.0.1:8002'
_DEFAULT_TIMEOUT_SECONDS: Final = 5

#: `fire` passes a value with commas as a tuple if it parses as a Python one.
Instances = str | Sequence[str]

_Request = Callable[[OperatorClient], Awaitable[Any]]


@dataclass(frozen=True, slots=True)
class Action:
    """The deferred work of a command.

    `fire` calls the method of a command before it has validated the remaining
    arguments.  The method therefore returns an action, which is performed
    after the whole command line was parsed, so that an invalid command line
    sends no request.

    Args:
        perform: Run the command and return its output.
    """

    perform: Callable[[], str]


class Tool:
    """Operate and inspect a cuminstack deployment.

    Commands: submit SHEET, check SHEET, diff OLD NEW, sheet, status, members,
    endpoints, histograms, explain KEY LOG...
    Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable.

    Args:
        instance: Comma-separated addresses of instances, `http://ip:port`;
            if one can't answer, the next one is tried.
        timeout: Time limit of the request to one instance, in seconds.
        json: Print JSON instead of tables.
    """

    def __init__(
        self,
        *,
        instance: Instances = _DEFAULT_INSTANCE,
        timeout: float = _DEFAULT_TIMEOUT_SECONDS,
        json: bool = False,
    ) -> None:
        self._instance = instance
        self._timeout = timeout
        self._as_json = json

    def submit(self, sheet: str) -> Action:
        """Submit a sheet and put it in force.

        Args:
            sheet: Path of the CSV file.
        """
        return Action(lambda: self._submit(str(sheet)))

    def check(self, sheet: str) -> Action:
        """Validate a sheet file locally; no request is sent.

        Args:
            sheet: Path of the CSV file.
        """
        return Action(
            lambda: self._format_or_exit(
                queries.check_sheet(_read_file(str(sheet)))
            ),
        )

    def diff(self, old: str, new: str) -> Action:
        """Show the differences between two sheet files; no request is sent.

        Args:
            old: Path of the old CSV file.
            new: Path of the new CSV file.
        """
        return Action(
            lambda: self._format_or_exit(
                queries.compare_sheets(
                    _read_file(str(old)),
                    _read_file(str(new)),
                ),
            ),
        )

    def sheet(self) -> Action:
        """Print the sheet in force."""
        return Action(
            lambda: self._run_request(queries.fetch_sheet).decode().rstrip()
        )

    def status(self) -> Action:
        """Show the status of an instance and its view of the others."""
        return Action(
            lambda: self._format_view(self._run_request(queries.fetch_status))
        )

    def members(self) -> Action:
        """Show the members, their limits and their resource usage."""
        return Action(
            lambda: self._format_view(self._run_request(queries.fetch_members))
        )

    def endpoints(self) -> Action:
        """Show the endpoints that an instance knows."""
        return Action(
            lambda: self._format_view(
                self._run_request(queries.fetch_endpoints)
            )
        )

    def histograms(self) -> Action:
        """Show histograms and counts, summed over the given instances."""
        return Action(self._histograms)

    def explain(self, key: str, *logs: str) -> Action:
        """Show the log events that affected a job; no request is sent.

        Args:
            key: Key of the job.
            logs: Paths of the log files of all instances.
        """
        return Action(lambda: self._explain(str(key), tuple(map(str, logs))))

    def _explain(self, key: str, paths: tuple[str, ...]) -> str:
        events: list[queries.LoggedEvent] = []
        for path in paths:
            text = _read_file(path).decode(errors='replace')
            source = Path(path).stem
            events.extend(queries.read_events(source, text.splitlines()))
        job_events = queries.explain_job(key, events)
        if not job_events:
            _exit_with_error(
                ExitCode.refused, f'no log line mentions job {key}'
            )
        return '\n'.join(
            f'{event.source}: {event.text}' for event in job_events
        )

    def _submit(self, path: str) -> str:
        body = _read_file(path)
        return self._format_view(
            self._run_request(lambda client: submit_sheet(client, body))
        )

    def _histograms(self) -> str:
        view = self._run_request(queries.fetch_histograms)
        for failure in view.failures:
            sys.stderr.write(f'not included in the sums: {failure}\n')
        return self._format_view(view.merged)

    def _run_request(self, request: _Request) -> Any:
        try:
            client = OperatorClient(
                _parse_addresses(self._instance),
                timeout_seconds=float(self._timeout),
            )
        except (BadAddress, ValueError) as fault:
            _exit_with_error(ExitCode.usage, str(fault))
        try:
            return asyncio.run(_send(request, client))
        except ClientError as error:
            _exit_with_error(exit_code_of(error), describe(error))

    def _format_or_exit(self, result: object) -> str:
        if isinstance(result, SheetFaults):
            lines = map(str, result.faults)
            _exit_with_error(ExitCode.refused, '\n'.join(lines))
        return self._format_view(result)

    def _format_view(self, view: object) -> str:
        if self._as_json:
            return msgspec.json.encode(view).decode()
        return render(view)


def run(arguments: Sequence[str]) -> None:
    """Run the tool with the given command line.

    Args:
        arguments: Arguments of the command line, without the program name.

    Raises:
        SystemExit: With an `ExitCode`, unless the command succeeded.
    """
    # Without this, `fire` parses a key such as `1842e15` as a number.
    SetParseFn(str)(Tool.explain)
    fire.Fire(
        Tool,
        command=list(arguments),
        name='cuminstack',
        serialize=_perform,
    )


def _perform(component: Any) -> Any:
    return component.perform() if isinstance(component, Action) else component


def main() -> None:
    """Run the tool with the arguments of this process."""
    run(sys.argv[1:])


async def _send(request: _Request, client: OperatorClient) -> Any:
    async with client:
        return await request(client)


def _parse_addresses(instance: Instances) -> tuple[str, ...]:
    if isinstance(instance, str):
        instance = instance.split(',')
    return tuple(str(each).strip() for each in instance)


def _read_file(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        _exit_with_error(ExitCode.usage, str(error))


def _exit_with_error(code: ExitCode, text: str) -> NoReturn:
    sys.stderr.write(f'{text}\n')
    sys.exit(code)
