"""Command-line entry point of `cuminstackd`."""

import asyncio
import sys
from typing import Final

import fire
from fire.decorators import SetParseFns

from cuminstack.daemon._application import Application
from cuminstack.logs import configure_logs
from cuminstack.settings import Settings, SettingsFaults, load_settings

_EXIT_BAD_SETTINGS: Final = 2


def run(*, settings: str, check: bool = False) -> None:
    """Run one instance of the daemon.

    Args:
        settings: Path of the INI file with the settings.
        check: Whether to exit after validating the settings.
    """
    try:
        loaded = load_settings(settings)
    except SettingsFaults as faults:
        sys.stderr.write(f'{faults}\n')
        sys.exit(_EXIT_BAD_SETTINGS)
    if not check:
        asyncio.run(_serve(loaded))


async def _serve(settings: Settings) -> None:
    output = configure_logs(settings.logs)
    try:
        # The application needs a running event loop when it is constructed.
        await Application(settings, output).run()
    finally:
        output.close()


def main() -> None:
    """Run the program with the command-line arguments."""
    # Otherwise Fire converts a path that looks like a number or a list to that
    # type.
    command = SetParseFns(settings=str)(run)
    fire.Fire(command, name='cuminstackd')
