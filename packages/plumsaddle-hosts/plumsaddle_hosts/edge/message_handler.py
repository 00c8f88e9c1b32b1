"""
Handling of received messages.

The content of messages is applied to the host's state. A hub also buffers updates to
forward them, and other hosts forward messages that are meant for their hub.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from plumsaddle_core.core.traffic import target_id_of
from plumsaddle_core.limits.advertised import LimitRow
from plumsaddle_core.limits.liveness import HostCount
from plumsaddle_core.ops.peer_updates import DEFERRABLE_SIGNALS
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
    VersionPart,
    VersionRequest,
    decode_data_centre_update,
    decode_host_update,
    decompress_bundle,
    encode,
    to_peer_update,
    to_remote_load,
    to_remote_load_total,
    to_remote_update,
)
from .remote_hosts import HOSTS_PER_MESSAGE

log = logging.getLogger("peers")
# Addresses in an answer to `Hello`. The receiver learns the others from the hub.
MAX_NAMED_HOSTS = 64


class Callbacks(NamedTuple):
    """
    Functions for sending.

    `send` is called with bytes and addresses, and `schedule_send` with whether the
    waiting updates are urgent. `is_forwarding` is called with the current time and
    returns whether this host forwards updates. `confirm` is called with a `HostUpdate`
    that came back and returns when this host sent it, or None. `note_new_peer` is
    called with the current time and the address of a host that has sent its first
    update, `answer_hello` with those of a host that has asked for addresses, and
    `send_state` with the time and addresses to send this host's state to.
    `note_gateways` is called with gateways of another data centre and the time.
    """

    send: Callable
    schedule_send: Callable
    is_forwarding: Callable
    confirm: Callable
    note_new_peer: Callable
    answer_hello: Callable
    send_state: Callable
    note_gateways: Callable


class MessageHandler:
    """
    Handles the messages that a host receives.

    Args:
      settings: The `HostSettings`.
      shared: The host's `SharedState`.
      peer_table: The `PeerTable`.
      reader_role: The `ReaderRole`.
      remote: The `RemoteSender`.
      buffer: The `BundleBuffer` of updates to forward.
      callbacks: The `Callbacks`.
      versions: The `VersionExchange`.
    """

    def __init__(
        self,
        settings,
        shared,
        peer_table,
        reader_role,
        remote,
        buffer,
        callbacks,
        versions,
    ):
        self._settings = settings
        self._shared = shared
        self._peer_table = peer_table
        self._reader_role = reader_role
        self._remote = remote
        self._buffer = buffer
        self._callbacks = callbacks
        self._versions = versions

    def _is_hub(self):
        """Whether this host considers itself the hub."""
        return self._peer_table.hub is None

    def handle(self, message, data, address, at):
        """
        Handle a message.

        Args:
          message: The decoded message.
          data: The encoded message.
          address: The sender's address.
          at: The current time, in seconds.
        Raises:
          msgspec.DecodeError: If the compressed content is invalid.
        """
        if isinstance(message, HostUpdate):
            self._buffer.note_client(address, at)
            known_run_records = self._shared.suspects.local_record_count
            known_notices = self._notice_counts()
            if self._apply_host_update(message, at):
                self._buffer.add_host_update(message.host, data)
                is_deferrable = all(
                    row[4] in DEFERRABLE_SIGNALS for row in message.outcomes
                )
                has_run_records = (
                    self._shared.suspects.local_record_count > known_run_records
                )
                has_notices = self._notice_counts() != known_notices
                self._callbacks.schedule_send(
                    has_run_records or has_notices or not is_deferrable
                )
        elif isinstance(message, Bundle):
            self._handle_bundle(message, address, at)
        elif isinstance(message, CompressedBundle):
            self._handle_bundle(decompress_bundle(message), address, at)
        elif isinstance(message, Records):
            self._reader_role.apply_records(message, at)
        elif isinstance(message, VersionRequest):
            self._versions.answer(message, address)
        elif isinstance(message, VersionPart):
            self._versions.add_part(message, address, at)
        elif isinstance(message, DataCentreUpdate):
            self._handle_data_centre_update(message, address, at)
        elif isinstance(message, DataCentreLoad):
            self._handle_load(message, address, at)
        elif isinstance(message, Members):
            self._handle_members(message, address, at)
        else:
            self._handle_hello(message, address, at)

    def _notice_counts(self):
        """Return values that change with each new notice of a target."""
        shared = self._shared
        return shared.limits.advertised.revision, shared.availability.draining_count

    def _apply_host_update(self, update, at):
        """Apply a host's update, and return whether it was new."""
        if update.host == self._settings.id:
            self._note_echo(update, at)
            return False
        if not is_address(update.address):
            return False
        # Only new updates count as a sign of life: a hub that resumes after a freeze
        # forwards updates that are seconds old.
        if not self._shared.apply_update(to_peer_update(update), at):
            return False
        self._peer_table.note_message(update.address, at)
        self._add_run_records(update.run_records, True, at)
        self._merge_limits(update.limits, update.host, True, at)
        self._merge_draining(update.draining, update.host, True, at)
        self._shared.quotas.merge_local(
            update.host, update.incarnation, update.quotas, at
        )
        if update.heartbeat is not None:
            self._apply_heartbeat(update.heartbeat, update.address, at)
        if self._peer_table.note_incarnation(update.address, update.incarnation):
            self._callbacks.note_new_peer(at, update.address)
        return True

    def _note_echo(self, update, at):
        """Record that a hub has sent back one of this host's own updates."""
        sent_at = self._callbacks.confirm(update)
        if sent_at is not None:
            self._peer_table.note_echo(sent_at, at)
            self._shared.limits.membership.note_delivered(sent_at)

    def _apply_heartbeat(self, heartbeat, address, at):
        self._peer_table.update(
            address,
            heartbeat.link_rate,
            heartbeat.store_status,
            heartbeat.is_gateway,
        )
        self._add_candidates(heartbeat.members, at)
        self._remote.remote_hosts.add_candidates(heartbeat.remote_hosts, at)
        self._reader_role.apply_heartbeat(heartbeat, at)
        self._versions.note_report(address, heartbeat.version, at)

    def _handle_bundle(self, bundle, address, at):
        """Apply a hub's bundle, and forward it to this host's clients."""
        self._peer_table.note_message(address, at)
        self._peer_table.note_hub_message(address, at)
        self._shared.quotas.note_any_message(at)
        host_updates = [
            raw
            for raw, host_update in _decode_each(
                bundle.host_updates, decode_host_update, address
            )
            if self._apply_host_update(host_update, at)
        ]
        data_centre_updates = [
            raw
            for raw, data_centre_update in _decode_each(
                bundle.data_centre_updates, decode_data_centre_update, address
            )
            if self._apply_data_centre_update(data_centre_update, at)
        ]
        load_total = to_remote_load_total(bundle)
        if load_total is not None and not self._is_hub():
            self._shared.apply_remote_load_total(load_total, at)
        if not self._is_hub():
            for quotas in bundle.quotas:
                self._merge_quotas(
                    quotas.data_centre, quotas.host_count, quotas.rows, at
                )
        if (host_updates or data_centre_updates) and self._buffer.clients(at):
            self._buffer.add_from_hub(host_updates, data_centre_updates)
            self._callbacks.schedule_send(is_urgent=False)

    def _merge_quotas(self, data_centre, host_count, rows, at):
        """Merge the quota rows of another data centre."""
        if data_centre != self._settings.data_centre:
            self._shared.quotas.merge_remote(
                data_centre, HostCount(*host_count), rows, at
            )

    def _apply_data_centre_update(self, update, at):
        """Apply an update of another data centre; return whether any of it was new."""
        has_run_records = self._add_run_records(update.run_records, False, at)
        has_limits = self._merge_limits(update.limits, update.host, False, at)
        has_draining = self._merge_draining(update.draining, update.host, False, at)
        gateways = [a for a in update.gateways if is_address(a)]
        if update.data_centre != self._settings.data_centre:
            self._callbacks.note_gateways(gateways, at)
            self._shared.apply_remote_results(update.data_centre, update.results, at)
        return (
            self._shared.apply_remote_update(to_remote_update(update), at)
            or bool(gateways)
            or bool(update.results)
            or has_run_records
            or has_limits
            or has_draining
        )

    def _add_run_records(self, rows, is_local, at):
        """Add run records, and return whether any was new."""
        suspects = self._shared.suspects
        are_new = [suspects.add(RunRecord(*row), at, is_local=is_local) for row in rows]
        return any(are_new)

    def _merge_limits(self, rows, host, is_local, at):
        """Merge advertised rate limits, and return whether any was new."""
        limits = self._shared.limits.advertised
        has_new = False
        for row in map(LimitRow._make, rows):
            former_rate = limits.rate(row.incarnation)
            if not limits.merge(row, is_local, at):
                continue
            has_new = True
            rate = limits.rate(row.incarnation)
            extra = {
                "target": target_id_of(row.incarnation),
                "rate": rate,
                "former": former_rate,
            }
            log.info("rate limit", extra={**extra, "peer": host})
        return has_new

    def _merge_draining(self, incarnations, host, is_local, at):
        """Merge draining notices, and return whether any was new."""
        has_new = False
        for incarnation in incarnations:
            if self._shared.availability.merge_draining(incarnation, is_local, at):
                has_new = True
                extra = {"target": target_id_of(incarnation), "peer": host}
                log.info("draining notice", extra=extra)
        return has_new

    def _handle_data_centre_update(self, update, address, at):
        """Apply an update of another data centre, and forward it."""
        if not update.is_forwarded:
            self._remote.note_remote_hub(update.data_centre, address, at)
        is_new = self._apply_data_centre_update(update, at)
        is_for_hub, update.is_forwarded = not update.is_forwarded, True
        if self._callbacks.is_forwarding(at):
            if is_new:
                self._buffer.add_data_centre_update(encode(update))
                # Not urgent: remote evidence weighs less than local outcomes, and there
                # is much of it.
                self._callbacks.schedule_send(is_urgent=False)
        elif is_for_hub:
            self._callbacks.send(encode(update), self._peer_table.hub)

    def _handle_load(self, load, address, at):
        """Apply the load of another data centre if this is the hub, else forward it."""
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
        """Answer a host that asks for addresses; bring it up to date if it is new."""
        self._versions.note_report(address, hello.version, at)
        remote_hosts = self._remote.remote_hosts.sample(at)
        if hello.data_centre == self._settings.data_centre:
            # The list may be truncated, and all others are reached through the hub.
            hub = [self._peer_table.hub] if self._peer_table.hub is not None else []
            known = [*hub, *(a for a in self._peer_table.addresses() if a not in hub)]
            if self._peer_table.add_candidate(address, at):
                self._callbacks.answer_hello(at, address)
        else:
            self._remote.send_notices(address, at)
            known = self._remote.remote_hosts.addresses(hello.data_centre, at)
            self._remote.remote_hosts.add(hello.data_centre, address, at)
            own = [*self._peer_table.addresses(), self._settings.peer_address]
            remote_hosts[self._settings.data_centre] = own[-HOSTS_PER_MESSAGE:]
        known = [a for a in known if a != address]
        version = self._versions.own_version
        members = Members(known[:MAX_NAMED_HOSTS], remote_hosts, version)
        self._callbacks.send(encode(members), address)

    def _handle_members(self, members, address, at):
        """Add listed hosts; without a hub, send them this host's state at once."""
        self._versions.note_report(address, members.version, at)
        new = self._add_candidates(members.addresses, at)
        if new and self._is_hub():
            self._callbacks.send_state(at, new)
        self._remote.remote_hosts.add_candidates(members.remote_hosts, at)

    def _add_candidates(self, addresses, at):
        """Add listed hosts, which expire soon unless they send; return the new ones."""
        return [
            address
            for address in addresses
            if is_address(address) and self._peer_table.add_candidate(address, at)
        ]


def _decode_each(encoded_messages, decode_message, address):
    """
    Yield each encoded message with the decoded one, skipping invalid messages.

    Otherwise an incompatible message would invalidate the rest of its bundle.
    """
    for encoded in encoded_messages:
        try:
            yield encoded, decode_message(encoded)
        except (msgspec.DecodeError, RecursionError) as exc:
            log.warning("invalid message", extra={"peer": address, "cause": str(exc)})
