"""
Parsing of `IP:PORT` addresses.
"""

import functools
import ipaddress

MAX_PORT = 65535
# Python rejects the conversion of numbers with thousands of digits with an exception.
MAX_PORT_DIGITS = 5
# Must exceed the number of hosts and targets that a host communicates with.
CACHE_SIZE = 4096


def is_address(text):
    """Return whether `text` is a string of the form `IPv4:PORT`."""
    return isinstance(text, str) and _is_address(text)


# Cached because each message between hosts carries the addresses of all hosts.
@functools.lru_cache(maxsize=CACHE_SIZE)
def _is_address(text):
    ip, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
        return False
    if not 0 < int(port) <= MAX_PORT:
        return False
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        return False
    return True


@functools.lru_cache(maxsize=CACHE_SIZE)
def split_address(address):
    """Split an address such as `10.0.0.1:80` into IP address and port number."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)
