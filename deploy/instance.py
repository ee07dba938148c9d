"""Starts a program of the platform out of the source tree."""

import sys
from importlib import import_module
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))

import_module('cuminstack.platform').main()
