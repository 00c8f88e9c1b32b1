"""
SIGTERM while a process starts, before its event loop handles signals.
"""

import logging
import os
import signal


def exit_on_sigterm(report):
    """
    Let SIGTERM end the process with 0, until the event loop handles it.

    An exception could get lost in whichever code is running.

    Args:
      report: Called before, to log it.
    """

    def stop(number, frame):
        report()
        logging.shutdown()
        os._exit(0)

    signal.signal(signal.SIGTERM, stop)
