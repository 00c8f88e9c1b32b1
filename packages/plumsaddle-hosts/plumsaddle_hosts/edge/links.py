"""
The kept connections of a host, by target.

The connection used last is taken first, so that the others grow old and are closed
here before the target closes them: a request sent at the moment of such a close is
lost, and an order among them cannot be sent again.
"""

from .clock import now
from .link import TargetConnection, connect

# Idle connections kept for one target. A host has few requests at one target at a
# time; more than this would only fill the target's own bound.
KEPT_MOST = 8
# Inside a data centre a connection takes a millisecond or two. A target that needs
# longer is dead, cut off or overwhelmed; another one is a better choice than waiting.
CONNECT_TIMEOUT = 0.3


class ConnectionPool:
    """The connections of one host, by life of a target."""

    def __init__(self):
        self._idle = {}
        self._busy = {}

    def has_idle(self, target_id, idle_most):
        """Return whether `acquire` would return a connection."""
        at = now()
        return any(
            link.is_reusable(at, idle_most) for link in self._idle.get(target_id, ())
        )

    def acquire(self, target_id, idle_most):
        """
        Take an idle connection to a target.

        Args:
          target_id: The target's life.
          idle_most: The most seconds for which it may have been idle.
        Returns:
          A `TargetConnection`, or None if there is none that may be used.
        """
        at = now()
        kept = self._idle.get(target_id, [])
        while kept:
            link = kept.pop()
            if link.is_reusable(at, idle_most):
                self._busy.setdefault(target_id, set()).add(link)
                return link
            link.close()
        return None

    async def open(self, target, timeout=CONNECT_TIMEOUT):
        """Return a new `TargetConnection` to a target, or a `ConnectFailure`."""

        def on_closed(link):
            self._drop(target.incarnation, link)

        link = await connect(target.address, timeout, on_closed)
        if isinstance(link, TargetConnection) and not link.is_closed:
            self._busy.setdefault(target.incarnation, set()).add(link)
        return link

    def release(self, target_id, link):
        """Keep a connection whose exchange has ended, if it may be used again."""
        link.end_exchange()
        self.release_unused(target_id, link)

    def release_unused(self, target_id, link):
        """Keep a connection on which nothing is under way, if it may be used."""
        self._let_go(target_id, link)
        if not link.is_reusable(now()):
            link.close()
            return
        kept = self._idle.setdefault(target_id, [])
        kept.append(link)
        if len(kept) > KEPT_MOST:
            kept.pop(0).close()

    def close_expired(self, known):
        """
        Close connections that are too old or whose target is gone.

        Args:
          known: The lives of all listed targets.
        """
        at = now()
        for target_id, kept in list(self._idle.items()):
            for link in list(kept):
                if target_id not in known or not link.is_reusable(at):
                    kept.remove(link)
                    link.close()
            if not kept:
                self._idle.pop(target_id, None)

    def close_incarnation(self, target_id):
        """
        Close all connections to a life of a target that has ended.

        A target that was cut off or lost its power and starts again under its id sends
        no reset: a request in flight there would wait for its deadline although its
        answer can never come. Closed, it is decided at once as after a crash.
        """
        for link in (*self._idle.pop(target_id, ()), *self._busy.pop(target_id, ())):
            link.close()

    def close_idle(self):
        """Close all idle connections."""
        for kept in self._idle.values():
            for link in kept:
                link.close()
        self._idle.clear()

    def _drop(self, target_id, link):
        self._let_go(target_id, link)
        kept = self._idle.get(target_id, [])
        if link in kept:
            kept.remove(link)

    def _let_go(self, target_id, link):
        """Take a connection off the busy ones."""
        busy = self._busy.get(target_id)
        if busy is None:
            return
        busy.discard(link)
        if not busy:
            del self._busy[target_id]
