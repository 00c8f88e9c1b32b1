"""
HTTP/1.1 pipelining: which requests of a connection may begin, and which are cancelled.

Callers send further requests before the first one is answered, and responses leave in
the order of the requests. Repeatable requests run side by side. A request that is not
repeatable begins only when everything before it has been answered, because a response
that closes the connection makes callers send again what stands behind it, whatever its
kind. For the same reason, what was begun behind such a response is cancelled.

The request in turn, whose response leaves next, is never held back by a bound, so each
connection progresses by itself. The others are bounded for each connection, so that one
caller cannot occupy a host, and for the host, whose memory they use. Connections that
wait for the host's bounds are served round robin.
"""

from collections import deque

# Bytes that are reserved for a response that may have to wait for its turn.
RESPONSE_RESERVE = 65536


class PipelinedRequest:
    """
    A request on a connection that has several.

    Args:
      is_repeatable: Whether it may run beside others, and be cancelled and run again.
      is_last: Whether the connection closes after its response.
      size: Its bytes in memory.
    """

    __slots__ = (
        "held",
        "is_answered",
        "is_begun",
        "is_early",
        "is_last",
        "is_repeatable",
        "size",
    )

    def __init__(self, is_repeatable, is_last, size):
        self.is_repeatable = is_repeatable
        self.is_last = is_last
        self.size = size
        self.is_begun = False
        # Whether it began before it was in turn.
        self.is_early = False
        self.is_answered = False
        # Bytes that are reserved for its response, or that its response takes.
        self.held = 0

    @property
    def is_barrier(self):
        """Whether the requests behind it must wait."""
        return not self.is_repeatable and not self.is_answered


class HostPipelines:
    """
    The bounds of a host on the pipelined requests of all its connections.

    Args:
      limits: The `PipelineLimits`.
    """

    def __init__(self, limits):
        self.limits = limits
        # Requests that began before they were in turn and have not been answered.
        self.requests = 0
        # Bytes of all requests behind others, and of the responses that wait.
        self.bytes = 0
        # Numbers since the start: requests that began before they were in turn, and
        # requests that arrived behind one that is not repeatable.
        self.early_count = 0
        self.waited_count = 0
        # An ordered set.
        self._waiting = {}

    @property
    def is_full(self):
        """Whether connections should read no further pipelined requests."""
        return self.bytes >= self.limits.bytes_per_host

    def has_room(self):
        """Return whether one more request may begin before it is in turn."""
        return (
            self.requests < self.limits.requests_per_host
            and self.bytes + RESPONSE_RESERVE <= self.limits.bytes_per_host
        )

    def may_begin(self, pipeline):
        """Return whether a pipeline may begin a request; otherwise it waits in line."""
        if self.has_room() and not self._waiting:
            return True
        self._waiting.setdefault(pipeline)
        return False

    def leave_line(self, pipeline):
        """Remove a pipeline that no longer waits for room."""
        self._waiting.pop(pipeline, None)

    def release(self, count, size):
        """Release room; pipelines in line begin one request each while there is any."""
        self.requests -= count
        self.bytes -= size
        while self._waiting and self.has_room():
            pipeline = next(iter(self._waiting))
            del self._waiting[pipeline]
            if pipeline.begin_one():
                self._waiting[pipeline] = None


class Pipeline:
    """
    The unanswered requests of one connection, in the order of their arrival.

    Args:
      host: The `HostPipelines`.
      begin: Called with a `PipelinedRequest` that begins before it is in turn.
      first: The `PipelinedRequest` in turn.
    """

    def __init__(self, host, begin, first):
        self._host = host
        self._begin = begin
        self._bytes = 0
        first.is_begun = True
        self._requests = deque([first])
        self._add_bytes(first.size)

    @property
    def first(self):
        """The request in turn."""
        return self._requests[0]

    @property
    def is_full(self):
        """Whether the connection should read no further requests."""
        limits = self._host.limits
        return (
            len(self._requests) >= limits.requests_per_connection
            or self._bytes >= limits.bytes_per_connection
            or self._host.is_full
        )

    def append(self, request):
        """Add a request that was read; `begin_ready` begins it if it may."""
        if any(before.is_barrier for before in self._requests):
            self._host.waited_count += 1
        self._requests.append(request)
        self._add_bytes(request.size)

    def begin_ready(self):
        """Begin all requests that may begin now."""
        while (request := self._next_ready()) is not None:
            if not self._host.may_begin(self):
                return
            self._begin_early(request)

    def begin_one(self):
        """Begin one request, for which the host has room; return whether more wait."""
        request = self._next_ready()
        if request is None:
            return False
        self._begin_early(request)
        return self._next_ready() is not None

    def note_answer(self, request, size):
        """Note that a request has its response, of which `size` bytes wait."""
        request.is_answered = True
        if request.held:
            change = size - request.held
            request.held = size
            self._bytes += change
            self._host.release(0, -change)

    def advance(self):
        """Note that the response in turn has left: the next request is in turn."""
        left = self._requests.popleft()
        self.first.is_begun = True
        self._release(left)

    def end_after(self, request):
        """
        Note that the connection closes after the response to a request.

        Returns:
          The requests behind it that had begun, which must be cancelled.
        """
        request.is_last = True
        self._host.leave_line(self)
        begun = []
        while request in self._requests and self._requests[-1] is not request:
            behind = self._requests.pop()
            if behind.is_begun:
                begun.append(behind)
            self._release(behind)
        return begun

    def close(self):
        """
        Release all room, because the connection has closed or nothing is behind.

        Returns:
          The requests that had begun, of which the unanswered ones must be cancelled.
        """
        begun = self.end_after(self.first)
        first = self._requests.popleft()
        self._release(first)
        return [first, *begun]

    def _next_ready(self):
        """Return the next request that may begin before it is in turn, or None."""
        limits = self._host.limits
        for number, request in enumerate(self._requests):
            if not request.is_begun:
                is_ready = (
                    request.is_repeatable
                    and number < limits.requests_per_connection
                    and self._bytes + RESPONSE_RESERVE <= limits.bytes_per_connection
                )
                return request if is_ready else None
            if request.is_last or request.is_barrier:
                return None
        return None

    def _begin_early(self, request):
        self._host.requests += 1
        self._host.early_count += 1
        request.is_begun = request.is_early = True
        request.held = RESPONSE_RESERVE
        self._add_bytes(RESPONSE_RESERVE)
        self._begin(request)

    def _add_bytes(self, size):
        self._bytes += size
        self._host.bytes += size

    def _release(self, request):
        size, request.size, request.held = request.size + request.held, 0, 0
        self._bytes -= size
        self._host.release(int(request.is_early), size)
