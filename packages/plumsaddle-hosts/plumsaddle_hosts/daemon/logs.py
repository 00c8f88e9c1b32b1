"""
Set up logging: short lines for people, or JSON by a known library.
"""

import logging

from pythonjsonlogger.json import JsonFormatter

LINE = "%(asctime)s %(levelname)s %(message)s"
FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def set_up_logs(cfg, host):
    """
    Set up the root logger.

    Args:
      cfg: The `Logs` settings.
      host: The host's id, which each JSON line carries.
    """
    handler = logging.StreamHandler()
    if cfg.json:
        handler.setFormatter(JsonFormatter(FIELDS, static_fields={"host": host}))
    else:
        handler.setFormatter(logging.Formatter(LINE))
    logging.basicConfig(level=cfg.level.upper(), handlers=[handler], force=True)
    for name in ("aiohttp.access", "hpack", "h2", "asyncio"):
        logging.getLogger(name).setLevel(logging.WARNING)
