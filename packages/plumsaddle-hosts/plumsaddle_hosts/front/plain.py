"""
Requests without a promise beyond a whole answer: idempotent ones and uploads.

An idempotent request whose answer broke off is tried at another target while the
service's retry budget lasts. An upload's bytes are gone once they were passed on, so
it is tried again only as long as none was.
"""

import asyncio

from aiohttp import web
from returns.result import Failure, Success

from plumsaddle_core.core.data import FailureKind, Outcome, RequestKind
from plumsaddle_core.core.reasons import Reason, RetryReason, refuse

from ..back.sender import Outgoing, Progress
from ..back.tries import run_try
from .headers import TIMEOUT, pass_headers

TRIES_MOST = 3
UNSENT_MOST = 40
RETRY_WORDS = {
    FailureKind.CONNECT: RetryReason.CONNECT,
    FailureKind.SHED: RetryReason.SHED,
    FailureKind.BROKEN: RetryReason.BROKEN,
    FailureKind.UNFRAMED: RetryReason.BROKEN,
    FailureKind.STALLED: RetryReason.TIMEOUT,
    FailureKind.OVERDUE: RetryReason.TIMEOUT,
}
REASONS = {
    FailureKind.CONNECT: Reason.NO_TARGET,
    FailureKind.SHED: Reason.TARGETS_SHED,
    FailureKind.BROKEN: Reason.TARGET_FAILED,
    FailureKind.UNFRAMED: Reason.TARGET_FAILED,
    FailureKind.STALLED: Reason.TARGET_STALLED,
    FailureKind.OVERDUE: Reason.TARGET_STALLED,
    FailureKind.DEADLINE: Reason.DEADLINE,
    FailureKind.CALLER: Reason.UPLOAD_BROKEN,
}


def refuse_trouble(trouble, outcome=None):
    """Return the refusal for a trouble that nothing can be done about."""
    if outcome is None:
        outcome = Outcome.NOT_RUN if trouble.is_unsent else Outcome.UNKNOWN
    return refuse(REASONS[trouble.kind], trouble.detail, outcome)


def headers_for_target(incoming, deadline, without=()):
    """Return the headers for a try, with the time that is left."""
    left = max(1, int((deadline - asyncio.get_running_loop().time()) * 1000))
    headers = pass_headers(incoming.headers, {*without, "expect", TIMEOUT.lower()})
    headers[TIMEOUT] = str(left)
    headers.add("Via", "1.1 plumsaddle")
    return headers


async def run_idempotent(host, state, incoming, deadline, kind=RequestKind.IDEMPOTENT):
    """
    Run an idempotent request.

    Args:
      host: The host's parts.
      state: The `ServiceState`.
      incoming: The caller's `aiohttp.web.Request`.
      deadline: On the loop's clock.
      kind: The `RequestKind` of its route.
    Returns:
      A `Success` of an `Answer`, or a `Failure` of a `Refusal`.
    """
    read = await read_body(incoming, state.service.buffer_bytes, deadline)
    if isinstance(read, Failure):
        return read
    body = read.unwrap()
    tried = ()
    unsent = 0
    is_sent = False
    while True:
        slot = await state.room.acquire(kind, deadline, tried)
        if isinstance(slot, Failure):
            return _refuse_late(slot, is_sent)
        member = slot.unwrap()
        outgoing = Outgoing(
            incoming.method,
            incoming.raw_path,
            headers_for_target(incoming, deadline),
            body or None,
            deadline,
            overdue_at=_find_overdue(state, kind, deadline, len(tried)),
        )
        result = await run_try(host, state, member, kind, outgoing)
        if isinstance(result, Success):
            return result
        trouble = result.failure()
        is_sent = is_sent or not trouble.is_unsent
        unsent += trouble.is_unsent
        if trouble.kind is not FailureKind.SHED:
            tried += (member.target.key,)
        if not may_retry(state, trouble, len(tried), unsent):
            outcome = Outcome.UNKNOWN if is_sent else Outcome.NOT_RUN
            return Failure(refuse_trouble(trouble, outcome))
        host.metrics.retries.inc({"reason": RETRY_WORDS[trouble.kind].value})


def _find_overdue(state, kind, deadline, tried):
    """Return when this try is to be given up for the next one, if there is one."""
    if tried + 1 >= min(TRIES_MOST, len(state.pool.members)):
        return None
    now = asyncio.get_running_loop().time()
    return state.overdue_at(kind, now, deadline)


def _refuse_late(slot, is_sent):
    """Return the refusal of the queue; an earlier try may have run."""
    if not is_sent:
        return slot
    return Failure(slot.failure()._replace(outcome=Outcome.UNKNOWN))


def may_retry(state, trouble, tried, unsent):
    """
    Return whether another target may be tried after a trouble.

    What was shed or never connected has cost the service nothing and does not use
    up the budget. Where all targets fail alike, more tries only add to the load.
    """
    if trouble.kind not in RETRY_WORDS or unsent >= UNSENT_MOST:
        return False
    if trouble.kind is FailureKind.SHED:
        return True
    if tried >= TRIES_MOST or state.pool.has_common_failure:
        return False
    return trouble.is_unsent or state.budget.spend()


async def read_body(incoming, most, deadline):
    """
    Read a request's body whole.

    Args:
      incoming: The caller's `aiohttp.web.Request`.
      most: The most bytes to take.
      deadline: On the loop's clock; a caller that sends too slowly is refused.
    Returns:
      A `Success` of bytes, or a `Failure` of a `Refusal`.
    """
    body = bytearray()
    try:
        async with asyncio.timeout_at(deadline):
            async for chunk in incoming.content.iter_chunked(65536):
                body += chunk
                if len(body) > most:
                    return Failure(refuse(Reason.BODY_TOO_LARGE))
    except TimeoutError:
        return Failure(refuse(Reason.DEADLINE, "the request's body took too long"))
    except web.RequestPayloadError as exc:
        return Failure(refuse(Reason.BAD_BODY, str(exc)))
    return Success(bytes(body))


async def run_upload(host, state, incoming, deadline):
    """
    Stream an upload to a target.

    Args:
      host: The host's parts.
      state: The `ServiceState`.
      incoming: The caller's `aiohttp.web.Request`.
      deadline: By when a target must have been found, on the loop's clock. The
        upload itself is bounded by its progress.
    Returns:
      A `Success` of an `Answer`, or a `Failure` of a `Refusal`.
    """
    kind = RequestKind.UPLOAD
    tried = ()
    unsent = 0
    while True:
        slot = await state.room.acquire(kind, deadline, tried)
        if isinstance(slot, Failure):
            return slot
        member = slot.unwrap()
        progress = Progress(state.service.stall_timeout)
        source = UploadSource(incoming, progress)
        headers = headers_for_target(incoming, deadline)
        del headers[TIMEOUT]
        outgoing = Outgoing(
            incoming.method,
            incoming.raw_path,
            headers,
            source.chunks(),
            None,
            state.service.expect_continue,
        )
        result = await run_try(host, state, member, kind, outgoing, progress)
        if isinstance(result, Success):
            return result
        trouble = result.failure()
        unsent += trouble.is_unsent
        if source.is_started:
            return Failure(_refuse_started(trouble, source))
        if trouble.kind is not FailureKind.SHED:
            tried += (member.target.key,)
        if not trouble.is_unsent or not may_retry(state, trouble, len(tried), unsent):
            return Failure(refuse_trouble(trouble))
        host.metrics.retries.inc({"reason": RETRY_WORDS[trouble.kind].value})


def _refuse_started(trouble, source):
    """
    Return the refusal of an upload whose bytes were taken already.

    A target that shed it has not run it, and a target that never got its end can't
    have either; whether it throws the part away is between it and its operators.
    """
    is_not_run = trouble.is_unsent or not source.is_ended
    outcome = Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN
    return refuse_trouble(trouble, outcome)


class UploadSource:
    """
    The bytes of an upload, taken from the caller only when a target wants them.

    Args:
      incoming: The caller's `aiohttp.web.Request`.
      progress: The try's `Progress`.
    """

    def __init__(self, incoming, progress):
        self.is_started = False
        self.is_ended = False
        self._incoming = incoming
        self._progress = progress

    async def chunks(self):
        """
        Yield the body as the target takes it.

        The library asks for the first chunk once the target is connected, and has
        answered `100 Continue` where that is expected. Only then is the caller told
        to go on, so a refusal before costs it nothing.
        """
        await self._invite()
        self.is_started = True
        content = self._incoming.content
        while True:
            self._progress.is_caller_slow = True
            chunk = await content.readany()
            self._progress.is_caller_slow = False
            self._progress.move()
            if not chunk:
                break
            yield chunk
        self.is_ended = True

    async def _invite(self):
        if self._incoming.headers.get("Expect", "").lower() == "100-continue":
            self._incoming.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
