"""
What a host makes of the datagrams that it takes.

Work of hosts of its data centre, news of the others, changes of the store and members
go to the parts that keep them. A hub keeps what is to be told on, and a host that took
something for its hub passes it on.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from plumsaddle_core.core.traffic import target_id_of
from plumsaddle_core.limits.advertised import LimitRow
from plumsaddle_core.limits.liveness import HostCount
from plumsaddle_core.ops.news import DEFERRABLE_OUTCOMES
from plumsaddle_core.ops.suspects import RunRecord

from ..utils.addresses import is_address
from .messages import (
    Bundle,
    CompressedBundle,
    DataCentreLoad,
    DataCentreUpdate,
    HostUpdate,
    Members,
    Records,
    decode_data_centre_update,
    decode_host_update,
    decompress_bundle,
    encode,
    to_peer_update,
    to_remote_load,
    to_remote_load_total,
    to_remote_update,
)
from .strangers import HOSTS_PER_MESSAGE

log = logging.getLogger("peers")
# Members that an answer to a newcomer names. One that knows the hub hears of all others
# within a second.
MAX_NAMED_HOSTS = 64


class Callbacks(NamedTuple):
    """
    How a host tells others.

    `send` is called with bytes and addresses, `send_soon` with whether what waits is
    urgent. `is_hub` tells at a moment whether this host tells others what it is told,
    and `echo_of` when a `Work` of its own was sent, or None.
    """

    send: Callable
    schedule_send: Callable
    is_forwarding: Callable
    sent_time: Callable


class MessageHandler:
    """
    The taking part of a host's datagram socket.

    Args:
      settings: The `HostSettings`.
      shared: The `SharedState` that this host's knowledge is kept in.
      peer_table: The `PeerTable`.
      readers: The `Readers`.
      others: The `OtherCentres`.
      collected: The `Collected`, which keeps what a hub tells on.
      ways: The `Ways`.
    """

    def __init__(self, settings, shared, peer_table, readers, others, collected, ways):
        self._settings = settings
        self._shared = shared
        self._peer_table = peer_table
        self._reader_role = readers
        self._remote = others
        self._buffer = collected
        self._callbacks = ways

    def _is_hub(self):
        """Whether this host is the hub as far as it knows."""
        return self._peer_table.hub is None

    def handle(self, message, data, address, at):
        """
        Take a message.

        Args:
          message: What `decode` returned.
          data: Its bytes.
          address: Who sent it.
          at: The present, in seconds.
        Raises:
          msgspec.DecodeError: If a part of it cannot be read.
        """
        if isinstance(message, HostUpdate):
            self._buffer.note_client(address, at)
            runs_known = self._shared.suspects.local_record_count
            limits_known = self._shared.limits.advertised.revision
            if self._apply_host_update(message, at):
                self._buffer.add_host_update(message.host, data)
                is_calm = all(row[4] in DEFERRABLE_OUTCOMES for row in message.outcomes)
                has_runs = self._shared.suspects.local_record_count > runs_known
                has_limits = self._shared.limits.advertised.revision != limits_known
                self._callbacks.schedule_send(has_runs or has_limits or not is_calm)
        elif isinstance(message, Bundle):
            self._handle_bundle(message, address, at)
        elif isinstance(message, CompressedBundle):
            self._handle_bundle(decompress_bundle(message), address, at)
        elif isinstance(message, Records):
            self._reader_role.apply_records(message, at)
        elif isinstance(message, DataCentreUpdate):
            self._handle_data_centre_update(message, address, at)
        elif isinstance(message, DataCentreLoad):
            self._handle_load(message, address, at)
        elif isinstance(message, Members):
            self._add_candidates(message.addresses, at)
            self._remote.remote_hosts.add_candidates(message.remote_hosts, at)
        else:
            self._handle_hello(message, address, at)

    def _apply_host_update(self, work, at):
        """Take a host's work, and return whether it was news."""
        if work.host == self._settings.id:
            self._note_echo(work, at)
            return False
        if not is_address(work.address):
            return False
        # Only news counts as a word of the host: a hub that wakes from a freeze passes
        # on what its clients said seconds ago.
        if not self._shared.apply_update(to_peer_update(work), at):
            return False
        self._peer_table.note_heard(work.address, at)
        self._add_run_records(work.run_records, True, at)
        self._merge_limits(work.limits, work.host, True, at)
        self._shared.quotas.merge_local(work.host, work.incarnation, work.quotas, at)
        if work.heartbeat is not None:
            self._apply_heartbeat(work.heartbeat, work.address, at)
        return True

    def _note_echo(self, work, at):
        """Take what a hub passes on of this host's own."""
        sent_at = self._callbacks.sent_time(work)
        if sent_at is not None:
            self._peer_table.note_echo(sent_at, at)
            self._shared.limits.membership.note_delivered(sent_at)

    def _apply_heartbeat(self, beat, address, at):
        self._peer_table.update(address, beat.link_rate, beat.store_status)
        self._add_candidates(beat.members, at)
        self._remote.remote_hosts.add_candidates(beat.remote_hosts, at)
        self._reader_role.apply_heartbeat(beat, at)

    def _handle_bundle(self, bundle, address, at):
        """Take what a hub tells, and pass it on to hosts that tell this one."""
        self._peer_table.note_message(address, at)
        self._peer_table.note_hub_message(address, at)
        self._shared.quotas.note_any_message(at)
        works = [
            raw
            for raw, work in _decode_each(
                bundle.host_updates, decode_host_update, address
            )
            if self._apply_host_update(work, at)
        ]
        fars = [
            raw
            for raw, far in _decode_each(
                bundle.data_centre_updates, decode_data_centre_update, address
            )
            if self._apply_data_centre_update(far, at)
        ]
        sums = to_remote_load_total(bundle)
        if sums is not None and not self._is_hub():
            self._shared.apply_remote_load_total(sums, at)
        if not self._is_hub():
            for asked in bundle.quotas:
                self._merge_quotas(asked.data_centre, asked.host_count, asked.rows, at)
        if (works or fars) and self._buffer.clients(at):
            self._buffer.add_from_hub(works, fars)
            self._callbacks.schedule_send(is_urgent=False)

    def _merge_quotas(self, centre, hosts, rows, at):
        """Take what workspaces asked of another data centre."""
        if centre != self._settings.data_centre:
            self._shared.quotas.merge_remote(centre, HostCount(*hosts), rows, at)

    def _apply_data_centre_update(self, far, at):
        """Take news of another data centre, and return whether it was any."""
        has_runs = self._add_run_records(far.run_records, False, at)
        has_limits = self._merge_limits(far.limits, far.host, False, at)
        return (
            self._shared.apply_remote_update(to_remote_update(far), at)
            or has_runs
            or has_limits
        )

    def _add_run_records(self, rows, is_near, at):
        """Take what became of targets under requests; return whether it was news."""
        suspects = self._shared.suspects
        news = [suspects.add(RunRecord(*row), at, is_local=is_near) for row in rows]
        return any(news)

    def _merge_limits(self, rows, host, is_near, at):
        """Take rate limits that targets named to others; return whether any is new."""
        limits = self._shared.limits.advertised
        has_news = False
        for row in map(LimitRow._make, rows):
            former = limits.rate(row.incarnation)
            if not limits.merge(row, is_near, at):
                continue
            has_news = True
            rate = limits.rate(row.incarnation)
            extra = {
                "target": target_id_of(row.incarnation),
                "rate": rate,
                "former": former,
            }
            log.info("rate limit", extra={**extra, "peer": host})
        return has_news

    def _handle_data_centre_update(self, far, address, at):
        """Take news from elsewhere, and pass it on."""
        if not far.is_forwarded:
            self._remote.note_remote_hub(far.data_centre, address, at)
        is_news = self._apply_data_centre_update(far, at)
        is_for_hub, far.is_forwarded = not far.is_forwarded, True
        if self._callbacks.is_forwarding(at):
            if is_news:
                self._buffer.add_data_centre_update(encode(far))
                # What was seen elsewhere says less of a target than what is seen here,
                # and four other data centres tell far more of it: it can wait.
                self._callbacks.schedule_send(is_urgent=False)
        elif is_for_hub:
            self._callbacks.send(encode(far), self._peer_table.hub)

    def _handle_load(self, load, address, at):
        """Take the work in flight elsewhere as the hub, or pass it on to the hub."""
        if not load.is_forwarded:
            self._remote.note_remote_hub(load.data_centre, address, at)
        if self._is_hub():
            self._shared.apply_remote_load(to_remote_load(load), at)
            self._merge_quotas(load.data_centre, load.host_count, load.quotas, at)
            self._buffer.add_quotas(load.data_centre, load.host_count, load.quotas)
            if load.quotas and self._buffer.clients(at):
                self._callbacks.schedule_send(is_urgent=False)
        elif not load.is_forwarded:
            load.is_forwarded = True
            self._callbacks.send(encode(load), self._peer_table.hub)

    def _handle_hello(self, hello, address, at):
        """Answer a host that looks for others of its data centre."""
        strangers = self._remote.remote_hosts.sample(at)
        if hello.data_centre == self._settings.data_centre:
            known = self._peer_table.addresses()
            self._peer_table.add_candidate(address, at)
        else:
            known = self._remote.remote_hosts.live(hello.data_centre, at)
            self._remote.remote_hosts.add(hello.data_centre, address, at)
            own = [*self._peer_table.addresses(), self._settings.peer_address]
            strangers[self._settings.data_centre] = own[-HOSTS_PER_MESSAGE:]
        known = [a for a in known if a != address]
        self._callbacks.send(
            encode(Members(known[:MAX_NAMED_HOSTS], strangers)), address
        )

    def _add_candidates(self, addresses, at):
        """Take hosts that were named; they stay only if they are heard."""
        for address in addresses:
            if is_address(address):
                self._peer_table.add_candidate(address, at)


def _decode_each(raws, decode_one, address):
    """
    Yield encoded messages with what they say, but for those that cannot be read.

    One host of another release would else silence all that stand behind it.
    """
    for raw in raws:
        try:
            yield raw, decode_one(raw)
        except msgspec.DecodeError as exc:
            log.warning("unreadable", extra={"peer": address, "cause": str(exc)})
