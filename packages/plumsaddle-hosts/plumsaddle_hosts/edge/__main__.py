"""
Run one host on the platform.

SIGHUP is ignored before anything else is loaded. Loading takes half a second, and by
default the signal ends a process, so a host that starts while settings change would not
come up. Nothing is lost by that: the settings are read after it, and a file that
changes later shows by its time.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .main import main  # noqa: E402

main()
