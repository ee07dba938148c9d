"""Starts a program of the platform out of the source tree."""

import os
import sys
from importlib import import_module
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))

# No program here speaks TLS, but an HTTP library reads the machine's
# certificates while it is imported, a tenth of the time that a start takes.
os.environ['SSL_CERT_FILE'] = os.devnull

import_module('cuminstack.platform').main()
