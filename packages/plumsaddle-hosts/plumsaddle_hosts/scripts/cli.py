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

import fire
from returns.result import Failure, Success

from plumsaddle_core.ops.versions import Proposal
from plumsaddle_core.parser.configuration import check_configuration
from plumsaddle_core.utils.codec import encode_events

from ..daemon.host import CONFIG_STREAM
from .afterwards import causes, explain_from_logs, report, trace
from .common import (
    DEFAULT_SETTINGS,
    DONE,
    LOOK_EVERY,
    MISTAKE,
    NO_ANSWER,
    NOT_EVERYWHERE,
    NOT_KNOWN,
    REFUSED,
    VERDICT_WAIT,
    fail,
    read_text,
    run_with,
    say,
)
from .held import held, release
from .hosts import ask_all
from .log import History
from .orders import Orders


def _read_configuration(path):
    """Return a checked configuration's text, or tell all mistakes and exit."""
    text = read_text(path)
    result = check_configuration(text, str(path))
    if isinstance(result, Failure):
        errors = result.failure()
        fail("\n".join(map(str, errors)) + f"\n{len(errors)} mistakes", MISTAKE)
    return text, result.unwrap()


async def _read_history(platform):
    """Return the history up to the log's tail, or exit."""
    history = History(platform)
    result = await history.catch_up()
    if isinstance(result, Failure):
        fail("The platform's log does not answer.", NO_ANSWER)
    if not result.unwrap():
        fail("The log has lost the records that tell what is in force.", NOT_KNOWN)
    return history


def check(file):
    """
    Check a configuration and tell every mistake with its line.

    Args:
      file: The TOML file.
    """
    _, cfg = _read_configuration(file)
    targets = sum(len(service.targets) for service in cfg.service)
    say(
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
    run_with(settings, lambda *parts: _publish(text, base, note, wait, *parts))


async def _publish(text, base, note, wait, session, platform, cfg):
    history = await _read_history(platform)
    if not await history.wait_until_told(VERDICT_WAIT):
        fail(
            "The log has come back from an older copy, and no host has told yet what "
            "was in force. Try again when a host runs.",
            NOT_KNOWN,
        )
    base = history.current.number if base is None else int(base)
    proposal = Proposal(uuid.uuid4().hex, base, text, getpass.getuser(), note)
    appended = await platform.append(CONFIG_STREAM, encode_events([proposal]))
    verdict = await history.find_verdict(proposal, VERDICT_WAIT)
    if verdict is None:
        if isinstance(appended, Success):
            word = "It stands in the log, but the log could not be read on."
        else:
            word = "It may still appear in the log; look with `plumsaddle history`."
        fail(f"Not known whether it was accepted. {word}", NOT_KNOWN)
    if verdict <= 0:
        winner = history.versions.get(-verdict, history.current)
        fail(
            f"Refused: it replaces version {base}, but version {winner.number} by "
            f"{winner.author} is in force ({winner.note or 'no note'}).",
            REFUSED,
        )
    say(f"Version {verdict} is accepted.")
    return await _wait_for_hosts(session, cfg.hosts, verdict, wait)


async def _wait_for_hosts(session, hosts, number, wait):
    """Report the share of hosts on a version until all have it or time is up."""
    until = time.monotonic() + wait
    shown = None
    while hosts:
        answers = await ask_all(session, hosts, "/status")
        there = sum(bool(a) and a["version"] >= number for a in answers.values())
        if there == len(hosts):
            say(f"In force on {there} of {len(hosts)} hosts.")
            return DONE
        if sys.stdout.isatty() and shown != there:
            say(f"In force on {there} of {len(hosts)} hosts ...")
            shown = there
        if time.monotonic() >= until:
            _tell_missing(answers, number)
            return NOT_EVERYWHERE
        await asyncio.sleep(LOOK_EVERY)
    return DONE


def _tell_missing(answers, number):
    for address, answer in answers.items():
        if answer is None:
            say(f"{address}: no answer")
        elif answer["unusable"]:
            say(f"{address}: cannot apply it: {'; '.join(answer['unusable'][1])}")
        elif answer["version"] < number:
            say(f"{address}: still on version {answer['version']}")


def status(settings=DEFAULT_SETTINGS):
    """
    Show every host, its version and what it has out.

    Args:
      settings: Where the platform and the hosts are.
    """
    run_with(settings, _status)


async def _status(session, platform, cfg):
    answers = await ask_all(session, cfg.hosts, "/status")
    newest = max((a["version"] for a in answers.values() if a), default=0)
    for address, answer in answers.items():
        if answer is None:
            say(f"{address}: no answer")
            continue
        say(_status_line(answer, newest))
        for name, service in answer["services"].items():
            for line in _service_lines(name, service):
                say(line)
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


def explain(target, *logs, settings=DEFAULT_SETTINGS):
    """
    Show why a target is in or out on each host, and who saw what.

    From logs it also tells why a request is held back, by its key or its id.

    Args:
      target: The target's id.
      logs: The logs of hosts on the platform; without any, running hosts are asked.
      settings: Where the platform and the hosts are.
    """
    if logs:
        explain_from_logs(target, logs)

    async def work(session, platform, cfg):
        answers = await ask_all(session, cfg.hosts, f"/explain/{target}")
        for address, answer in answers.items():
            if answer is None:
                say(f"{address}: no answer, or no such target")
                continue
            for line in _explain_lines(answer):
                say(line)
        return DONE if any(answers.values()) else NO_ANSWER

    run_with(settings, work)


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
            say(f"{number}  {version.author}  {version.note}")
        return DONE

    run_with(settings, work)


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
            say(line)
        return DONE

    run_with(settings, work)


def _version(found, number):
    version = found.versions.get(int(number))
    if version is None:
        fail(f"The log has no version {number} any more.", NOT_KNOWN)
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
            fail("\n".join(map(str, result.failure())), MISTAKE)
        note = f"rollback to {number}"
        base = found.current.number
        return await _publish(text, base, note, wait, session, platform, cfg)

    run_with(settings, work)


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
    "report": report,
    "causes": causes,
    "held": held,
    "release": release,
}


def main():
    """Run the operators' command line."""
    fire.Fire(COMMANDS, name="plumsaddle")


if __name__ == "__main__":
    main()
