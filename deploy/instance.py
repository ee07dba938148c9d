"""Starts an instance from the source tree, without installing it."""

import gc
import os
import sys
from importlib import import_module
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))

# No instance uses TLS, but an HTTP library loads the system's certificates on
# import, which takes a tenth of the startup time.
os.environ['SSL_CERT_FILE'] = os.devnull

# What imports allocate stays, so looking for garbage in it is wasted time, at
# startup and, once it is frozen, later on.
gc.disable()
program = import_module('cuminstack.platform')
gc.freeze()
gc.enable()

program.main()
