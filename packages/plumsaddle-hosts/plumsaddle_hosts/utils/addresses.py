"""
Addresses as IP number and port.
"""


def split_address(address):
    """Return the IP number and the port of an address such as `10.0.0.1:80`."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)
