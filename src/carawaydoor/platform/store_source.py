"""The platform's store as the source of configuration and upstreams."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import eliot

from carawaydoor.operating import configuration_source, platform_options
from carawaydoor.platform import names, store_client, store_documents
from carawaydoor.policy import model

# Every key of the store: one watch brings both the configuration and the servers.
_ALL_KEYS: Final = ""


class StoreSource(configuration_source.ConfigurationSource):
    """Reads and watches the platform's store."""

    def __init__(self, address: platform_options.Address) -> None:
        self._client = store_client.StoreClient(address)

    def read(self, timeout_s: float) -> configuration_source.SourceUpdate:
        """Return all that the store holds."""
        try:
            items = self._client.read(_ALL_KEYS, timeout_s)
        except store_client.StoreError as error:
            raise configuration_source.SourceError(str(error)) from error
        return _news(items)

    def watch(
        self, after: int, wait_s: float, timeout_s: float
    ) -> configuration_source.SourceUpdate:
        """Return the changes after a revision, as soon as there are any."""
        try:
            items = self._client.watch(_ALL_KEYS, after, wait_s, timeout_s)
        except store_client.HistoryGoneError as error:
            raise configuration_source.HistoryGoneError from error
        except store_client.StoreError as error:
            raise configuration_source.SourceError(str(error)) from error
        return _news(items)


def _news(items: store_client.Items) -> configuration_source.SourceUpdate:
    written = [each for each in items.items if each.key == names.CONFIGURATION_KEY]
    return configuration_source.SourceUpdate(
        _newest_readable(written),
        _upstreams(items.items),
        items.revision,
        max((each.revision for each in written), default=0),
    )


def _newest_readable(written: Iterable[store_client.Item]) -> model.Configuration | None:
    newest = None
    for item in written:
        try:
            newest = store_documents.decode_configuration(item.value or b"", item.revision)
        except store_documents.DocumentError as error:
            eliot.log_message(
                message_type="configuration_malformed", revision=item.revision, detail=str(error)
            )
    return newest


def _upstreams(items: Iterable[store_client.Item]) -> dict[str, model.Upstream | None]:
    upstream_by_id: dict[str, model.Upstream | None] = {}
    for item in items:
        if not item.key.startswith(names.SERVERS_PREFIX):
            continue
        server = item.key.removeprefix(names.SERVERS_PREFIX)
        upstream_by_id[server] = _upstream(server, item)
    return upstream_by_id


def _upstream(server: str, item: store_client.Item) -> model.Upstream | None:
    if item.value is None:
        return None
    try:
        return store_documents.decode_server(server, item.value)
    except store_documents.DocumentError as error:
        eliot.log_message(
            message_type="server_entry_malformed",
            upstream=server,
            revision=item.revision,
            detail=str(error),
        )
        return None
