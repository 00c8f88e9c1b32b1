"""
Decoder of the chunked framing of a request's body (RFC 9112, section 7.1).

Extensions and trailer fields are dropped. Whatever the size of the chunks, no more is
held than an incomplete line, and a call works on a bounded number of chunks.
"""

import re

# Bytes of a line before a chunk, with its extensions.
MAX_LINE_BYTES = 4096
# Bytes of all trailer fields.
MAX_TRAILER_BYTES = 16384
# Chunks of one call.
MAX_CHUNKS = 256
LINE_END = b"\r\n"
# Horizontal white space is allowed before extensions only.
SIZE = rb"([0-9A-Fa-f]{1,15})(?:[ \t]*;[^\r\n]*)?\r\n"
SIZE_LINE = re.compile(SIZE)
AFTER_CHUNK = re.compile(LINE_END + SIZE)


class ChunkError(Exception):
    """The bytes are no chunked body, or exceed a limit."""


class ChunkDecoder:
    """The state of one body; `is_done` tells whether it is complete."""

    def __init__(self):
        self.is_done = False
        # An incomplete line.
        self._held = b""
        # Bytes that are left of the chunk.
        self._left = 0
        self._is_after_chunk = False
        self._trailer_bytes = None

    def feed(self, data):
        """
        Decode bytes.

        Args:
          data: What has arrived.
        Returns:
          The bytes of the body, and what is left to be decoded later or, behind a
          complete body, belongs to the next request.
        """
        if self._held:
            data, self._held = self._held + data, b""
        parts, at, size = [], 0, len(data)
        for _ in range(MAX_CHUNKS):
            if self._left:
                part = data[at : at + self._left]
                parts.append(part)
                at += len(part)
                self._left -= len(part)
            if at == size or self.is_done:
                break
            after = self._read_line(data, at)
            if after is None:
                self._held, at = data[at:], size
                break
            at = after
        return b"".join(parts), data[at:]

    def _read_line(self, data, at):
        """Read what is not body, and return where it ends, or None if it doesn't."""
        if self._trailer_bytes is not None:
            return self._read_trailer(data, at)
        line = AFTER_CHUNK if self._is_after_chunk else SIZE_LINE
        match = line.match(data, at, at + MAX_LINE_BYTES)
        if match is None:
            self._check_incomplete(data, at)
            return None
        self._left = int(match[1], 16)
        self._is_after_chunk = True
        if not self._left:
            self._trailer_bytes = 0
        return match.end()

    def _check_incomplete(self, data, at):
        """Raise an error unless the rest of the line may still arrive."""
        begin = at
        if self._is_after_chunk:
            begin += len(LINE_END)
            if not LINE_END.startswith(data[at:begin]):
                raise ChunkError("no line end after a chunk")
        if len(data) - at >= MAX_LINE_BYTES or data.find(LINE_END, begin) >= 0:
            raise ChunkError("malformed or long line before a chunk")

    def _read_trailer(self, data, at):
        end = data.find(LINE_END, at)
        self._check_trailer(len(data) - at if end < 0 else end - at)
        if end < 0:
            return None
        self._trailer_bytes += end - at
        self.is_done = end == at
        return end + len(LINE_END)

    def _check_trailer(self, more):
        if self._trailer_bytes + more > MAX_TRAILER_BYTES:
            raise ChunkError("long trailer")
