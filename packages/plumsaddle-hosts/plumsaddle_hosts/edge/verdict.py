"""
Classifies the responses of targets and streams the rest of long ones.
"""

from plumsaddle_core.core.traffic import Reply, SendOutcome

from ..platform import wire
from .receipt import Receipt

# Bytes that are written to a caller at once. More would be held twice if it is slow.
MAX_PART = 65536


def classify(exchange):
    """Return the outcome and the `Reply` of an exchange that has ended."""
    if exchange.outcome is not SendOutcome.SUCCEEDED:
        return SendOutcome.BROKEN, None
    return classify_head(exchange, None)


def classify_head(exchange, rest):
    """
    Return the outcome according to status and headers, and the `Reply`.

    The first part of a long response stays where `rest` reads it from.
    """
    body = b""
    if rest is None:
        body = bytes(exchange.body)
        exchange.body.clear()
    reply = Reply(exchange.status, exchange.headers, body, rest)
    return outcome_of_head(exchange), reply


def outcome_of_head(exchange):
    """Return the `SendOutcome` according to status and headers."""
    names = {name.lower() for name, _ in exchange.headers}
    if exchange.status == 421:
        return SendOutcome.WRONG_TARGET
    if wire.NOT_RUN.lower().encode() in names:
        return SendOutcome.NOT_RUN
    if 200 <= exchange.status < 300:
        is_signed = wire.SIGNATURE.lower().encode() in names
        is_plain = b"content-encoding" not in names
        return SendOutcome.SUCCEEDED if is_signed and is_plain else SendOutcome.UNSIGNED
    if exchange.status == 504:
        return SendOutcome.TIMED_OUT
    if exchange.status >= 500 or exchange.status in (408, 429):
        return SendOutcome.FAILED
    return SendOutcome.SUCCEEDED


def response_length(headers):
    """Return the length of a response that its headers state, or None."""
    for name, value in headers:
        if name.lower() == b"content-length" and value.isdigit():
            return int(value)
    return None


def reply_length(reply):
    """Return the number of bytes of a reply's body as far as it is known."""
    if reply.rest is None:
        return len(reply.body)
    return response_length(reply.headers) or reply.rest.held


def exchange_fields(exchange, target):
    """Return what log lines tell of an `Exchange` with the target of an id."""
    cause = exchange.end_cause
    return {"target": target, "end": None if cause is None else cause.value}


class ReplyRest:
    """
    The rest of a long response, which is streamed.

    Args:
      exchange: The `Exchange`.
      connection: Its `TargetConnection`, which `close` closes.
      deadline: When the caller's time is up, in seconds on the host's clock.
      sending: The task that still sends the request's body, or None; `close` ends it.
      target: The id of the target.
      latest_end: Until when it may go on if it arrives; the deadline if None.
    """

    def __init__(
        self,
        exchange,
        connection,
        deadline,
        sending=None,
        target=None,
        latest_end=None,
    ):
        self.deadline = deadline
        self.latest_end = deadline if latest_end is None else latest_end
        self._target = target
        self._sending = sending
        self._exchange = exchange
        self._connection = connection
        self._receipt = Receipt()
        self.when_received = self._receipt.when_received
        exchange.on_end = self._receipt.note

    @property
    def outcome(self):
        """The `SendOutcome` once the response is complete or has failed, or None."""
        return self._exchange.outcome

    @property
    def unread_time(self):
        """The seconds for which the target was not read, as the caller was slow."""
        return self._exchange.unread_time

    @property
    def held(self):
        """The bytes that were received and not read yet."""
        return len(self._exchange.body)

    def log_fields(self):
        """Return what log lines tell of the response."""
        return exchange_fields(self._exchange, self._target)

    async def read(self):
        """Return the next part, b"" at the end, or None for an incomplete response."""
        exchange = self._exchange
        if len(exchange.body) <= MAX_PART:
            self._connection.resume_reading()
        while not exchange.body and exchange.outcome is None:
            await exchange.wait()
        if exchange.body:
            part = bytes(exchange.body[:MAX_PART])
            del exchange.body[:MAX_PART]
            return part
        return b"" if exchange.outcome is SendOutcome.SUCCEEDED else None

    def close(self):
        """Close the connection."""
        if self._sending is not None:
            self._sending.cancel()
        self._connection.close()
        self._receipt.note()
