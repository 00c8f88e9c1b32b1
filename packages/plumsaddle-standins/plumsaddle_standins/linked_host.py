"""
A host as a process whose connections to targets go through a `HostLink`.

    python -m plumsaddle_standins.linked_host host.toml 127.0.0.1:9000
"""

import asyncio
import sys

from plumsaddle_hosts.edge.events import configure_logging
from plumsaddle_hosts.edge.main import Host, read_settings

from .host_link import connect_through


async def _run(path, link_address):
    settings = read_settings(path).unwrap()
    configure_logging(settings.id)
    host = Host(settings, path)
    host.connector.create_connection = connect_through(link_address)
    await host.run()


if __name__ == "__main__":
    asyncio.run(_run(*sys.argv[1:]))
