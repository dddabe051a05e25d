"""Lists of upstreams in the platform's store, now and in the history that it keeps."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable
from typing import Final

from carawaydoor.operating import configuration_source, platform_options
from carawaydoor.platform import names, store_client, store_source
from carawaydoor.policy import entities, source_position, stream_ranking

# A watch that only asks for changes that have been made.
_NO_WAIT_S: Final = 0.001
_WHOLE_HISTORY_S: Final = float("-inf")


class StoreLists(configuration_source.UpstreamLists):
    """Reads the lists over connections of their own.

    :param history_s: time in seconds for which the store keeps changes
    :param configuration_created: returns the position of the first configuration, zero if unknown
    """

    def __init__(
        self,
        address: platform_options.Address,
        history_s: float,
        configuration_created: Callable[[], int],
    ) -> None:
        self._address = address
        self._history_s = history_s
        self._configuration_created = configuration_created

    def read_list(self, timeout_s: float) -> stream_ranking.UpstreamList:
        """Return the servers that the store lists now."""
        client = store_client.StoreClient(self._address)
        try:
            batch = client.read(names.SERVERS_PREFIX, timeout_s)
        except store_client.StoreError as error:
            raise configuration_source.SourceError(str(error)) from error
        finally:
            client.close()
        listed = tuple(
            stream_ranking.ListedUpstream(upstream, item.created)
            for item in batch.items
            if (upstream := _decode(item)) is not None
        )
        return stream_ranking.UpstreamList(listed, self._configuration_created())

    def read_past(self, now_s: float, timeout_s: float) -> stream_ranking.PastChanges:
        """Return the changes of servers that the store keeps.

        The store only says whether it still has the changes since a revision, so the oldest one is
        searched for.
        """
        client = store_client.StoreClient(self._address)
        try:
            return self._search(client, now_s, timeout_s)
        except store_client.StoreError as error:
            raise configuration_source.SourceError(str(error)) from error
        finally:
            client.close()

    def _search(
        self, client: store_client.StoreClient, now_s: float, timeout_s: float
    ) -> stream_ranking.PastChanges:
        newest = client.read(names.SERVERS_PREFIX, timeout_s).revision
        era = source_position.era_of(newest)
        # The changes after the first one are not known, those after the second one are.
        unknown, known = 0, source_position.revision_of(newest)
        batch = _changes(client, names.SERVERS_PREFIX, source_position.create(era, 1), timeout_s)
        if batch is not None:
            after = source_position.create(era, 1)
            past = _past_changes(after, _WHOLE_HISTORY_S, batch.items)
            return _with_evacuations(client, past, timeout_s)
        while known - unknown > 1:
            middle = (unknown + known) // 2
            found = _changes(
                client, names.SERVERS_PREFIX, source_position.create(era, middle), timeout_s
            )
            if found is None:
                unknown = middle
            else:
                known, batch = middle, found
        past = _past_changes(
            source_position.create(era, known),
            now_s - self._history_s,
            batch.items if batch is not None else (),
        )
        return _with_evacuations(client, past, timeout_s)


def _with_evacuations(
    client: store_client.StoreClient, past: stream_ranking.PastChanges, timeout_s: float
) -> stream_ranking.PastChanges:
    """Return changes with whether there were any of evacuations, which is assumed if that is not known."""
    changes = _changes(client, names.EVACUATION_PREFIX, past.after, timeout_s)
    return dataclasses.replace(past, has_evacuations=changes is None or bool(changes.items))


def _changes(
    client: store_client.StoreClient, prefix: str, after: int, timeout_s: float
) -> store_client.ItemBatch | None:
    """Return the changes below a prefix after a position, None if the store no longer has them."""
    try:
        return client.watch(prefix, after, _NO_WAIT_S, timeout_s)
    except store_client.HistoryGoneError:
        return None


def _past_changes(
    after: int, since_s: float, items: Iterable[configuration_source.SourceItem]
) -> stream_ranking.PastChanges:
    entries_by_id: dict[str, tuple[entities.Upstream | None, ...]] = {}
    created_by_id: dict[str, int] = {}
    for item in items:
        key = item.key.removeprefix(names.SERVERS_PREFIX)
        created_by_id.setdefault(key, item.created)
        entries_by_id[key] = (*entries_by_id.get(key, ()), _decode(item))
    return stream_ranking.PastChanges(after, since_s, entries_by_id, created_by_id)


def _decode(item: configuration_source.SourceItem) -> entities.Upstream | None:
    return store_source.decode_upstream(item.key.removeprefix(names.SERVERS_PREFIX), item)
