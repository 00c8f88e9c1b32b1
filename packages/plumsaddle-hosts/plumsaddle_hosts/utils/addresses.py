"""
Addresses as IP number and port.
"""

import functools
import ipaddress

PORT_MOST = 65535


def is_address(text):
    """Return whether something is the text of an IPv4 number and a port."""
    if not isinstance(text, str):
        return False
    ip, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= PORT_MOST):
        return False
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        return False
    return True


@functools.lru_cache(maxsize=4096)
def split_address(address):
    """Return the IP number and the port of an address such as `10.0.0.1:80`."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)
