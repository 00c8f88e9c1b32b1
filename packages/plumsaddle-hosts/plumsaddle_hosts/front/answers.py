"""
The answers that plumsaddle gives by itself: problems after RFC 9457.

Each has a stable type, the reason's own word, what is known of the request's
effect, and the pause after which coming back makes sense.
"""

import json

from aiohttp import web

from plumsaddle_core.core.reasons import PROBLEMS

from .headers import OUTCOME, REASON

TYPE_PREFIX = "urn:plumsaddle:problem:"


def make_problem(refusal):
    """
    Return the response for a refusal.

    Args:
      refusal: A `Refusal`.
    Returns:
      An `aiohttp.web.Response`.
    """
    shape = PROBLEMS[refusal.reason]
    body = {
        "type": TYPE_PREFIX + refusal.reason.value,
        "title": shape.title,
        "status": shape.status,
        "outcome": refusal.outcome.value,
    }
    if refusal.detail:
        body["detail"] = refusal.detail
    headers = {REASON: refusal.reason.value, OUTCOME: refusal.outcome.value}
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(refusal.retry_after)
    return web.Response(
        body=json.dumps(body).encode(),
        status=shape.status,
        headers=headers,
        content_type="application/problem+json",
    )
