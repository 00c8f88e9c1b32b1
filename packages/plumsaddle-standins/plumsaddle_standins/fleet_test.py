"""
The main stories with real processes: kills, freezes, cuts and outages.

One small fleet serves all tests of this module; each test uses keys and targets of
its own or puts back what it switched. Tests wait for conditions, not for durations.
"""

import concurrent.futures
import http.client
import json
import os
import random
import signal
import socket
import threading
import time
import urllib.error
import urllib.request

import pytest

from plumsaddle_core.ops.slot_allocator import choose_allocator

from .demo import make_key
from .fleet import TRIAL, Fleet, call, wait_for

RNG = random.Random(5)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    fleet = Fleet(tmp_path_factory.mktemp("fleet"), TRIAL)
    try:
        fleet.start(hosts=3, level="debug")
        for target in fleet.targets:
            # A long piece of work by chance would pass a deadline now and then.
            fleet.control(target, fixed=True)
        yield fleet
    finally:
        fleet.stop()


class Reply:
    """A response with its body, or the error that stood in its place."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def outcome(self):
        return self.headers.get("Plumsaddle-Outcome")

    @property
    def reason(self):
        return self.headers.get("Plumsaddle-Reason")


def ask(entry, method, path, body=None, timeout=20.0, **headers):
    """Send one request to an entry host."""
    url = entry.callers + path
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    req = urllib.request.Request(url, data=body, method=method, headers=named)
    try:
        with urllib.request.urlopen(req, timeout=timeout) as resp:
            return Reply(resp.status, resp.headers, resp.read())
    except urllib.error.HTTPError as exc:
        return Reply(exc.code, exc.headers, exc.read())


def order(entry, key, body=b"destroy 7", **headers):
    return ask(entry, "POST", "/act/x", body, Idempotency_Key=key, **headers)


def start(work, *args):
    """Run a function in a thread and return its future."""
    fut = concurrent.futures.Future()

    def run():
        try:
            fut.set_result(work(*args))
        except Exception as exc:
            fut.set_exception(exc)

    threading.Thread(target=run, daemon=True).start()
    return fut


def replace_entry(fleet, entry):
    """Start a host in the place of one that a test has ended."""
    fresh = fleet.start_host(level="debug")
    fleet.wait_ready(fresh)
    fleet.entries.remove(entry)
    fleet.write_settings()
    return fresh


def wait_run(fleet, key):
    """Wait until a target has begun to run an order."""
    wait_for(lambda: fleet.runs().get(key), "the order to run", 10)


def test_lookup_and_replayed_order(fleet):
    reply = ask(fleet.entries[0], "GET", "/look/a?b=c")
    assert (reply.status, reply.outcome) == (200, "run")
    assert json.loads(reply.body)["path"] == "/look/a?b=c"
    key = make_key(RNG)
    first = order(fleet.entries[0], key)
    again = wait_for(
        lambda: (r := order(fleet.entries[1], key)).status == 200 and r, "the replay"
    )
    assert again.headers["Plumsaddle-Replayed"] == "true"
    assert again.body == first.body
    assert fleet.runs()[key] == 1
    assert order(fleet.entries[2], key, b"other").reason == "key-reused"


def test_same_key_through_all_hosts_at_once(fleet):
    """
    A caller's client sends an order through three hosts at once.

    Each host claims the key; only the first in the log may send.
    """
    for _ in range(5):
        key = make_key(RNG)
        futs = [start(order, entry, key) for entry in fleet.entries]
        replies = [fut.result(20) for fut in futs]
        assert [r.status for r in replies].count(200) >= 1
        assert {r.reason for r in replies} <= {None, "order-running"}
        assert fleet.runs()[key] == 1


def test_killed_claimant_leaves_an_unknown_order_that_is_settled(fleet):
    """
    A caller's connection breaks while its order is under way.

    The host that sent it is killed with SIGKILL. Another host must not run it
    again, must say "unknown" at once, and an operator settles it.
    """
    for target in ("act-1", "act-2"):
        fleet.control(target, mean=30.0)
    key = make_key(RNG)
    entry = fleet.entries[1]
    fut = start(order, entry, key)
    wait_run(fleet, key)
    entry.process.kill()
    with pytest.raises((http.client.HTTPException, OSError)):
        fut.result(10)
    for target in ("act-1", "act-2"):
        fleet.control(target, mean=0.02)
    other = fleet.entries[0]
    began = time.monotonic()
    reply = order(other, key)
    assert time.monotonic() - began < 1.0
    assert (reply.status, reply.outcome) == (409, "unknown")
    replace_entry(fleet, entry)
    wait_for(lambda: order(other, key).reason == "order-unknown", "the claimant's end")
    assert key in fleet.command("orders", "list").stdout
    refused = fleet.command("orders", "settle", key, "not-run")
    assert refused.returncode == 2
    settled = fleet.command("orders", "settle", key, "run")
    assert settled.returncode == 0, settled.stderr
    assert order(other, key).outcome == "run"
    assert fleet.runs()[key] == 1


def test_frozen_claimant_sends_nothing_after_its_deadline(fleet):
    """
    An order is refused, and runs ten minutes later all the same.

    Its host freezes while its claim is on the way to the log, is given up on by
    everybody, and thaws. Its deadline has passed by then, so it must not send.
    """
    fleet.switch(delay=0.5)
    entry = fleet.entries[0]
    key = make_key(RNG)
    fut = start(lambda: order(entry, key, X_Request_Timeout_Ms="1500"))
    status = f"{entry.operators}/status"
    # From here on the claim's append takes half a second.
    wait_for(lambda: call(status)["in_flight"], "the order to be in")
    os.kill(entry.process.pid, signal.SIGSTOP)
    time.sleep(2.0)  # The deadline passes while the host is frozen.
    os.kill(entry.process.pid, signal.SIGCONT)
    reply = fut.result(20)
    fleet.switch(delay=0.0)
    assert (reply.status >= 500, reply.outcome) == (True, "not-run")
    assert key not in fleet.runs()
    other = fleet.entries[1]
    wait_for(lambda: order(other, key).status == 200, "the key to be free")
    assert fleet.runs()[key] == 1


def test_order_with_the_log_out_is_refused_at_once(fleet):
    """
    A caller waits half a minute to hear that its order can't be run.

    The platform's log does not answer. The host must say "not run" as soon as it
    gives up, with a time to come back, and must not run it later.
    """
    fleet.switch(fault="out")
    key = make_key(RNG)
    try:
        began = time.monotonic()
        replies = [order(fleet.entries[0], key) for _ in range(3)]
        took = time.monotonic() - began
        look = ask(fleet.entries[0], "GET", "/look/x")
    finally:
        fleet.switch(fault="none")
    assert {(r.reason, r.outcome) for r in replies} == {("log-away", "not-run")}
    assert replies[0].headers["Retry-After"]
    assert took < 5.0
    assert look.status == 200
    assert key not in fleet.runs()
    wait_for(lambda: order(fleet.entries[0], key).status == 200, "the log to be back")
    assert fleet.runs()[key] == 1


def test_orders_run_once_while_answers_of_appends_are_lost(fleet):
    """
    An order runs twice because its claim was appended twice.

    Every append takes effect, and every answer to one is lost.
    """
    fleet.switch(fault="lost")
    keys = [make_key(RNG) for _ in range(8)]
    try:
        replies = [order(fleet.entries[0], key) for key in keys]
    finally:
        fleet.switch(fault="none")
    runs = fleet.runs()
    for key, reply in zip(keys, replies, strict=True):
        assert runs.get(key, 0) == (1 if reply.status == 200 else 0)
    assert {reply.outcome for reply in replies} <= {"run", "not-run"}
    assert any(reply.status == 200 for reply in replies)


@pytest.mark.parametrize("mode", ["errors", "half", "late", "unframed", "stall"])
def test_lookups_are_whole_beside_a_gray_target(fleet, mode):
    """
    A clerk gets half a file, or somebody else's.

    One target fails in its own way; its answers must be tried again elsewhere.
    """
    fleet.control("look-1", mode=mode)
    try:
        entry = fleet.entries[-1]
        for number in range(25):
            name = f"{mode}-{number}"
            reply = ask(entry, "GET", "/look/x", X_Request_Id=name)
            if reply.status == 200:
                assert json.loads(reply.body)["echo"] == name
            else:
                assert mode == "errors" or reply.reason, reply.body
    finally:
        fleet.control("look-1", mode="good")


def test_long_answer_that_breaks_off_cuts_the_caller(fleet):
    """
    A notary saves half a file and takes it for the whole.

    The answer is longer than the host holds back, so its head is out already when
    the target breaks off. The connection must be cut, not ended.
    """
    for target in ("look-1", "look-2", "look-3"):
        fleet.control(target, mode="half")
    try:
        with pytest.raises((http.client.HTTPException, OSError)):
            ask(fleet.entries[0], "GET", "/look/x?padding=400000")
    finally:
        for target in ("look-1", "look-2", "look-3"):
            fleet.control(target, mode="good")


def test_downloads_are_whole_or_cut_and_free_their_slots(fleet):
    """Guards against cut downloads that look whole, and slots kept by slow readers."""
    entry = fleet.entries[0]
    reply = ask(entry, "GET", "/file/x?padding=900000")
    assert len(json.loads(reply.body)["padding"]) == 900000
    ip, port = entry.callers.removeprefix("http://").split(":")
    with socket.socket() as stalled:
        stalled.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        stalled.connect((ip, int(port)))
        stalled.sendall(b"GET /file/x?padding=9000000 HTTP/1.1\r\nHost: x\r\n\r\n")
        wait_for(lambda: _held_bytes(entry) > 1_000_000, "the host to hold bytes")
        assert _held_bytes(entry) < 50_000_000 / 8
        for target in ("look-1", "look-2", "look-3"):
            fleet.control(target, mode="half")
        try:
            with pytest.raises((http.client.HTTPException, OSError)):
                ask(entry, "GET", "/file/x?padding=900000")
        finally:
            for target in ("look-1", "look-2", "look-3"):
                fleet.control(target, mode="good")
    wait_for(lambda: _held_bytes(entry) == 0, "the host to release what it held")


def _held_bytes(entry):
    """Return how many bytes a host holds of large responses."""
    with urllib.request.urlopen(f"{entry.operators}/metrics", timeout=5.0) as resp:
        lines = resp.read().decode().splitlines()
    line = next(line for line in lines if "held_bytes{" in line)
    return float(line.rsplit(" ", 1)[1])


def send_slowly(entry, size, pieces, pause, on_half):
    """Upload with a pause between pieces and return the status and body."""
    ip, port = entry.callers.removeprefix("http://").split(":")
    conn = http.client.HTTPConnection(ip, int(port), timeout=30)
    conn.putrequest("PUT", "/load/scan")
    conn.putheader("Content-Length", str(size))
    conn.endheaders()
    for number in range(pieces):
        conn.send(b"s" * (size // pieces))
        if number == pieces // 2:
            on_half()
        time.sleep(pause)
    resp = conn.getresponse()
    return resp.status, json.loads(resp.read())


def test_sigterm_in_the_middle_of_an_upload_cuts_nothing(fleet):
    """
    A field team's upload breaks off because a host is replaced.

    The host gets SIGTERM while an upload is half way; it must finish and then go.
    """
    entry = fleet.start_host()
    fleet.wait_ready(entry)
    status, body = send_slowly(entry, 4_000_000, 20, 0.1, entry.process.terminate)
    fleet.entries.remove(entry)
    assert (status, body["size"]) == (200, 4_000_000)
    assert entry.process.wait(20) == 0


def test_stop_closes_the_door_but_answers_what_is_in(fleet):
    """
    A look-up is cut when its host stops, or the host never stops.

    The library by itself cuts what is in flight after its own time.
    """
    entry = fleet.start_host(leave_wait=0.2)
    fleet.wait_ready(entry)
    for target in ("look-1", "look-2", "look-3"):
        fleet.control(target, mean=2.0)
    try:
        futs = [start(ask, entry, "GET", "/look/x") for _ in range(4)]
        status = f"{entry.operators}/status"
        wait_for(lambda: call(status)["in_flight"] == 4, "4 in flight")
        entry.process.terminate()
        replies = [fut.result(30) for fut in futs]
    finally:
        for target in ("look-1", "look-2", "look-3"):
            fleet.control(target, mean=0.02)
        fleet.entries.remove(entry)
    assert {reply.status for reply in replies} == {200}
    assert entry.process.wait(30) == 0


def test_upload_that_its_caller_cuts_does_not_look_whole(fleet):
    """
    A half upload is filed as a whole one.

    The caller's connection ends half way; the target must see a cut, not an end.
    """
    entry = fleet.entries[0]
    before = fleet.look("load-1")["served"]
    ip, port = entry.callers.removeprefix("http://").split(":")
    sock = socket.create_connection((ip, int(port)))
    sock.sendall(
        b"PUT /load/scan HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"5\r\nhalf.\r\n"
    )
    wait_for(lambda: fleet.look("load-1")["busy"], "the half to reach the target")
    sock.close()
    reply = ask(entry, "PUT", "/load/x", b"whole")
    assert json.loads(reply.body)["size"] == 5
    assert fleet.look("load-1")["served"] == before + 1


def test_leaving_target_gets_no_new_work(fleet):
    """
    A target that is being drained still gets look-ups.

    It says itself that it is draining, in its answers; every host must know soon.
    """
    fleet.control("look-2", state="draining")
    try:
        served = fleet.look("look-2")["served"]
        wait_for(
            lambda: (
                ask(fleet.entries[0], "GET", "/look/x")
                and fleet.look("look-2")["served"] > served
            ),
            "the target's own word",
        )

        def is_left_everywhere():
            return all(
                call(f"{e.operators}/explain/look-2")["standing"] == "leaving"
                for e in fleet.entries
            )

        wait_for(is_left_everywhere, "every host to know", 3.0)
        served = fleet.look("look-2")["served"]
        for entry in fleet.entries:
            for _ in range(5):
                assert ask(entry, "GET", "/look/x").status == 200
        assert fleet.look("look-2")["served"] == served
    finally:
        fleet.control("look-2", state="live")


def test_publish_race_has_one_winner_and_a_true_refusal(fleet):
    """
    Two operators publish at once, and both are told that they won.
    """
    base = call(f"{fleet.entries[0].operators}/status")["version"]
    texts = [fleet.text.replace("deadline = 10.0", f"deadline = {n}.0") for n in (8, 9)]
    paths = []
    for number, text in enumerate(texts):
        paths.append(fleet.folder / f"race-{number}.toml")
        paths[-1].write_text(text)
    futs = [
        start(fleet.command, "publish", path, f"--base={base}", "--note=race")
        for path in paths
    ]
    done = sorted((fut.result(60) for fut in futs), key=lambda p: p.returncode)
    assert [p.returncode for p in done] == [0, 3]
    assert f"Version {base + 1} is accepted" in done[0].stdout
    assert f"version {base + 1}" in done[1].stderr
    rolled = fleet.command("rollback", base)
    assert rolled.returncode == 0, rolled.stderr


def test_publish_under_load_breaks_no_answer(fleet):
    """
    Callers get errors whenever operators publish a new version.
    """
    stop = threading.Event()

    def load(entry):
        statuses = set()
        while not stop.is_set():
            statuses.add(ask(entry, "GET", "/look/x").status)
        return statuses

    futs = [start(load, entry) for entry in fleet.entries]
    try:
        for seconds in (11, 12, 10):
            text = fleet.text.replace("deadline = 10.0", f"deadline = {seconds}.0")
            published = fleet.publish(text)
            assert published.returncode == 0, published.stderr + published.stdout
    finally:
        stop.set()
    assert [fut.result(20) for fut in futs] == [{200}] * len(fleet.entries)


def test_host_born_in_an_outage_starts_from_its_peers(fleet):
    """
    A replaced host stays out for as long as the platform is away.
    """
    fleet.switch(fault="out")
    try:
        entry = fleet.start_host()
        fleet.wait_ready(entry)
        assert ask(entry, "GET", "/look/x").status == 200
        assert order(entry, make_key(RNG)).outcome == "not-run"
    finally:
        fleet.switch(fault="none")
    entry.process.terminate()
    fleet.entries.remove(entry)
    assert entry.process.wait(20) == 0
    # Hosts go on refusing orders, truly, until they have found the log back.
    for host in fleet.entries:
        wait_for(
            lambda host=host: order(host, make_key(RNG)).status == 200,
            "orders to be taken again",
        )


def leave_early(entry, method, path, wait, **headers):
    """Send a request, wait for a condition, and go away without the answer."""
    ip, port = entry.callers.removeprefix("http://").split(":")
    conn = http.client.HTTPConnection(ip, int(port), timeout=30)
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    conn.request(method, path, headers=named)
    try:
        wait()
    except TimeoutError as exc:
        resp = conn.getresponse()
        raise TimeoutError(f"{exc}; answered {resp.status} {resp.read()}") from exc
    conn.close()


def test_order_goes_on_when_its_caller_leaves(fleet):
    """
    An archivist closes the browser while a destruction order runs.

    The order has been sent already. Its outcome must be recorded all the same, so
    that whoever asks again with the key gets the answer and nothing runs twice.
    """
    key = make_key(RNG)
    for target in ("act-1", "act-2"):
        fleet.control(target, mean=1.0)
    entry = fleet.entries[0]
    leave_early(
        entry, "POST", "/act/x", lambda: wait_run(fleet, key), Idempotency_Key=key
    )
    for target in ("act-1", "act-2"):
        fleet.control(target, mean=0.02)
    other = fleet.entries[1]
    reply = wait_for(
        lambda: (r := order(other, key, None)).status == 200 and r, "the outcome", 15
    )
    assert reply.headers["Plumsaddle-Replayed"] == "true"
    assert fleet.runs()[key] == 1


def test_lookup_is_cancelled_when_its_caller_leaves(fleet):
    """
    Slots stay busy with answers that nobody waits for any more.
    """
    names = ("look-1", "look-2", "look-3")
    before = sum(fleet.look(name)["cancelled"] for name in names)
    for name in names:
        fleet.control(name, mean=60.0)
    entry = fleet.entries[0]

    def is_at_target():
        return any(fleet.look(name)["busy"] for name in names)

    leave_early(entry, "GET", "/look/x", lambda: wait_for(is_at_target, "the try"))
    try:
        wait_for(
            lambda: sum(fleet.look(name)["cancelled"] for name in names) > before,
            "the target to be told",
        )
    finally:
        for name in names:
            fleet.control(name, mean=0.02)


def test_listed_leaving_target_gets_no_new_work(fleet):
    """
    A worker that the platform lists as leaving still gets look-ups.
    """
    address = fleet.targets["look-3"].removeprefix("http://")
    row = {"id": "look-3", "address": address, "role": "target", "state": "leaving"}
    fleet.switch(hosts=[row])

    def is_left_everywhere():
        return all(
            call(f"{e.operators}/explain/look-3")["standing"] == "leaving"
            for e in fleet.entries
        )

    wait_for(is_left_everywhere, "every host to know", 3.0)
    fleet.switch(hosts=[{**row, "state": "live"}])


def test_stalled_upload_is_refused_truthfully(fleet):
    """
    A field team's upload hangs for ever, or is filed without its answer.

    The target takes the bytes and then says nothing. The host gives up after the
    service's stall bound and can't say whether the upload was filed.
    """
    fleet.control("load-1", mode="silent")
    try:
        reply = ask(fleet.entries[0], "PUT", "/load/x", b"scan" * 1000)
    finally:
        fleet.control("load-1", mode="good")
    assert (reply.reason, reply.outcome) == ("target-stalled", "unknown")


def test_orders_outlive_the_retention_of_their_records(tmp_path):
    """
    An order runs a second time because the log has forgotten the first.

    The log keeps only a few records; hosts carry the state forward in checkpoints.
    A host that starts when the order's own records are gone must still know it, and
    the configuration as well.
    """
    fleet = Fleet(tmp_path, TRIAL)
    try:
        fleet.start(hosts=2, checkpoint_every=2.0)
        key = make_key(RNG)
        assert order(fleet.entries[0], key).status == 200
        fleet.switch(keep=4)

        def is_carried():
            order(fleet.entries[0], make_key(RNG))
            return fleet.look_at_store()["first"]["orders-0"] > 10

        wait_for(is_carried, "the records to expire")
        fresh = fleet.start_host(checkpoint_every=2.0)
        fleet.wait_ready(fresh)
        wait_for(
            lambda: order(fresh, key).reason != "orders-incomplete", "the state", 20
        )
        reply = order(fresh, key)
        assert (reply.status, reply.headers["Plumsaddle-Replayed"]) == (200, "true")
        assert fleet.runs()[key] == 1
    finally:
        fleet.stop()


def read_metrics(entry):
    """Return the text of a host's metrics."""
    with urllib.request.urlopen(f"{entry.operators}/metrics", timeout=5) as resp:
        return resp.read().decode()


def load_hard(entries, count):
    """Send many look-ups at once and return the replies."""
    futs = [
        start(ask, entries[n % len(entries)], "GET", "/look/x") for n in range(count)
    ]
    return [fut.result(30) for fut in futs]


def test_contended_service_goes_on_when_its_keeper_freezes(fleet):
    """
    All look-ups hang because the host that hands out their slots has frozen.

    More look-ups than slots make the hosts ask the service's keeper. It is stopped
    with SIGSTOP: its connections stay open, and it says nothing any more.
    """
    name = choose_allocator("look", [entry.id for entry in fleet.entries])
    (keeper,) = [entry for entry in fleet.entries if entry.id == name]
    others = [entry for entry in fleet.entries if entry is not keeper]
    names = ("look-1", "look-2", "look-3")
    for target in names:
        fleet.control(target, mean=0.2)
    try:
        replies = load_hard(others, 50)
        assert {reply.status for reply in replies} == {200}
        assert any('result="granted"' in read_metrics(entry) for entry in others)
        os.kill(keeper.process.pid, signal.SIGSTOP)
        replies = load_hard(others, 50)
    finally:
        os.kill(keeper.process.pid, signal.SIGCONT)
        for target in names:
            fleet.control(target, mean=0.02)
    assert {reply.status for reply in replies} == {200}
    keeper.process.terminate()
    assert keeper.process.wait(20) == 0
    replace_entry(fleet, keeper)


def pipeline(entry, *requests):
    """Send requests at once on one connection; yield status and body of each answer."""
    ip, port = entry.callers.removeprefix("http://").split(":")
    with socket.create_connection((ip, int(port)), timeout=20) as conn:
        conn.sendall(b"".join(requests))
        answers = conn.makefile("rb")
        for _ in requests:
            status = int(answers.readline().split()[1])
            headers = http.client.parse_headers(answers)
            body = answers.read(int(headers["Content-Length"]))
            yield Reply(status, headers, json.loads(body))


def head(method, path, **headers):
    """Return the bytes of a request without a body."""
    headers = {"Host": "a", "Content-Length": "0", **headers}
    lines = [f"{name.replace('_', '-')}: {text}" for name, text in headers.items()]
    return "\r\n".join([f"{method} {path} HTTP/1.1", *lines, "\r\n"]).encode()


def test_lookups_on_one_connection_run_side_by_side(fleet):
    """Guards against six requests on one connection taking six times as long as one."""
    names = ("look-1", "look-2", "look-3")
    for name in names:
        fleet.control(name, mean=0.3)
    try:
        lookups = [head("GET", f"/look/{n}", X_Request_Id=str(n)) for n in range(6)]
        started = time.monotonic()
        replies = list(pipeline(fleet.entries[0], *lookups))
        assert time.monotonic() - started < 0.6
    finally:
        for name in names:
            fleet.control(name, mean=0.02)
    assert [reply.status for reply in replies] == [200] * 6
    assert [reply.body["echo"] for reply in replies] == list("012345")


def test_an_order_among_lookups_runs_once_in_its_turn(fleet):
    """Guards against an order that begins though its answer may not be delivered."""
    key = make_key(RNG)
    requests = (
        head("GET", "/look/0"),
        head("POST", "/act/x", Idempotency_Key=key),
        head("GET", "/none/x"),
        head("GET", "/look/4", Connection="close"),
    )
    replies = list(pipeline(fleet.entries[0], *requests))
    assert [reply.status for reply in replies] == [200, 200, 404, 200]
    assert replies[3].headers["Connection"] == "close"
    assert fleet.runs()[key] == 1


def test_stop_answers_all_requests_of_a_connection(fleet):
    """Guards against requests that are read and dropped when their host stops."""
    entry = fleet.start_host(leave_wait=0.2)
    fleet.wait_ready(entry)
    for name in ("look-1", "look-2", "look-3"):
        fleet.control(name, mean=1.5)
    try:
        lookups = [head("GET", f"/look/{number}") for number in range(4)]
        fut = start(lambda: list(pipeline(entry, *lookups)))
        status = f"{entry.operators}/status"
        wait_for(lambda: call(status)["in_flight"] == 4, "4 in flight")
        entry.process.terminate()
        replies = fut.result(30)
    finally:
        for name in ("look-1", "look-2", "look-3"):
            fleet.control(name, mean=0.02)
        fleet.entries.remove(entry)
    assert [reply.status for reply in replies] == [200] * 4
    closing = [reply.headers["Connection"] for reply in replies]
    assert closing == [None, None, None, "close"]
    assert entry.process.wait(30) == 0


def read_slowly(conn, pause):
    """Yield the answers on a connection until it ends, with a pause after each."""
    answers = conn.makefile("rb")
    while answers.readline():
        headers = http.client.parse_headers(answers)
        yield json.loads(answers.read(int(headers["Content-Length"])))
        time.sleep(pause)


def test_stop_delivers_answers_to_a_slow_reader(fleet):
    """Guards against a process that ends before its answers have been received."""
    entry = fleet.start_host(leave_wait=0.2)
    fleet.wait_ready(entry)
    ip, port = entry.callers.removeprefix("http://").split(":")
    names = ("look-1", "look-2", "look-3")
    served_before = sum(fleet.look(name)["served"] for name in names)
    with socket.socket() as conn:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        conn.settimeout(10.0)
        conn.connect((ip, int(port)))
        entry.process.terminate()
        reading = start(lambda: list(read_slowly(conn, 0.5)))
        for number in range(6):
            path = f"/look/{number}?padding=20000"
            try:
                conn.sendall(head("GET", path, X_Request_Id=str(number)))
            except ConnectionError:
                break
            time.sleep(0.1)
        answers = reading.result(20)
    fleet.entries.remove(entry)
    ran = [answer["echo"] for answer in answers]
    assert ran
    assert ran == [str(number) for number in range(len(ran))]
    assert {len(answer["padding"]) for answer in answers} == {20000}
    assert entry.process.wait(20) == 0
    served = sum(fleet.look(name)["served"] for name in names)
    assert served - served_before == len(ran)
