"""
Signals that ask a process to stop or to reload, while no event loop handles them.
"""

import logging
import os
import signal

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


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


def block_signals():
    """
    Let no signal end the process any more, as its last step.

    The event loop resets its handlers when it is closed, and by default a signal would
    then take the place of the exit code.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)
