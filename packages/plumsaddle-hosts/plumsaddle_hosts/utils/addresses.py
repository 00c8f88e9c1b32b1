"""
Addresses as IP number and port.
"""

import functools
import ipaddress

PORT_MOST = 65535
# Addresses that are kept taken apart; more than a host knows of hosts and targets.
KNOWN_MOST = 4096


def is_address(text):
    """Return whether something is the text of an IPv4 number and a port."""
    return isinstance(text, str) and _is_address(text)


# Hosts name each other in each message: with sixty of them a third of the time that
# their messages took went into checking the same addresses again.
@functools.lru_cache(maxsize=KNOWN_MOST)
def _is_address(text):
    ip, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= PORT_MOST):
        return False
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        return False
    return True


@functools.lru_cache(maxsize=KNOWN_MOST)
def split_address(address):
    """Return the IP number and the port of an address such as `10.0.0.1:80`."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)
