"""
Classifies the responses of targets and streams the rest of long ones.
"""

from plumsaddle_core.core.traffic import Reply, SendOutcome

from ..platform import wire


def classify(exchange):
    """Return the outcome and the `Reply` of an exchange that has ended."""
    if exchange.outcome is not SendOutcome.SUCCEEDED:
        return SendOutcome.BROKEN, None
    return classify_head(exchange, None)


def classify_head(exchange, rest):
    """Return the outcome according to status and headers, and the `Reply`."""
    headers = {name.lower(): value for name, value in exchange.headers}
    body = bytes(exchange.body)
    exchange.body.clear()
    reply = Reply(exchange.status, exchange.headers, body, rest)
    if exchange.status == 421:
        return SendOutcome.WRONG_TARGET, reply
    if wire.NOT_RUN.lower().encode() in headers:
        return SendOutcome.NOT_RUN, reply
    if 200 <= exchange.status < 300:
        is_signed = wire.SIGNATURE.lower().encode() in headers
        is_plain = b"content-encoding" not in headers
        return (
            SendOutcome.SUCCEEDED if is_signed and is_plain else SendOutcome.UNSIGNED
        ), reply
    if exchange.status == 504:
        return SendOutcome.TIMED_OUT, reply
    if exchange.status >= 500 or exchange.status in (408, 429):
        return SendOutcome.FAILED, reply
    return SendOutcome.SUCCEEDED, reply


class ReplyRest:
    """
    The rest of a long response, which is streamed.

    Args:
      exchange: The `Exchange`.
      connection: Its `TargetConnection`, which `close` closes.
    """

    def __init__(self, exchange, connection):
        self._exchange = exchange
        self._connection = connection

    async def read(self):
        """Return the next part, b"" at the end, or None for an incomplete response."""
        exchange = self._exchange
        self._connection.resume_reading()
        while not exchange.body and exchange.outcome is None:
            await exchange.wait()
        if exchange.body:
            part = bytes(exchange.body)
            exchange.body.clear()
            return part
        return b"" if exchange.outcome is SendOutcome.SUCCEEDED else None

    def close(self):
        """Close the connection."""
        self._connection.close()
