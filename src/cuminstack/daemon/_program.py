"""The program `cuminstackd`."""

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
        settings: Path of its INI file.
        check: Only check the settings.
    """
    try:
        loaded = load_settings(settings)
    except SettingsFaults as faults:
        sys.stderr.write(f'{faults}\n')
        sys.exit(_EXIT_BAD_SETTINGS)
    if not check:
        asyncio.run(_serve(loaded))


async def _serve(settings: Settings) -> None:
    # The application belongs to the loop, so it is made inside of it.
    output = configure_logs(settings.logs)
    try:
        await Application(settings).run()
    finally:
        output.close()


def main() -> None:
    """Start the program with the arguments of the command line."""
    # Else a path that looks like a number or a list would become one.
    command = SetParseFns(settings=str)(run)
    fire.Fire(command, name='cuminstackd')
