"""
Tests of the parser of a host's settings.
"""

import pytest
from returns.result import Failure

from ..core.traffic import PipelineLimits
from .settings import check_settings

TEXT = """
id = "entry-1"
data_centre = "heverlee"
[listen]
callers = "127.0.0.1:7101"
operators = "127.0.0.1:7102"
hosts = "127.0.0.1:7103"
[platform]
url = "http://127.0.0.1:7000"
[peers]
secret = "change-me-to-something-long"
"""


def test_limits_of_pipelining_have_the_same_defaults_everywhere():
    """Guards against an earlier settings file that a new release refuses."""
    callers = check_settings(TEXT, "host.toml").unwrap().callers
    for name, value in PipelineLimits()._asdict().items():
        assert getattr(callers, name) == value


@pytest.mark.parametrize("line", ["bytes_per_host = 0", "requests = 3"])
def test_limits_that_mean_nothing_are_errors(line):
    """Guards against a misspelt limit that is ignored."""
    result = check_settings(f"{TEXT}[callers]\n{line}\n", "host.toml")
    assert isinstance(result, Failure)
