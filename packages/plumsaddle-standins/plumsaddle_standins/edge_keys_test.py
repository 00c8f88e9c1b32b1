"""
Requests that bear the key of a workspace.
"""

import asyncio
import logging

import pytest
from returns.result import Failure

from plumsaddle_hosts.edge import feed
from plumsaddle_hosts.platform.store import StoreError

from .store import Fault
from .trial import OPERATOR, Trial, configuration, in_loop, until

KEYS = {"notary": ["key-1", "key-2"], "clerk": ["key-3"]}


def _publish(trial, version, workspaces=None, **options):
    text = configuration(version, workspaces=workspaces or KEYS, **options)
    trial.store.put(OPERATOR, "config", text)


async def _in_force(trial, version):
    await until(lambda: all(h.knowledge.cfg.version == version for h in trial.hosts))


async def _publish_and_wait(trial, version, workspaces=None, **options):
    _publish(trial, version, workspaces, **options)
    await _in_force(trial, version)


def _seen(trial):
    return {seen.id: seen for worker in trial.every_worker for seen in worker.seen}


@in_loop
async def test_a_target_is_told_the_workspace_and_never_the_key():
    """
    A target acts for another workspace, or with a key that it was shown.

    The caller names a workspace of its own in the header that targets trust, in another
    case, and names that header in Connection so that a hop may drop it.
    """
    forged = [
        {"Tenant": "clerk"},
        {"tENANT": "clerk"},
        {"Tenant": "clerk", "Connection": "Tenant, Authorization"},
    ]
    async with Trial(services=("look", "act")) as trial:
        await _publish_and_wait(trial, 2)
        for number, more in enumerate(forged):
            for path, method in (("/look/a", "GET"), ("/act/a", "POST")):
                request_id = f"{path}-{number}"
                status, _, _ = await trial.ask(
                    path, request_id, method, key="key-2", more=more
                )
                assert status == 200
                headers = _seen(trial)[request_id].headers
                assert headers["tenant"] == "notary"
                assert "authorization" not in headers


@pytest.mark.parametrize(
    "more",
    [
        {},
        {"Authorization": "Bearer key-9"},
        {"Authorization": "Basic key-1"},
        {"Authorization": "key-1"},
    ],
)
@in_loop
async def test_a_request_without_a_known_key_is_refused_and_not_run(more):
    """A stranger reads the files of a utility's customers."""
    async with Trial(services=("look",)) as trial:
        await _publish_and_wait(trial, 2)
        status, headers, _ = await trial.ask("/look/a", "id-1", more=more)
        assert status == 401
        assert headers["WWW-Authenticate"] == "Bearer"
        assert not _seen(trial)


@in_loop
async def test_two_keys_in_one_request_are_none():
    """A host goes by the first of two keys, and a target by the second."""
    async with Trial(services=("look",)) as trial:
        await _publish_and_wait(trial, 2)
        reader, writer = await asyncio.open_connection(
            *trial.hosts[0].settings.caller_address.split(":")
        )
        writer.write(
            b"GET /look/a HTTP/1.1\r\nHost: records.example\r\nRequest-Id: id-1\r\n"
            b"Authorization: Bearer key-1\r\nAuthorization: Bearer key-3\r\n\r\n"
        )
        assert b" 401 " in await reader.readline()
        writer.close()
        assert not _seen(trial)


@pytest.mark.parametrize(
    "key, name", [(None, None), ("key-9", None), ("key-3", "clerk")]
)
@in_loop
async def test_a_public_route_needs_no_key(key, name):
    """
    A catalogue that is open to all is refused to whoever shows an outdated key.

    A key that is shown and known still says for whom the target works; none is passed.
    """
    async with Trial(services=("look",)) as trial:
        await _publish_and_wait(trial, 2, public=("/look/",))
        status, _, _ = await trial.ask(
            "/look/a", "id-1", key=key, more={"Tenant": "notary"}
        )
        assert status == 200
        headers = _seen(trial)["id-1"].headers
        assert headers.get("tenant") == name
        assert "authorization" not in headers


@in_loop
async def test_a_version_that_comes_while_a_body_is_read_passes_no_key_on():
    """
    A target is shown the key of a long upload.

    A version without workspaces came into force between its head and its last byte, so
    the headers went on as they were.
    """
    async with Trial(services=("up",)) as trial:
        await _publish_and_wait(trial, 2)

        async def parts():
            yield b"x" * 100
            trial.store.put(OPERATOR, "config", configuration(3))
            await _in_force(trial, 3)
            yield b"y" * 100

        status, _, _ = await trial.ask("/up/a", "id-1", "POST", parts(), key="key-1")
        headers = _seen(trial)["id-1"].headers
        assert status == 200
        assert headers["tenant"] == "notary"
        assert "authorization" not in headers


@in_loop
async def test_without_workspaces_headers_pass_as_they_are():
    async with Trial(services=("look",)) as trial:
        await trial.ask("/look/a", "id-1", key="key-1", more={"Tenant": "mine"})
        headers = _seen(trial)["id-1"].headers
        assert (headers["authorization"], headers["tenant"]) == ("Bearer key-1", "mine")


@in_loop
async def test_a_key_that_was_taken_away_opens_nothing_on_a_kept_connection():
    """
    A leaked key is taken away, and whoever has it reads on.

    The connection was opened with the key in force and is kept for minutes. The key of
    another workspace and the other key of the same one stay in force throughout.
    """
    async with Trial(services=("look",), hosts=3) as trial:
        await _publish_and_wait(trial, 2)
        for host in range(3):
            status, _, _ = await trial.ask("/look/a", "id-1", host=host, key="key-1")
            assert status == 200
        await _publish_and_wait(trial, 3, {"notary": ["key-2"], "clerk": ["key-3"]})
        for host in range(3):
            answers = [
                (await trial.ask("/look/a", f"id-{key}", host=host, key=key))[0]
                for key in ("key-1", "key-2", "key-3")
            ]
            assert answers == [401, 200, 200]


@in_loop
async def test_a_key_that_moves_to_another_workspace_acts_for_that_one():
    async with Trial(services=("look",)) as trial:
        await _publish_and_wait(trial, 2)
        await _publish_and_wait(trial, 3, {"notary": ["key-2"], "clerk": ["key-1"]})
        await trial.ask("/look/a", "id-1", key="key-1")
        assert _seen(trial)["id-1"].headers["tenant"] == "clerk"


@in_loop
async def test_versions_in_quick_succession_end_with_the_last_one():
    """
    A key is taken away, given back and taken away again, and stays in force.

    The hosts rest after a page with changes and take the next few together.
    """
    async with Trial(services=("look",), hosts=2) as trial:
        await _publish_and_wait(trial, 2)
        for version in range(3, 9):
            _publish(
                trial, version, {"notary": ["key-1"] if version % 2 else ["key-2"]}
            )
            await asyncio.sleep(0.05)
        await _in_force(trial, 8)
        for host in range(2):
            status, _, _ = await trial.ask("/look/a", "id-1", host=host, key="key-1")
            assert status == 401


@in_loop
async def test_a_host_that_cannot_know_calls_no_key_unknown(monkeypatch):
    """
    An archivist with a new key is turned away for good.

    The store was down when the key was given, so the host did not know it, said 401,
    and nobody comes again after a 401. It may say so only when it knows what the store
    says; else it asks the caller to come again. Keys that it knows are served on.
    """
    monkeypatch.setattr(feed, "MAX_RETRY_DELAY", 0.2)
    async with Trial(services=("look",), apply=0.6) as trial:
        await _publish_and_wait(trial, 2)
        trial.store.fault = Fault.BUSY
        await asyncio.sleep(2.0)
        status, headers, _ = await trial.ask("/look/a", "id-1", key="key-9")
        assert status == 503
        assert 0 < float(headers["Retry-After"]) < 1
        status, _, _ = await trial.ask("/look/a", "id-2", key="key-1")
        assert status == 200
        # No key at all is no new key.
        status, _, _ = await trial.ask("/look/a", "id-3")
        assert status == 401
        _publish(trial, 3, {**KEYS, "artist": ["key-9"]})
        trial.store.fault = Fault.NONE
        await _in_force(trial, 3)
        status, _, _ = await trial.ask("/look/a", "id-4", key="key-9")
        assert status == 200
        assert "id-1" not in _seen(trial)


@in_loop
async def test_a_key_taken_away_while_the_store_was_down_is_out_at_its_return():
    """A leaked key opens files for as long as nobody lists the configuration anew."""
    async with Trial(services=("look",), hosts=2) as trial:
        await _publish_and_wait(trial, 2)
        trial.store.fault = Fault.BUSY
        await asyncio.sleep(0.5)
        _publish(trial, 3, {"notary": ["key-2"]})
        # The records that said so are deleted before any host has read them.
        trial.store.keep = 1
        for worker in trial.workers.values():
            trial.register(worker)
        trial.store.fault = Fault.NONE
        await _in_force(trial, 3)
        for host in range(2):
            status, _, _ = await trial.ask("/look/a", "id-1", host=host, key="key-1")
            assert status == 401


async def _turn_away(*args):
    return Failure(StoreError.BUSY)


@pytest.mark.parametrize("is_store_lost", [True, False])
@in_loop
async def test_a_host_that_lost_one_way_to_know_learns_of_keys_by_the_other(
    is_store_lost,
):
    """
    A leaked key opens files at one host of the fleet for as long as that is cut off.

    The store turns this host away, and it hears of the version from the others; or it
    hears none of the others, and asks the store itself.
    """
    async with Trial(services=("look",), hosts=4) as trial:
        await _publish_and_wait(trial, 2)
        await until(
            lambda: sum(host.store_access.is_reader for host in trial.hosts) == 2
        )
        await asyncio.sleep(feed.MAX_READ_WAIT + feed.PAUSE_AFTER_PAGE)
        number = next(
            n for n, host in enumerate(trial.hosts) if not host.store_access.is_reader
        )
        host = trial.hosts[number]
        if is_store_lost:
            host.store.read = host.store.list_newest = _turn_away
        else:
            host.peers.close()
        _publish(trial, 3, {"notary": ["key-2"]})
        await asyncio.sleep(host.settings.bounds.apply)
        answers = [
            (await trial.ask("/look/a", f"id-{key}", host=number, key=key))[0]
            for key in ("key-1", "key-2")
        ]
        assert answers == [401, 200]


@in_loop
async def test_a_host_that_starts_knows_only_the_keys_in_force():
    async with Trial(services=("look",)) as trial:
        await _publish_and_wait(trial, 2)
        await _publish_and_wait(trial, 3, {"notary": ["key-2"]})
        host = await trial.add_host(1)
        await until(lambda: host.knowledge.is_complete)
        answers = [
            (await trial.ask("/look/a", "id-1", host=1, key=key))[0]
            for key in ("key-1", "key-2")
        ]
        assert answers == [401, 200]


@in_loop
async def test_no_log_line_holds_a_key(caplog):
    """A key that was refused, or served, can be read in a log."""
    caplog.set_level(logging.DEBUG)
    async with Trial(services=("look",)) as trial:
        await _publish_and_wait(
            trial, 2, {"notary": ["secret-1"], "clerk": ["secret-1"]}
        )
        for key in ("secret-1", "secret-9"):
            await trial.ask("/look/a", "id-1", key=key)
        text = " ".join(str(vars(record)) for record in caplog.records)
        assert "secret" not in text
        refused = [
            r for r in caplog.records if getattr(r, "cause", "") == "unknown-key"
        ]
        assert [len(record.key) for record in refused] == [8, 8]
