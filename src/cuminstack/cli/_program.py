"""Commands of the command-line tool, exposed through `fire`."""

import asyncio
import sys
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import fire
import msgspec
from fire.decorators import SetParseFn

from cuminstack import queries
from cuminstack.cli._exit import (
    CheckExitCode,
    ExitCode,
    describe,
    exit_code_of,
    exit_code_of_report,
    exit_with_error,
)
from cuminstack.cli._files import decode_text, read_checked_file, read_file
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

    Commands: submit SHEET, check FILE, diff OLD NEW, sheet, status, members,
    endpoints, histograms, explain KEY LOG...
    Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable; of check for
    desired states and settings: 0 nothing found, 1 warnings, 2 errors,
    3 unreadable.

    Args:
        instance: Comma-separated addresses of instances, `http://ip:port`;
            if one can't answer, the next one is tried.  By default
            http://127.0.0.1:8002, except for check.
        timeout: Time limit of the request to one instance, in seconds.
        json: Print JSON instead of tables.
    """

    def __init__(
        self,
        *,
        instance: Instances | None = None,
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

    def check(self, file: str, *, against: str | None = None) -> Action:
        """Check a sheet, a desired state or settings before they are used.

        No request is sent, except with `--instance` for a desired state.

        Args:
            file: Path of a CSV, JSON or INI file.
            against: Path of the version in force, whose differences are
                shown; the alternative to `--instance`.
        """
        return Action(
            lambda: self._check(
                str(file), None if against is None else str(against)
            )
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
                    read_file(str(old)),
                    read_file(str(new)),
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

    def _check(self, path: str, against: str | None) -> str:
        body = read_checked_file(path)
        kind = queries.find_file_kind(path, body.decode(errors='replace'))
        if kind is None:
            if against is not None:
                exit_with_error(
                    ExitCode.usage, 'use diff OLD NEW to compare sheets'
                )
            return self._format_or_exit(queries.check_sheet(body))
        in_force = self._read_in_force(kind, against)
        try:
            report = queries.check_file(
                kind, decode_text(path, body), in_force=in_force
            )
        except queries.NotComparable as error:
            exit_with_error(
                CheckExitCode.unreadable, f'version in force: {error}'
            )
        shown = self._format_view(report)
        code = exit_code_of_report(report)
        if code is CheckExitCode.ok:
            return shown
        sys.stdout.write(f'{shown}\n')
        sys.exit(code)

    def _read_in_force(
        self, kind: queries.FileKind, against: str | None
    ) -> str | None:
        if against is not None and self._instance is not None:
            exit_with_error(
                ExitCode.usage, 'give --against or --instance, not both'
            )
        if against is not None:
            body = read_checked_file(against)
            return decode_text(against, body)
        if self._instance is None:
            return None
        if not kind.live_path:
            exit_with_error(
                ExitCode.usage, f'instances serve no {kind.name}; use --against'
            )
        text: str = self._run_request(
            lambda client: queries.fetch_file(client, kind.live_path),
            failure=CheckExitCode.unreadable,
        )
        return text

    def _explain(self, key: str, paths: tuple[str, ...]) -> str:
        events: list[queries.LoggedEvent] = []
        for path in paths:
            text = read_file(path).decode(errors='replace')
            source = Path(path).stem
            events.extend(queries.read_events(source, text.splitlines()))
        job_events = queries.explain_job(key, events)
        if not job_events:
            exit_with_error(ExitCode.refused, f'no log line mentions job {key}')
        return '\n'.join(
            f'{event.source}: {event.text}' for event in job_events
        )

    def _submit(self, path: str) -> str:
        body = read_file(path)
        return self._format_view(
            self._run_request(lambda client: submit_sheet(client, body))
        )

    def _histograms(self) -> str:
        view = self._run_request(queries.fetch_histograms)
        for failure in view.failures:
            sys.stderr.write(f'not included in the sums: {failure}\n')
        return self._format_view(view.merged)

    def _run_request(
        self, request: _Request, *, failure: CheckExitCode | None = None
    ) -> Any:
        try:
            client = OperatorClient(
                _parse_addresses(self._instance or _DEFAULT_INSTANCE),
                timeout_seconds=float(self._timeout),
            )
        except (BadAddress, ValueError) as fault:
            exit_with_error(ExitCode.usage, str(fault))
        try:
            return asyncio.run(_send(request, client))
        except ClientError as error:
            exit_with_error(failure or exit_code_of(error), describe(error))

    def _format_or_exit(self, result: object) -> str:
        if isinstance(result, SheetFaults):
            lines = map(str, result.faults)
            exit_with_error(ExitCode.refused, '\n'.join(lines))
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
