"""
A caller that sends requests on one connection without waiting for the responses.
"""

import asyncio
from collections import deque
from typing import NamedTuple

import httptools

from .trial import HOST_NAME

READ_SIZE = 65536


class Received(NamedTuple):
    """A whole response as it left the host; names of headers are in lower case."""

    status: int
    headers: dict
    body: bytes

    @property
    def request_id(self):
        """The id of the request that it says it belongs to."""
        return self.headers.get("request-id")


def request_bytes(path, request_id, method="GET", body=b"", left=3000, more=()):
    """
    Return the bytes of a request.

    Args:
      path: Its path.
      request_id: Its id, or None for a request without one.
      method: Its method.
      body: Its body, sent with a length unless it is empty.
      left: The milliseconds until its deadline.
      more: Further lines of its head.
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}", f"Deadline-Ms: {left}"]
    if request_id is not None:
        lines.append(f"Request-Id: {request_id}")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, *more, "\r\n"]).encode() + body


class Pipe:
    """A connection to a host; `open` makes one."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self._parser = httptools.HttpResponseParser(self)
        self._received = deque()
        self._headers, self._body = {}, bytearray()

    @classmethod
    async def open(cls, ip, port):
        """Connect to a host."""
        return cls(*await asyncio.open_connection(ip, port))

    def send(self, *requests):
        """Send requests in one write."""
        self.writer.write(b"".join(requests))

    async def receive(self):
        """Return the next `Received`, or None if the connection ended before."""
        while not self._received:
            data = await self.reader.read(READ_SIZE)
            if not data:
                return None
            self._parser.feed_data(data)
        return self._received.popleft()

    def close(self):
        """Close the connection."""
        self.writer.close()

    # Called by the parser.

    def on_message_begin(self):
        """Start a response."""
        self._headers, self._body = {}, bytearray()

    def on_header(self, name, value):
        """Take a header."""
        self._headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, data):
        """Take a part of the body."""
        self._body += data

    def on_message_complete(self):
        """Take a whole response."""
        status = self._parser.get_status_code()
        self._received.append(Received(status, self._headers, bytes(self._body)))
