"""
Odd values in what callers send, and in what other writers leave in the store.
"""

import asyncio
import json

import pytest

from plumsaddle_hosts.edge.stored import TOPIC as SUSPECTS_TOPIC
from plumsaddle_hosts.platform.store import HOSTS_TOPIC

from .trial import OPERATOR, TARGETS, Trial, configuration, in_loop, until
from .worker import WorkerStandin

DEEP = b"[" * 5000 + b"]" * 5000
# More than two pages of a listing.
ENTRIES = 1100


@pytest.mark.parametrize("text", ["²", "٣", "1" * 5000, "-1", "1e3", "nan", " "])
@in_loop
async def test_a_time_limit_that_is_no_number_is_rejected(text):
    """A time limit with a digit outside ASCII raised, and its caller got 500."""
    async with Trial(services=("act",)) as trial:
        status, _, _ = await trial.ask(
            "/act/a", "id-1", "POST", more={"Deadline-Ms": text}
        )
        assert status == 400
        assert not any(worker.runs for worker in trial.workers.values())


def _odd_entries(worker):
    """Return entries that no reader can use, as another writer may leave them."""
    entry = json.loads(worker.entry("ready"))
    deep = json.dumps(entry)[:-1].encode() + b', "more": ' + DEEP + b"}"
    return [
        deep,
        DEEP,
        b"\xff\xfe",
        b"null",
        json.dumps({**entry, "slots": 10**30}).encode(),
        json.dumps({**entry, "slots": -1}).encode(),
        json.dumps({**entry, "warmup_left_ms": 10**30}).encode(),
        json.dumps({**entry, "address": "127.0.0.1:65536"}).encode(),
        json.dumps({**entry, "address": "127.0.0.1:" + "9" * 5000}).encode(),
        json.dumps({**entry, "address": {"a": [[]]}}).encode(),
    ]


@pytest.mark.parametrize("topic", [TARGETS, SUSPECTS_TOPIC, HOSTS_TOPIC])
@in_loop
async def test_odd_entries_on_every_page_do_not_stop_the_readers(topic):
    """One odd entry ended the machines that read the list, or their reader."""
    async with Trial(services=("act",), targets=1, hosts=2) as trial:
        worker = trial.of("act")[0]
        odd = _odd_entries(worker)
        for number in range(ENTRIES):
            trial.store.put(topic, f"odd-{number:04}", odd[number % len(odd)])
        late = await trial.add_host(2)
        await until(lambda: late.knowledge.is_complete)
        joined = WorkerStandin("act-joined", "act", "x")
        await joined.start()
        trial.workers[joined.id] = joined
        trial.register(joined)
        for host in trial.hosts:
            await until(
                lambda host=host: (
                    {"act-0", "act-joined"}
                    == {target.id for target in host.knowledge.registry.usable("act")}
                )
            )
        asked = [
            trial.ask("/act/a", f"id-{number}", "POST", host=number % 3)
            for number in range(12)
        ]
        assert {status for status, _, _ in await asyncio.gather(*asked)} == {200}


def _odd_configuration(version, field, value):
    cfg = json.loads(configuration(version))
    if field == "version":
        cfg["version"] = value
    elif field == "name":
        cfg["resources"][0]["metadata"]["name"] = value
    else:
        cfg["resources"][0]["spec"][field] = value
    return json.dumps(cfg).encode()


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("host", 5),
        ("name", ["act"]),
        ("service", ["act"]),
        ("path_prefix", {}),
        ("traffic_split", []),
        ("traffic_split", [{"service": "act", "weight": -1}]),
        ("max_attempts", -1),
        ("timeout_ms", 10**400),
        ("version", -1),
        ("version", 2**70),
    ],
)
@in_loop
async def test_an_odd_configuration_does_not_stop_the_ones_after_it(field, value):
    """A host that had read it never applied another one, and said it was ready."""
    async with Trial(services=("act",), targets=1) as trial:
        host = trial.hosts[0]
        trial.store.put(OPERATOR, "config", _odd_configuration(2, field, value))
        await asyncio.sleep(0.3)
        assert host.knowledge.cfg.version == 1
        assert (await trial.ask("/act/a", "id-1", "POST"))[0] == 200
        trial.store.put(OPERATOR, "config", configuration(3))
        await until(lambda: host.knowledge.cfg.version == 3)
        assert (await trial.ask("/act/a", "id-2", "POST"))[0] == 200
