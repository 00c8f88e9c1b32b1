"""
Build what a host runs on: its libraries and the project's packages, in `target/deps`.

    python3 deploy/build_host.py

A build is put together in a folder of its own, whose name is a digest of all that goes
into it, and a host is loaded from there. Only then does it take the place of
`target/deps`, in one step. So a build that breaks off, or is of another machine, does
not count, and processes that run or start meanwhile find all their modules.
"""

import compileall
import contextlib
import fcntl
import hashlib
import os
import platform
import shutil
import subprocess
import sys
import sysconfig
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
PACKAGES = (
    ROOT / "packages" / "plumsaddle-core" / "plumsaddle_core",
    ROOT / "packages" / "plumsaddle-hosts" / "plumsaddle_hosts",
)
TARGET = (ROOT / "target").resolve()
DEPS = TARGET / "deps"
LIBRARIES = TARGET / "libraries"
BUILDS = TARGET / "builds"
OLDEST_PYTHON = (3, 11)
LOAD_HOST = "import plumsaddle_hosts.edge.main"
INCOMPLETE = "incomplete-"
UNWANTED = shutil.ignore_patterns("__pycache__")


def main():
    """Build, unless the same build is there and a host can be loaded from it."""
    if sys.version_info < OLDEST_PYTHON:
        sys.exit(f"Python {sys.version.split()[0]} is too old for plumsaddle.")
    TARGET.mkdir(exist_ok=True)
    with _locked():
        _remove_incomplete()
        libraries = LIBRARIES / _digest_of_libraries()
        build = BUILDS / _digest_of_build(libraries.name)
        if not _is_loadable(build):
            _assemble(build, libraries)
        if not _is_loadable(build):
            # Its libraries may be damaged.
            _install(libraries)
            _assemble(build, libraries)
        if not _is_loadable(build, sys.stderr):
            sys.exit("A host can't be loaded from the build.")
        _put_in_force(build)


@contextlib.contextmanager
def _locked():
    """Let one build run at a time."""
    with open(TARGET / ".lock", "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def _digest_of_libraries():
    """Return a digest of the requirements and of what their modules depend on."""
    digest = hashlib.sha256(REQUIREMENTS.read_bytes())
    for text in (sys.version, platform.machine(), sysconfig.get_platform()):
        digest.update(text.encode() + b"\0")
    return digest.hexdigest()[:16]


def _digest_of_build(libraries):
    """Return a digest of the packages' files and of a digest of the libraries."""
    digest = hashlib.sha256(libraries.encode())
    for package in PACKAGES:
        for path in sorted(package.rglob("*")):
            if path.is_file() and "__pycache__" not in path.parts:
                name = str(path.relative_to(package.parent))
                digest.update(f"{name}\0{path.stat().st_size}\0".encode())
                digest.update(path.read_bytes())
    return digest.hexdigest()[:16]


def _is_loadable(build, errors=subprocess.DEVNULL):
    """Return whether a host can be loaded, as it is when it starts."""
    if not build.is_dir():
        return False
    env = {**os.environ, "PYTHONPATH": str(build), "PYTHONDONTWRITEBYTECODE": "1"}
    command = [sys.executable, "-S", "-c", LOAD_HOST]
    return subprocess.run(command, env=env, stderr=errors).returncode == 0


def _assemble(build, libraries):
    """Copy the libraries and the packages into a folder, which then gets its name."""
    if not libraries.is_dir():
        _install(libraries)
    with _new_folder(build) as folder:
        shutil.copytree(libraries, folder, dirs_exist_ok=True)
        for package in PACKAGES:
            shutil.copytree(
                package,
                folder / package.name,
                ignore=UNWANTED,
                ignore_dangling_symlinks=True,
            )
            _compile(folder / package.name, folder)


@contextlib.contextmanager
def _new_folder(path):
    """Give a folder its name once it is complete; one of that name is replaced."""
    path.parent.mkdir(exist_ok=True)
    folder = Path(tempfile.mkdtemp(prefix=INCOMPLETE, dir=path.parent))
    try:
        folder.chmod(0o755)
        yield folder
        shutil.rmtree(path, ignore_errors=True)
        folder.rename(path)
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def _remove_incomplete():
    """Remove what builds have left behind that were interrupted."""
    for path in (LIBRARIES, BUILDS):
        for folder in path.glob(f"{INCOMPLETE}*"):
            shutil.rmtree(folder)


def _install(libraries):
    """Install the libraries, in place of those that are there if it succeeds."""
    with _new_folder(libraries) as folder:
        options = ["--quiet", "--no-compile", "--target", str(folder)]
        command = [sys.executable, "-m", "pip", "install", *options, "-r", REQUIREMENTS]
        # An installation for one user can't have a target of its own.
        env = {**os.environ, "PIP_USER": "0"}
        if subprocess.run(command, env=env).returncode:
            sys.exit("The libraries can't be installed.")
        _compile(folder, folder)


def _compile(path, root):
    """Compile modules, since a host can't write byte code where it runs."""
    compileall.compile_dir(path, quiet=2, stripdir=root, prependdir=DEPS)


def _put_in_force(build):
    """Let `target/deps` be a build, and remove all others but the former one."""
    former = DEPS.resolve()
    if former == build:
        return
    if not DEPS.is_symlink() and DEPS.exists():
        # A release without this script has built it.
        former = Path(tempfile.mkdtemp(prefix="former-", dir=BUILDS)) / "deps"
        DEPS.rename(former)
        former = former.parent
    link = TARGET / ".deps"
    link.unlink(missing_ok=True)
    link.symlink_to(build.relative_to(TARGET))
    link.replace(DEPS)
    for folder in BUILDS.iterdir():
        if folder not in (build, former):
            shutil.rmtree(folder)


if __name__ == "__main__":
    main()
