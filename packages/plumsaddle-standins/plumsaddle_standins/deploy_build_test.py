"""
The build of the deploy file, on machines that other builds have left their traces on.
"""

import os
import shutil
import subprocess
import sys
import tomllib
import zipfile
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
LIBRARIES = ("first_library", "second_library")
HOST = "import {}\nfrom plumsaddle_core import NUMBER\n"


def _write_wheel(folder, name):
    """Write a wheel with one module."""
    info = f"{name}-1.0.dist-info"
    with zipfile.ZipFile(folder / f"{name}-1.0-py3-none-any.whl", "w") as wheel:
        wheel.writestr(f"{name}.py", "VALUE = 1\n")
        wheel.writestr(
            f"{info}/METADATA", f"Metadata-Version: 2.1\nName: {name}\nVersion: 1.0\n"
        )
        wheel.writestr(
            f"{info}/WHEEL",
            "Wheel-Version: 1.0\nRoot-Is-Purelib: true\nTag: py3-none-any\n",
        )
        wheel.writestr(f"{info}/RECORD", "")


# A host that a build overtakes between two imports.
SLOW_HOST = """
import os, sys, time
from . import first

if not os.path.exists(BUILT):
    print("first", file=sys.stderr, flush=True)
    while not os.path.exists(GO_ON):
        time.sleep(0.02)

from . import second

assert first.NUMBER == second.NUMBER

def main():
    pass
"""


class Checkout:
    """
    A small checkout with our deploy folder, and packages that need some libraries.

    Args:
      folder: Where it is made.
    """

    def __init__(self, folder):
        self.root = folder / "checkout"
        self.deps = self.root / "target" / "deps"
        self.wheels = folder / "wheels"
        self.wheels.mkdir()
        for name in LIBRARIES:
            _write_wheel(self.wheels, name)
        shutil.copytree(ROOT / "deploy", self.root / "deploy")
        text = (ROOT / "deploy" / "system.toml").read_text()
        self.command = tomllib.loads(text)["build"]
        self.write_sources(LIBRARIES[:1])

    def write_sources(self, libraries, number=1):
        """Write the requirements, and packages that import these libraries."""
        requirements = "".join(f"{name}==1.0\n" for name in libraries)
        (self.root / "deploy" / "requirements.txt").write_text(requirements)
        packages = self.root / "packages"
        files = {
            "plumsaddle-core/plumsaddle_core/__init__.py": f"NUMBER = {number}\n",
            "plumsaddle-hosts/plumsaddle_hosts/__init__.py": "",
            "plumsaddle-hosts/plumsaddle_hosts/edge/__init__.py": "",
            "plumsaddle-hosts/plumsaddle_hosts/edge/main.py": HOST.format(
                ", ".join(libraries)
            ),
        }
        for name, text in files.items():
            (packages / name).parent.mkdir(parents=True, exist_ok=True)
            (packages / name).write_text(text)

    def start_build(self):
        """Start a build as the platform does."""
        env = {
            "PATH": f"{Path(sys.executable).parent}:{os.environ['PATH']}",
            "HOME": os.environ.get("HOME", "/"),
            "PIP_NO_INDEX": "1",
            "PIP_FIND_LINKS": str(self.wheels),
        }
        return subprocess.Popen(
            self.command,
            shell=True,
            cwd=self.root,
            env=env,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )

    def build(self):
        """Build, and return the exit code."""
        process = self.start_build()
        process.communicate(timeout=120)
        return process.returncode

    def start_host(self, code="import plumsaddle_hosts.edge.main"):
        """Start a process that loads what a host loads, in another folder."""
        return subprocess.Popen(
            [sys.executable, "-S", "-c", code],
            cwd=self.root.parent,
            env={"PYTHONPATH": str(self.deps)},
            stderr=subprocess.PIPE,
        )

    def is_runnable(self):
        """Return whether a host starts on what is built."""
        process = self.start_host()
        process.communicate(timeout=60)
        return process.returncode == 0


@pytest.fixture
def checkout(tmp_path):
    return Checkout(tmp_path)


def test_a_clean_checkout_is_built(checkout):
    assert checkout.build() == 0
    assert checkout.is_runnable()


def test_a_target_of_another_machine_is_built_again(checkout):
    """Guards against hosts whose libraries were built for another machine."""
    checkout.deps.mkdir(parents=True)
    (checkout.deps / "first_library-1.0.dist-info").mkdir()
    (checkout.deps / ".ready").touch()
    assert checkout.build() == 0
    assert checkout.is_runnable()


def test_a_library_that_is_damaged_is_installed_again(checkout):
    """Guards against a build that counts as done though a library is incomplete."""
    assert checkout.build() == 0
    for path in checkout.root.glob("target/**/first_library.py"):
        path.unlink()
    for path in checkout.root.glob("target/**/first_library*.pyc"):
        path.unlink()
    assert checkout.build() == 0
    assert checkout.is_runnable()


def test_a_new_library_is_installed_whatever_the_times_of_files(checkout):
    """Guards against a checkout whose files keep the times of their commits."""
    assert checkout.build() == 0
    checkout.write_sources(LIBRARIES)
    os.utime(checkout.root / "deploy" / "requirements.txt", (0, 0))
    assert checkout.build() == 0
    assert checkout.is_runnable()


def test_a_build_that_fails_leaves_the_former_one(checkout):
    """Guards against hosts that do not start after a build that broke off."""
    assert checkout.build() == 0
    checkout.write_sources((*LIBRARIES, "missing_library"))
    assert checkout.build() != 0
    assert checkout.is_runnable()
    checkout.write_sources(LIBRARIES)
    assert checkout.build() == 0
    assert checkout.is_runnable()


def test_packages_that_cannot_be_loaded_fail_the_build(checkout):
    """Guards against a build that reports success though no host can start."""
    checkout.write_sources(LIBRARIES[:1])
    path = checkout.root / "packages/plumsaddle-hosts/plumsaddle_hosts/edge/main.py"
    path.write_text("import missing_library\n")
    assert checkout.build() != 0


def test_two_builds_at_once_do_not_disturb_each_other(checkout):
    """Guards against hosts that load a mixture of two builds."""
    builds = [checkout.start_build() for _ in range(3)]
    for process in builds:
        process.communicate(timeout=120)
    assert [process.returncode for process in builds] == [0, 0, 0]
    assert checkout.is_runnable()


def test_hosts_that_start_during_a_build_find_all_their_modules(checkout):
    """Guards against a build that takes the modules away from hosts that start."""
    assert checkout.build() == 0
    ended = []
    for number in range(2, 5):
        checkout.write_sources(LIBRARIES[:1], number)
        build = checkout.start_build()
        while build.poll() is None:
            ended += [_wait(host) for host in [checkout.start_host() for _ in range(8)]]
    assert set(ended) == {0}


def test_a_host_that_starts_during_a_build_loads_modules_of_one_build(checkout):
    """Guards against a host that is a mixture of two releases."""
    edge = checkout.root / "packages/plumsaddle-hosts/plumsaddle_hosts/edge"
    built, go_on = (checkout.root.parent / name for name in ("built", "go-on"))
    (edge / "main.py").write_text(
        SLOW_HOST.replace("BUILT", repr(str(built))).replace("GO_ON", repr(str(go_on)))
    )
    for number in (1, 2):
        for name in ("first", "second"):
            (edge / f"{name}.py").write_text(f"NUMBER = {number}\n")
        if number == 1:
            # A build loads the host, too.
            built.touch()
            assert checkout.build() == 0
            built.unlink()
            code = (checkout.root / "deploy" / "start_host.py").read_text()
            host = checkout.start_host(code)
            assert host.stderr.readline() == b"first\n"
            built.touch()
    assert checkout.build() == 0
    go_on.touch()
    assert _wait(host) == 0


def test_a_failed_installation_leaves_the_former_libraries(checkout):
    """Guards against hosts that do not start while the registry is away."""
    assert checkout.build() == 0
    main = checkout.root / "packages/plumsaddle-hosts/plumsaddle_hosts/edge/main.py"
    text = main.read_text()
    main.write_text("import missing_library\n")
    shutil.rmtree(checkout.wheels)
    assert checkout.build() != 0
    main.write_text(text + "# Another release.\n")
    assert checkout.build() == 0
    assert checkout.is_runnable()


def _wait(process):
    process.communicate(timeout=60)
    return process.returncode
