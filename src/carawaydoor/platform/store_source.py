"""The platform's store as the source of configuration and upstreams."""

from __future__ import annotations

import collections
import threading
from collections.abc import Iterable
from typing import Final

import eliot

from carawaydoor.operating import clocks, configuration_source, platform_options
from carawaydoor.platform import field_types, names, store_client, store_documents
from carawaydoor.policy import entities, source_position

# Removed keys are kept for instances that were last up to date before; one that was so earlier reads
# the store.
MAX_KEPT_REMOVALS: Final = 2000
# The empty prefix, so that one watch covers both the configuration and the servers.
_ALL_KEYS_PREFIX: Final = ""


class StoreSource(configuration_source.ConfigurationSource):
    """Reads and watches the platform's store."""

    def __init__(
        self, address: platform_options.Address, clock: clocks.Clock | None = None
    ) -> None:
        self._clock = clock or clocks.SystemClock()
        self._client = store_client.StoreClient(address, self._clock)
        self._lock = threading.Lock()
        self._item_by_key: dict[str, configuration_source.SourceItem] = {}
        self._removal_by_key: collections.OrderedDict[str, configuration_source.SourceItem] = (
            collections.OrderedDict()
        )
        # All changes after this revision are known, up to the second one.
        self._complete_after = 0
        self._revision = 0

    def changes_after(self, revision: int) -> configuration_source.SourceChanges | None:
        """Return the changes after a revision, as far as they are kept."""
        with self._lock:
            if not 0 < self._complete_after <= revision <= self._revision:
                return None
            kept = (*self._item_by_key.values(), *self._removal_by_key.values())
            changed = sorted(
                (each for each in kept if each.revision > revision), key=lambda each: each.revision
            )
            return configuration_source.SourceChanges(tuple(changed), self._revision)

    def take_over(
        self, changes: configuration_source.SourceChanges
    ) -> configuration_source.SourceUpdate:
        """Decode and keep changes that another instance has read."""
        batch = store_client.ItemBatch(
            changes.items, changes.revision, changes.received_bytes, changes.transfer_s
        )
        self._keep_changes(batch)
        return self._decode(batch)

    def configuration_created(self) -> int:
        """Return the position at which the first configuration was written, zero if unknown."""
        with self._lock:
            item = self._item_by_key.get(names.CONFIGURATION_KEY)
        return 0 if item is None else item.created

    def _keep_snapshot(self, batch: store_client.ItemBatch) -> None:
        with self._lock:
            known_keys = self._item_by_key.keys()
            is_continued = (
                self._complete_after > 0
                and self._revision <= batch.revision
                and source_position.era_of(self._revision) == source_position.era_of(batch.revision)
            )
            self._item_by_key = {each.key: each for each in batch.items}
            if is_continued:
                for key in self._item_by_key:
                    self._removal_by_key.pop(key, None)
                for key in known_keys - self._item_by_key.keys():
                    self._keep_removal(configuration_source.SourceItem(key, None, batch.revision))
            else:
                self._removal_by_key.clear()
                self._complete_after = batch.revision
            self._revision = batch.revision

    def _keep_changes(self, batch: store_client.ItemBatch) -> None:
        with self._lock:
            for each in batch.items:
                self._removal_by_key.pop(each.key, None)
                if each.value is not None:
                    self._item_by_key[each.key] = each
                    continue
                self._item_by_key.pop(each.key, None)
                self._keep_removal(each)
            self._revision = max(self._revision, batch.revision)

    def _keep_removal(self, item: configuration_source.SourceItem) -> None:
        self._removal_by_key[item.key] = item
        if len(self._removal_by_key) > MAX_KEPT_REMOVALS:
            _, oldest = self._removal_by_key.popitem(last=False)
            self._complete_after = max(self._complete_after, oldest.revision)

    def _decode(self, batch: store_client.ItemBatch) -> configuration_source.SourceUpdate:
        configuration_items = [each for each in batch.items if each.key == names.CONFIGURATION_KEY]
        begun_s = self._clock.now_s()
        configuration = _newest_valid_configuration(configuration_items)
        decode_s = self._clock.now_s() - begun_s
        return configuration_source.SourceUpdate(
            configuration,
            _decode_upstreams(batch.items),
            batch.revision,
            max((each.revision for each in configuration_items), default=0),
            _decode_evacuations(batch.items),
            len(configuration_items),
            configuration_source.Transfer(batch.received_bytes, batch.transfer_s, decode_s),
        )

    def read(self, timeout_s: float) -> configuration_source.SourceUpdate:
        """Return the configuration and all upstreams in the store."""
        try:
            batch = self._client.read(_ALL_KEYS_PREFIX, timeout_s)
        except store_client.StoreError as error:
            raise configuration_source.SourceError(str(error)) from error
        self._keep_snapshot(batch)
        return self._decode(batch)

    def watch(
        self, after: int, wait_s: float, timeout_s: float
    ) -> configuration_source.SourceUpdate:
        """Return the changes after a revision, as soon as there are any."""
        try:
            batch = self._client.watch(_ALL_KEYS_PREFIX, after, wait_s, timeout_s)
        except store_client.HistoryGoneError as error:
            raise configuration_source.HistoryGoneError from error
        except store_client.StoreError as error:
            raise configuration_source.SourceError(str(error)) from error
        self._keep_changes(batch)
        return self._decode(batch)


def _newest_valid_configuration(
    items: Iterable[configuration_source.SourceItem],
) -> entities.Configuration | None:
    newest = None
    for item in items:
        try:
            newest = store_documents.decode_configuration(item.value or b"", item.revision)
        except store_documents.DocumentError as error:
            eliot.log_message(
                message_type="configuration_malformed", revision=item.revision, detail=str(error)
            )
    return newest


def _decode_upstreams(
    items: Iterable[configuration_source.SourceItem],
) -> dict[str, entities.Upstream | None]:
    upstream_by_id: dict[str, entities.Upstream | None] = {}
    for item in items:
        if not item.key.startswith(names.SERVERS_PREFIX):
            continue
        server_id = item.key.removeprefix(names.SERVERS_PREFIX)
        upstream_by_id[server_id] = decode_upstream(server_id, item)
    return upstream_by_id


def _decode_evacuations(items: Iterable[configuration_source.SourceItem]) -> dict[str, bool]:
    """Return whether failure domains are evacuated; any value of their items means that they are."""
    is_evacuated_by_domain: dict[str, bool] = {}
    for item in items:
        if not item.key.startswith(names.EVACUATION_PREFIX):
            continue
        domain = item.key.removeprefix(names.EVACUATION_PREFIX)
        if not 0 < len(domain) <= field_types.MAX_NAME_LENGTH:
            # Upstreams without a failure domain have the empty name, which does not stand for all of them.
            eliot.log_message(
                message_type="evacuation_malformed", revision=item.revision, length=len(domain)
            )
            continue
        is_evacuated_by_domain[domain] = item.value is not None
    return is_evacuated_by_domain


def decode_upstream(
    server_id: str, item: configuration_source.SourceItem
) -> entities.Upstream | None:
    """Return the server that an item describes, None if it was removed or is malformed."""
    if item.value is None:
        return None
    try:
        return store_documents.decode_server(server_id, item.value, item.revision)
    except store_documents.DocumentError as error:
        eliot.log_message(
            message_type="server_entry_malformed",
            upstream=server_id,
            revision=item.revision,
            detail=str(error),
        )
        return None
