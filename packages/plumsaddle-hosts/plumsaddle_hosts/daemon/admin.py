"""
The operators' listener: liveness, readiness, metrics, status and explanations.

Nobody reaches these through the callers' listener.
"""

import asyncio
import json

from aiohttp import web

from plumsaddle_core.ops.orders import ClaimState


def make_admin(host):
    """
    Return the application of the operators' listener.

    Args:
      host: The host's parts.
    Returns:
      An `aiohttp.web.Application`.
    """

    async def live(req):
        return web.Response(text="live\n")

    async def ready(req):
        reason = host.not_ready_reason()
        if reason is None:
            return web.Response(text="ready\n")
        return web.Response(status=503, text=f"not ready: {reason}\n")

    async def metrics(req):
        content, headers = host.metrics.render(req.headers.get("Accept"))
        return web.Response(body=content, headers=headers)

    async def status(req):
        return _as_json(describe_status(host))

    async def explain(req):
        found = explain_target(host, req.match_info["target"])
        return _as_json(found, 200 if found else 404)

    async def orders(req):
        return _as_json(describe_orders(host, req.query.get("key")))

    app = web.Application()
    app.router.add_get("/live", live)
    app.router.add_get("/ready", ready)
    app.router.add_get("/metrics", metrics)
    app.router.add_get("/status", status)
    app.router.add_get("/explain/{target}", explain)
    app.router.add_get("/orders", orders)
    return app


def _as_json(value, status=200):
    return web.Response(
        status=status,
        text=json.dumps(value, indent=2) + "\n",
        content_type="application/json",
    )


def describe_status(host):
    """Return what `plumsaddle status` shows of one host."""
    now = asyncio.get_running_loop().time()
    return {
        "host": host.settings.id,
        "incarnation": host.incarnation,
        "data_centre": host.settings.data_centre,
        "version": host.applied.number if host.applied else 0,
        "version_id": host.applied.id if host.applied else "",
        "unusable": host.unusable,
        "not_ready": host.not_ready_reason(),
        "in_flight": host.in_flight,
        "config_log": _describe_tail(host.config_tail, host.versions),
        "orders_log": [
            {**_describe_tail(s.tail, s.fold), "appends_away": s.batcher.is_unavailable}
            for s in host.shards
        ],
        "appends": sum(shard.batcher.appends for shard in host.shards),
        "append_bytes": sum(shard.batcher.bytes for shard in host.shards),
        "members": [
            {
                "id": row.id,
                "data_centre": row.data_centre,
                "version": row.version,
                "leaving": row.is_leaving,
                "suspects_itself": row.is_suspect_itself,
            }
            for row in sorted(host.members.alive(now))
        ],
        "services": {
            name: _describe_service(state, now) for name, state in host.services.items()
        },
    }


def _describe_tail(tail, fold):
    return {
        "stream": tail.stream,
        "away": tail.is_unavailable,
        "complete": fold.complete,
        "next_offset": fold.next_offset,
    }


def _describe_service(state, now):
    return {
        "floor": state.service.floor,
        "fails_alike": state.pool.has_common_failure,
        "targets": {
            member.target.id: {
                "standing": member.health.value,
                "avoided": member.is_avoided,
                "in_flight": member.in_flight,
                "score": round(state.evidence.score(key, now).total, 2),
            }
            for key, member in state.pool.members.items()
        },
    }


def explain_target(host, name):
    """Return why a target is in or out and who saw what, or None."""
    now = asyncio.get_running_loop().time()
    for state in host.services.values():
        for key, member in state.pool.members.items():
            if member.target.id == name:
                return _explain(host, state, key, member, now)
    return None


def _explain(host, state, key, member, now):
    view = state.evidence.views.get(key)
    score = state.evidence.score(key, now)
    seen = view.counts.items() if view else ()
    return {
        "host": host.settings.id,
        "target": member.target.id,
        "address": member.target.address,
        "service": state.service.name,
        "standing": member.health.value,
        "why": member.reason or "nothing was held against it",
        "avoided_by_this_host": member.is_avoided,
        "back_off_left": round(max(0.0, member.ejected_until - now), 1),
        "ejections": member.ejections,
        "score": score._asdict(),
        "service_fails_alike": state.pool.has_common_failure,
        "seen_by": {
            reporter: {
                **counts._asdict(),
                "failure_part": round(view.failures.by_reporter.get(reporter, 0.0), 2),
                "slowness_part": round(view.slowness.by_reporter.get(reporter, 0.0), 2),
                "seconds_ago": round(now - view.changed_at[reporter], 1),
            }
            for reporter, counts in seen
        },
    }


def describe_orders(host, label):
    """Return the orders without an outcome, or the one that a caller's key names."""
    found = []
    for shard in host.shards:
        for entry in shard.fold.state.entries.values():
            is_open = entry.state in (ClaimState.CLAIMED, ClaimState.UNKNOWN)
            if entry.label == label if label else is_open:
                found.append(
                    {
                        "key": entry.label,
                        "hash": entry.key,
                        "stream": shard.stream,
                        "claim": entry.claim_id,
                        "host": entry.host,
                        "state": entry.state.value,
                        "status": entry.status,
                        "detail": entry.detail,
                    }
                )
    return {"complete": all(s.fold.complete for s in host.shards), "orders": found}
