"""The platform's store as the source of configuration and upstreams."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import eliot

from carawaydoor.operating import configuration_source, platform_options
from carawaydoor.platform import names, store_client, store_documents
from carawaydoor.policy import entities

# The empty prefix, so that one watch covers both the configuration and the servers.
_ALL_KEYS_PREFIX: Final = ""


class StoreSource(configuration_source.ConfigurationSource):
    """Reads and watches the platform's store."""

    def __init__(self, address: platform_options.Address) -> None:
        self._client = store_client.StoreClient(address)

    def read(self, timeout_s: float) -> configuration_source.SourceUpdate:
        """Return the configuration and all upstreams in the store."""
        try:
            batch = self._client.read(_ALL_KEYS_PREFIX, timeout_s)
        except store_client.StoreError as error:
            raise configuration_source.SourceError(str(error)) from error
        return _decode_update(batch)

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
        return _decode_update(batch)


def _decode_update(batch: store_client.ItemBatch) -> configuration_source.SourceUpdate:
    configuration_items = [each for each in batch.items if each.key == names.CONFIGURATION_KEY]
    return configuration_source.SourceUpdate(
        _newest_valid_configuration(configuration_items),
        _decode_upstreams(batch.items),
        batch.revision,
        max((each.revision for each in configuration_items), default=0),
    )


def _newest_valid_configuration(
    items: Iterable[store_client.Item],
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


def _decode_upstreams(items: Iterable[store_client.Item]) -> dict[str, entities.Upstream | None]:
    upstream_by_id: dict[str, entities.Upstream | None] = {}
    for item in items:
        if not item.key.startswith(names.SERVERS_PREFIX):
            continue
        server_id = item.key.removeprefix(names.SERVERS_PREFIX)
        upstream_by_id[server_id] = _decode_upstream(server_id, item)
    return upstream_by_id


def _decode_upstream(server_id: str, item: store_client.Item) -> entities.Upstream | None:
    if item.value is None:
        return None
    try:
        return store_documents.decode_server(server_id, item.value)
    except store_documents.DocumentError as error:
        eliot.log_message(
            message_type="server_entry_malformed",
            upstream=server_id,
            revision=item.revision,
            detail=str(error),
        )
        return None
