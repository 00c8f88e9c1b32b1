"""
Start a host on the platform.

SIGHUP is ignored before anything is imported, since by default it ends a process: the
settings may change while many hosts start at once. No change is missed, as the settings
are read later.
"""

# `signal` imports other modules first, which takes as long as the interpreter's start.
import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import os  # noqa: E402
import sys  # noqa: E402

# `target/deps` is a link that a build may replace meanwhile: all modules of a process
# are of one build.
sys.path[:] = [os.path.realpath(path) for path in sys.path]

from plumsaddle_hosts.edge.main import main  # noqa: E402

main()
