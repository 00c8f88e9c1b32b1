"""
The moment from which a target has no more work with a long response.
"""


class Receipt:
    """Calls functions once, when nothing more of a response comes from its target."""

    def __init__(self):
        self._callbacks = []
        self._is_noted = False

    def when_received(self, callback):
        """Call a function then, or at once if nothing more comes."""
        if self._is_noted:
            callback()
        else:
            self._callbacks.append(callback)

    def note(self):
        """Note that nothing more comes."""
        if self._is_noted:
            return
        self._is_noted = True
        for callback in self._callbacks:
            callback()


def when_received(reply, callback):
    """Call a function once a target has no more work with its response."""
    if reply is None or reply.rest is None:
        callback()
    else:
        reply.rest.when_received(callback)
