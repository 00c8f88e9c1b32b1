"""
The exchange between hosts by gRPC: both ends of it.

Every second a host swaps digests with a few others. A bad sign that is news goes
out at once, but not more often than a few times a second, so that a target that
begins to fail is known everywhere before the next regular round.
"""

import asyncio
import hmac
import logging
from typing import NamedTuple

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from returns.result import Failure, Success

from . import exchange_pb2 as pb
from .exchange_grpc import ExchangeBase, ExchangeStub
from .messages import from_digest, to_digest

log = logging.getLogger("peers")
CALL_TIMEOUT = 1.0
URGENT_PAUSE = 0.2
SECRET = "authorization"


class PeerTrouble(NamedTuple):
    """Why a peer gave no answer."""

    detail: str


class ExchangeServer(ExchangeBase):
    """
    The hosts' listener.

    Args:
      host: The host's parts.
      secret: What every host of the fleet knows.
    """

    def __init__(self, host, secret):
        self._host = host
        self._secret = secret

    async def Swap(self, stream):  # noqa: N802 - the generated base names it so.
        """Take a digest and answer with the own one."""
        self._check(stream)
        digest = await stream.recv_message()
        self._host.take_news(from_digest(digest))
        await stream.send_message(to_digest(self._host.tell_news()))

    async def FetchVersion(self, stream):  # noqa: N802 - as above.
        """Answer with the version in force and how much of the log is in it."""
        self._check(stream)
        await stream.recv_message()
        fold = self._host.versions
        if not fold.complete:
            await stream.send_message(pb.VersionAnswer(is_known=False))
            return
        current = fold.state.current
        as_of = fold.next_offset - 1
        await stream.send_message(
            pb.VersionAnswer(
                is_known=True,
                as_of=as_of,
                era=self._host.config_tail.era or 0,
                **current._asdict(),
            )
        )

    async def Keep(self, stream):  # noqa: N802 - as above.
        """Keep the slots of services for a host as long as its stream lasts."""
        self._check(stream)
        await self._host.keeping.serve_link(stream)

    def _check(self, stream):
        told = str(stream.metadata.get(SECRET, ""))
        if not hmac.compare_digest(told.encode(), self._secret.encode()):
            raise GRPCError(Status.UNAUTHENTICATED, "wrong secret")


class Exchange:
    """
    The asking side: regular and urgent rounds, and versions from peers.

    Args:
      host: The host's parts.
      cfg: The `Peers` settings.
    """

    def __init__(self, host, cfg):
        self._host = host
        self._cfg = cfg
        self._channels = {}
        self._urgent_at = 0.0
        self._urgent_timer = None
        self._is_fetching = False

    def start_round(self, now):
        """Swap digests with a few peers."""
        addresses = self._host.members.choose_peers(
            self._host.rng, now, self._cfg.fanout, self._cfg.seeds
        )
        self._drop_channels(now)
        for address in addresses:
            self._host.spawn(self._swap(address))

    def start_urgent(self, now):
        """Have a round soon, because there is bad news."""
        if self._urgent_timer is None:
            pause = max(0.0, self._urgent_at + URGENT_PAUSE - now)
            loop = asyncio.get_running_loop()
            self._urgent_timer = loop.call_later(pause, self._run_urgent)

    def _run_urgent(self):
        self._urgent_timer = None
        self._urgent_at = asyncio.get_running_loop().time()
        self.start_round(self._urgent_at)

    async def _swap(self, address):
        digest = to_digest(self._host.tell_news())
        result = await self._call(address, "Swap", digest)
        if isinstance(result, Failure):
            self._host.metrics.exchanges.inc({"result": "failed"})
            log.debug("peers: %s gave %s.", address, result.failure().detail)
            return
        self._host.metrics.exchanges.inc({"result": "swapped"})
        self._host.take_news(from_digest(result.unwrap()))

    def fetch_if_newer(self, member):
        """
        Take a newer version from the host that a digest came from, if it has one.

        Either side of an exchange may be the one that is behind.

        Args:
          member: The first row of the digest, which is its sender's own.
        """
        in_force = self._host.versions.state.current.number
        if member.version > in_force and not self._is_fetching:
            self._is_fetching = True
            self._host.spawn(self._fetch(member.address))

    async def _fetch(self, address):
        result = await self._call(address, "FetchVersion", pb.VersionRequest())
        self._is_fetching = False
        if isinstance(result, Success) and result.unwrap().is_known:
            answer = result.unwrap()
            self._host.adopt_version(
                [answer.number, answer.id, answer.text, answer.author, answer.note],
                answer.as_of,
                answer.era,
            )

    def open_keep(self, address):
        """Return a stream for slots to another host, to be entered."""
        stub = ExchangeStub(self._channel(address))
        return stub.Keep.open(metadata={SECRET: self._cfg.secret})

    async def _call(self, address, method, message):
        """Call one method of a peer's and return its answer as a value."""
        channel = self._channel(address)
        stub = getattr(ExchangeStub(channel), method)
        try:
            answer = await stub(
                message,
                timeout=CALL_TIMEOUT,
                metadata={SECRET: self._cfg.secret},
            )
        except (GRPCError, StreamTerminatedError, OSError, TimeoutError) as exc:
            return Failure(PeerTrouble(type(exc).__name__))
        return Success(answer)

    def _channel(self, address):
        channel = self._channels.get(address)
        if channel is None:
            ip, _, port = address.rpartition(":")
            channel = self._channels[address] = Channel(ip.strip("[]"), int(port))
        return channel

    def _drop_channels(self, now):
        """Close the connections to hosts that are not heard of any more."""
        kept = {row.address for row in self._host.members.alive(now)}
        kept |= set(self._cfg.seeds) | set(self._host.members.listed.values())
        # The keeper of a service may be this host itself.
        kept.add(self._host.members.own.address)
        for address in set(self._channels) - kept:
            self._channels.pop(address).close()

    def close(self):
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()
