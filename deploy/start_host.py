"""
Start a host on the platform.

SIGHUP is ignored before anything is imported, since by default it ends a process: the
settings may change while many hosts start at once. No change is missed, as the settings
are read later.
"""

# `signal` imports other modules first, which takes as long as the interpreter's start.
import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

from plumsaddle_hosts.edge.main import main  # noqa: E402

main()
