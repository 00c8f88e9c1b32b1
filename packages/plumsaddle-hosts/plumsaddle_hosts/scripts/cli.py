"""
The operators' command line.

`plumsaddle check FILE` reads a configuration and tells all its mistakes; `publish`
does the same and then appends it to the platform's log. The other commands ask the
hosts or the log. Where the log and the hosts are is read from `plumsaddle.toml`, or
from the file that `--settings` names:

    platform = "http://127.0.0.1:7000"
    hosts = ["127.0.0.1:7102", "127.0.0.1:7202"]

Exit codes: 0 done; 1 the platform or the hosts did not answer; 2 a mistake in a text
or in the call; 3 refused, because another version came first; 4 not known; 5 done,
but not yet in force on every host.
"""

import asyncio
import difflib
import getpass
import sys
import time
import uuid
from pathlib import Path
from typing import Annotated, NamedTuple

import aiohttp
import fire
from pydantic import Field
from returns.result import Failure, Success

from plumsaddle_core.core.data import AddressText, Platform
from plumsaddle_core.ops.orders import Settled
from plumsaddle_core.ops.versions import Proposal
from plumsaddle_core.parser.configuration import check_configuration
from plumsaddle_core.parser.text import parse_text
from plumsaddle_core.utils.codec import encode_events

from ..daemon.host import CONFIG_STREAM
from ..platform.store import Store
from .hosts import ask_all
from .log import History
from .trace import read_events, trace_request

DONE = 0
NO_ANSWER = 1
MISTAKE = 2
REFUSED = 3
NOT_KNOWN = 4
NOT_EVERYWHERE = 5
DEFAULT_SETTINGS = "plumsaddle.toml"
VERDICT_WAIT = 10.0
LOOK_EVERY = 0.1


class OperatorSettings(NamedTuple):
    """Where the platform's log is, and the operators' listeners of the hosts."""

    platform: Annotated[str, Field(pattern=r"^https?://")]
    hosts: tuple[AddressText, ...] = ()


def _say(text):
    print(text)


def _fail(text, code):
    print(text, file=sys.stderr)
    sys.exit(code)


def _read_text(path):
    """Return a file's text, or exit."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return _fail(f"{path}: {exc}", MISTAKE)


def _read_settings(path):
    """Return the checked settings of the command line, or exit."""
    result = parse_text(_read_text(path), str(path), OperatorSettings)
    if isinstance(result, Failure):
        _fail("\n".join(map(str, result.failure())), MISTAKE)
    return result.unwrap()


def _read_configuration(path):
    """Return a checked configuration's text, or tell all mistakes and exit."""
    text = _read_text(path)
    result = check_configuration(text, str(path))
    if isinstance(result, Failure):
        errors = result.failure()
        _fail("\n".join(map(str, errors)) + f"\n{len(errors)} mistakes", MISTAKE)
    return text, result.unwrap()


def _run(settings, work):
    """Run a coroutine function with a session, the platform and the settings."""
    cfg = _read_settings(settings)

    async def run():
        async with aiohttp.ClientSession() as session:
            platform = Store(
                session, cfg.platform, Platform(cfg.platform).append_timeout
            )
            return await work(session, platform, cfg)

    sys.exit(asyncio.run(run()))


async def _read_history(platform):
    """Return the history up to the log's tail, or exit."""
    history = History(platform)
    result = await history.catch_up()
    if isinstance(result, Failure):
        _fail("The platform's log does not answer.", NO_ANSWER)
    if not result.unwrap():
        _fail("The log has lost the records that tell what is in force.", NOT_KNOWN)
    return history


def check(file):
    """
    Check a configuration and tell every mistake with its line.

    Args:
      file: The TOML file.
    """
    _, cfg = _read_configuration(file)
    targets = sum(len(service.targets) for service in cfg.service)
    _say(
        f"{file}: good: {len(cfg.service)} services, {targets} targets, "
        f"{len(cfg.route)} routes"
    )


def publish(file, base=None, note="", wait=10.0, settings=DEFAULT_SETTINGS):
    """
    Check a configuration, append it, and wait until it is in force everywhere.

    Args:
      file: The TOML file.
      base: The version that it replaces; the one in force now if left out.
      note: A word for the history.
      wait: The most seconds to wait for the hosts.
      settings: Where the platform and the hosts are.
    """
    text, _ = _read_configuration(file)
    _run(settings, lambda *parts: _publish(text, base, note, wait, *parts))


async def _publish(text, base, note, wait, session, platform, cfg):
    history = await _read_history(platform)
    base = history.current.number if base is None else int(base)
    proposal = Proposal(uuid.uuid4().hex, base, text, getpass.getuser(), note)
    appended = await platform.append(CONFIG_STREAM, encode_events([proposal]))
    verdict = await history.find_verdict(proposal, VERDICT_WAIT)
    if verdict is None:
        if isinstance(appended, Success):
            word = "It stands in the log, but the log could not be read on."
        else:
            word = "It may still appear in the log; look with `plumsaddle history`."
        _fail(f"Not known whether it was accepted. {word}", NOT_KNOWN)
    if verdict <= 0:
        winner = history.versions.get(-verdict, history.current)
        _fail(
            f"Refused: it replaces version {base}, but version {winner.number} by "
            f"{winner.author} is in force ({winner.note or 'no note'}).",
            REFUSED,
        )
    _say(f"Version {verdict} is accepted.")
    return await _wait_for_hosts(session, cfg.hosts, verdict, wait)


async def _wait_for_hosts(session, hosts, number, wait):
    """Report the share of hosts on a version until all have it or time is up."""
    until = time.monotonic() + wait
    shown = None
    while hosts:
        answers = await ask_all(session, hosts, "/status")
        there = sum(bool(a) and a["version"] >= number for a in answers.values())
        if there == len(hosts):
            _say(f"In force on {there} of {len(hosts)} hosts.")
            return DONE
        if sys.stdout.isatty() and shown != there:
            _say(f"In force on {there} of {len(hosts)} hosts ...")
            shown = there
        if time.monotonic() >= until:
            _tell_missing(answers, number)
            return NOT_EVERYWHERE
        await asyncio.sleep(LOOK_EVERY)
    return DONE


def _tell_missing(answers, number):
    for address, answer in answers.items():
        if answer is None:
            _say(f"{address}: no answer")
        elif answer["unusable"]:
            _say(f"{address}: cannot apply it: {'; '.join(answer['unusable'][1])}")
        elif answer["version"] < number:
            _say(f"{address}: still on version {answer['version']}")


def status(settings=DEFAULT_SETTINGS):
    """
    Show every host, its version and what it has out.

    Args:
      settings: Where the platform and the hosts are.
    """
    _run(settings, _status)


async def _status(session, platform, cfg):
    answers = await ask_all(session, cfg.hosts, "/status")
    newest = max((a["version"] for a in answers.values() if a), default=0)
    for address, answer in answers.items():
        if answer is None:
            _say(f"{address}: no answer")
            continue
        _say(_status_line(answer, newest))
        for name, service in answer["services"].items():
            for line in _service_lines(name, service):
                _say(line)
    return DONE if all(answers.values()) else NO_ANSWER


def _status_line(answer, newest):
    words = [f"{answer['host']} ({answer['data_centre']})"]
    words.append(f"version {answer['version']}")
    if answer["version"] < newest:
        words.append("BEHIND")
    if answer["unusable"]:
        words.append(f"CANNOT APPLY {answer['unusable'][0]}")
    words.append(
        f"not ready: {answer['not_ready']}" if answer["not_ready"] else "ready"
    )
    if answer["config_log"]["away"]:
        words.append("LOG AWAY")
    words.append(f"{answer['in_flight']} in flight")
    words.append(f"sees {len(answer['members'])} others")
    return ", ".join(words)


def _service_lines(name, service):
    if service["fails_alike"]:
        yield f"  {name}: its targets fail alike, none is taken out"
    for target, state in service["targets"].items():
        if state["standing"] != "good" or state["avoided"]:
            avoided = ", avoided by this host" if state["avoided"] else ""
            yield f"  {name}/{target}: {state['standing']}{avoided}"


def explain(target, settings=DEFAULT_SETTINGS):
    """
    Show why a target is in or out on each host, and who saw what.

    Args:
      target: The target's id.
      settings: Where the platform and the hosts are.
    """

    async def work(session, platform, cfg):
        answers = await ask_all(session, cfg.hosts, f"/explain/{target}")
        for address, answer in answers.items():
            if answer is None:
                _say(f"{address}: no answer, or no such target")
                continue
            for line in _explain_lines(answer):
                _say(line)
        return DONE if any(answers.values()) else NO_ANSWER

    _run(settings, work)


def _explain_lines(answer):
    score = answer["score"]
    yield (
        f"{answer['host']}: {answer['target']} of {answer['service']} is "
        f"{answer['standing']}: {answer['why']}"
    )
    yield (
        f"  score {score['total']:.2f} of 1.00 (its own path "
        f"{score['own']:.2f}, {score['observers']} hosts against it)"
    )
    if answer["service_fails_alike"]:
        yield "  the service's targets fail alike, so none is taken out"
    if answer["back_off_left"]:
        yield f"  back for trial in {answer['back_off_left']} s"
    for reporter, seen in sorted(answer["seen_by"].items()):
        yield (
            f"  {reporter}: {seen['good']} good, {seen['slow']} slow, "
            f"{seen['failed']} failed, {seen['seconds_ago']} s ago"
        )


def history(settings=DEFAULT_SETTINGS):
    """
    List the accepted versions that the log still has.

    Args:
      settings: Where the platform and the hosts are.
    """

    async def work(session, platform, cfg):
        found = await _read_history(platform)
        for number, version in sorted(found.versions.items()):
            _say(f"{number}  {version.author}  {version.note}")
        return DONE

    _run(settings, work)


def diff(old, new=None, settings=DEFAULT_SETTINGS):
    """
    Compare two accepted versions.

    Args:
      old: The number of the one.
      new: The number of the other; the one in force if left out.
      settings: Where the platform and the hosts are.
    """

    async def work(session, platform, cfg):
        found = await _read_history(platform)
        first = _version(found, old)
        second = _version(found, found.current.number if new is None else new)
        lines = difflib.unified_diff(
            first.text.splitlines(),
            second.text.splitlines(),
            f"version {first.number}",
            f"version {second.number}",
            lineterm="",
        )
        for line in lines:
            _say(line)
        return DONE

    _run(settings, work)


def _version(found, number):
    version = found.versions.get(int(number))
    if version is None:
        _fail(f"The log has no version {number} any more.", NOT_KNOWN)
    return version


def rollback(number, wait=10.0, settings=DEFAULT_SETTINGS):
    """
    Publish the text of an older version as a new version.

    Args:
      number: The older version's number.
      wait: The most seconds to wait for the hosts.
      settings: Where the platform and the hosts are.
    """

    async def work(session, platform, cfg):
        found = await _read_history(platform)
        text = _version(found, number).text
        result = check_configuration(text, f"version {number}")
        if isinstance(result, Failure):
            _fail("\n".join(map(str, result.failure())), MISTAKE)
        note = f"rollback to {number}"
        base = found.current.number
        return await _publish(text, base, note, wait, session, platform, cfg)

    _run(settings, work)


class Orders:
    """Orders without an outcome: show them, and settle what is known of them."""

    def list(self, settings=DEFAULT_SETTINGS):
        """
        Show the orders without an outcome.

        Args:
          settings: Where the platform and the hosts are.
        """
        _run(settings, _list_orders)

    def show(self, key, settings=DEFAULT_SETTINGS):
        """
        Show what is known of the orders with a key.

        Args:
          key: The caller's Idempotency-Key.
          settings: Where the platform and the hosts are.
        """
        _run(settings, lambda *parts: _list_orders(*parts, key=str(key)))

    def settle(self, key, outcome, host_is_gone=False, settings=DEFAULT_SETTINGS):
        """
        Write to the log what became of an order.

        Args:
          key: The caller's Idempotency-Key.
          outcome: `run` or `not-run`, as you found out at the service.
          host_is_gone: Your word that the claiming host is gone for good, which
            not-run needs: a frozen host could still send the order when it thaws.
          settings: Where the platform and the hosts are.
        """
        if outcome not in ("run", "not-run"):
            _fail("The outcome is `run` or `not-run`.", MISTAKE)
        if outcome == "not-run" and host_is_gone is not True:
            _fail(
                "To settle as not-run, make sure that the claiming host is gone for "
                "good, and say so with --host-is-gone.",
                MISTAKE,
            )
        _run(settings, lambda *parts: _settle(str(key), outcome == "run", *parts))


async def _find_orders(session, cfg, key):
    """Return the orders of the first host whose state is complete, or exit."""
    path = f"/orders?key={key}" if key else "/orders"
    answers = await ask_all(session, cfg.hosts, path)
    for answer in answers.values():
        if answer and answer["complete"]:
            return answer["orders"]
    return _fail("No host knows the state of all orders.", NO_ANSWER)


async def _list_orders(session, platform, cfg, key=""):
    for order in await _find_orders(session, cfg, key):
        _say(
            f"{order['key']}  {order['state']}  claimed by {order['host']}  "
            f"{order['detail']}"
        )
    return DONE


async def _settle(key, has_run, session, platform, cfg):
    found = await _find_orders(session, cfg, key)
    open_orders = [o for o in found if o["state"] in ("claimed", "unknown")]
    if len(open_orders) != 1:
        _fail(f"{len(open_orders)} open orders have this key.", MISTAKE)
    order = open_orders[0]
    event = Settled(order["hash"], order["claim"], has_run, getpass.getuser())
    appended = await platform.append(order["stream"], encode_events([event]))
    if isinstance(appended, Failure):
        _fail("Not known whether the log took it; look and try again.", NOT_KNOWN)
    for _ in range(int(VERDICT_WAIT / LOOK_EVERY)):
        now = [
            o
            for o in await _find_orders(session, cfg, key)
            if o["claim"] == order["claim"]
        ]
        if now and now[0]["state"] not in ("claimed", "unknown"):
            _say(f"{key} is settled: {now[0]['state']}.")
            return DONE
        await asyncio.sleep(LOOK_EVERY)
    return _fail("It stands in the log, but the hosts do not show it yet.", NOT_KNOWN)


def trace(request_id, *files):
    """
    Tell the story of one request from the logs of hosts on the platform.

    Args:
      request_id: The request's id.
      files: The hosts' logs.
    """
    lines = []
    for path in files:
        try:
            lines += Path(path).read_text(encoding="utf-8").splitlines()
        except (OSError, UnicodeDecodeError) as exc:
            _fail(f"{path}: {exc}", MISTAKE)
    story = trace_request(read_events(lines), str(request_id))
    if not story:
        _fail(f"No line bears the id {request_id}.", NOT_KNOWN)
    for line in story:
        _say(line)
    sys.exit(DONE)


COMMANDS = {
    "check": check,
    "publish": publish,
    "status": status,
    "explain": explain,
    "history": history,
    "diff": diff,
    "rollback": rollback,
    "orders": Orders,
    "trace": trace,
}


def main():
    """Run the operators' command line."""
    fire.Fire(COMMANDS, name="plumsaddle")


if __name__ == "__main__":
    main()
