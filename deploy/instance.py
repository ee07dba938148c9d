"""Starts a program of the platform out of the source tree."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))

from cuminstack.platform import main  # noqa: E402

main()
