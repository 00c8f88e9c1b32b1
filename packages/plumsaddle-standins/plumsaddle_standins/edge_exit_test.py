"""
What the log of a host tells when its process ends by itself.
"""

import asyncio
import json
import sys

from .host_process import HostProcess
from .trial import in_loop

FAIL_ON_START = """
from plumsaddle_hosts.edge import main

async def fail(host):
    raise RuntimeError("no start")

main.Host.start = fail
main.main()
"""


async def _lines_of(*words):
    """Run a process to its end, and return its log's lines and its exit code."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *words,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    output, _ = await asyncio.wait_for(process.communicate(), 20.0)
    return [json.loads(line) for line in output.splitlines()], process.returncode


@in_loop
async def test_an_exception_that_ends_a_host_is_in_its_log(tmp_path):
    """Guards against a host that ends by itself without a line that says why."""
    host = HostProcess(tmp_path, "127.0.0.1:9")
    lines, code = await _lines_of("-c", FAIL_ON_START, str(host.path))
    assert code == 1
    messages = [line["message"] for line in lines]
    assert messages[:2] == ["process started", "host failed"]
    assert "RuntimeError: no start" in lines[1]["exc_info"]
    assert lines[1]["host"] == host.name


@in_loop
async def test_invalid_settings_are_in_the_log(tmp_path):
    """Guards against a host that does not start without a line that says why."""
    host = HostProcess(tmp_path, "127.0.0.1:9")
    host.path.write_text(host.path.read_text().replace("data_centre =", "centre ="))
    lines, code = await _lines_of("-m", "plumsaddle_hosts.edge", str(host.path))
    assert code == 2
    assert lines[-1]["message"] == "invalid settings"
    assert [m.partition(":")[0] for m in lines[-1]["mistakes"]] == ["data_centre"]
