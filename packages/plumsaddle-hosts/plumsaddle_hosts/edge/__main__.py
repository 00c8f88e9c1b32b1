"""
Run one host on the platform.

SIGHUP is ignored before anything else is imported. By default it terminates a process,
so settings that change during the import would prevent a start. No change is missed:
the settings are read after the import, and later changes show in the file's mtime.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .main import main  # noqa: E402

main()
