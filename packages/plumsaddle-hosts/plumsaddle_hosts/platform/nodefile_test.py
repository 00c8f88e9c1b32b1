"""
Tests of the settings file's checks.
"""

import pytest
from returns.result import Success

from plumsaddle_core.core.traffic import PipelineLimits

from .nodefile import check_host_settings

TEXT = """
id = "host-1"
data_centre = "x"
store = "127.0.0.1:1"
[listen]
callers = "127.0.0.1:2"
ready = "127.0.0.1:3"
hosts = "127.0.0.1:4"
"""


def test_limits_of_pipelining_have_defaults():
    """Guards against an earlier settings file that a new release refuses."""
    assert check_host_settings(TEXT).unwrap().pipeline_limits == PipelineLimits()
    text = TEXT + "[callers]\nrequests_per_connection = 3\n"
    limits = check_host_settings(text).unwrap().pipeline_limits
    assert limits == PipelineLimits(requests_per_connection=3)


@pytest.mark.parametrize("line", ["bytes_per_host = 0", "requests = 3"])
def test_limits_that_mean_nothing_are_errors(line):
    """Guards against a misspelt limit that is ignored."""
    result = check_host_settings(f"{TEXT}[callers]\n{line}\n")
    assert not isinstance(result, Success)
    assert result.failure()[0].startswith("callers")


def test_requests_wait_on_hosts_only_if_the_settings_say_so():
    """Guards against a queue that no operator has asked for."""
    assert check_host_settings(TEXT).unwrap().request_queue is False
    assert check_host_settings("request_queue = true\n" + TEXT).unwrap().request_queue
    result = check_host_settings("request_queue = 1\n" + TEXT)
    assert result.failure()[0].startswith("request_queue")


@pytest.mark.parametrize(
    "line",
    [
        "link_mbps = 0",
        "link_mbps = -1",
        "link_mbps = inf",
        "memory_mb = nan",
        "memory_mb = inf",
        "memory_mb = 0",
        "memory_mb = true",
        "memory_mb = 1" + "0" * 310,
        "memory_mb = 0.5",
        'data_centres = "x"',
        "data_centres = 4",
        "seeds = 4",
        'seeds = ["entry-1:8544", "127.0.0.1:5"]',
        "bounds = 4",
        "bounds = {grace_s = nan}",
        "bounds = {retry_extra = -1}",
        "bounds = {floor_share = true}",
    ],
)
def test_an_optional_value_that_means_nothing_is_an_error_or_is_ignored(line):
    """Guards against a start that fails for what a host can serve without."""
    text = f"{line}\n{TEXT}"
    name = line.partition(" ")[0]
    errors = check_host_settings(text).failure()
    ignored = []
    settings = check_host_settings(text, ignored).unwrap()
    assert ignored == errors and errors[0].startswith(name)
    usual = check_host_settings(TEXT).unwrap()
    seeds = ("127.0.0.1:5",) if "127" in line else ()
    assert settings == usual._replace(seeds=seeds)


def test_all_mistakes_are_reported_if_one_is_no_optional_value():
    errors = check_host_settings("link_mbps = -1\n", []).failure()
    assert errors[-1].startswith("link_mbps") and len(errors) == 7


def test_a_number_of_thousands_of_digits_is_an_error():
    """Guards against a reload that ends the part of a host that does it."""
    errors = check_host_settings("memory_mb = 1" + "0" * 5000).failure()
    assert errors[0].startswith("the file is not valid TOML")
