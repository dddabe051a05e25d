"""Interface of the source from which an instance reads its configuration and its upstreams."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import Mapping

from carawaydoor.policy import entities, stream_ranking


class SourceError(Exception):
    """The source gave no valid response."""


class HistoryGoneError(Exception):
    """The source no longer has the changes since the given revision; read everything again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """How the content of an update was received.

    :ivar received_bytes: size of the responses as they were sent
    :ivar transfer_s: seconds between the first and the last byte of the responses of a source, or
        between the request to another instance and its last byte
    :ivar decode_s: seconds that decoding the configuration took
    """

    received_bytes: int = 0
    transfer_s: float = 0.0
    decode_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class SourceUpdate:
    """The source's full content, or the changes in it.

    :ivar configuration: newest configuration that can be decoded, None if there is no new one
    :ivar upstream_by_id: upstreams by their id; the value is None for a removed upstream
    :ivar revision: revision of the source up to which this update is complete
    :ivar configuration_revision: revision of the newest configuration, even if it can't be
        decoded; zero if there is no new one
    :ivar is_evacuated_by_domain: evacuated failure domains; false for one that no longer is
    :ivar configuration_count: configurations in the update, superseded and malformed ones included
    """

    configuration: entities.Configuration | None
    upstream_by_id: Mapping[str, entities.Upstream | None]
    revision: int
    configuration_revision: int = 0
    is_evacuated_by_domain: Mapping[str, bool] = dataclasses.field(default_factory=dict)
    configuration_count: int = 0
    transfer: Transfer = Transfer()


@dataclasses.dataclass(frozen=True, slots=True)
class SourceItem:
    """An item of the source as it was read, for instances that don't read it themselves.

    :ivar value: None if the item was removed
    :ivar created: revision at which its key was written for the first time, zero if unknown
    """

    key: str
    value: bytes | None
    revision: int
    created: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SourceChanges:
    """Items that have changed since a revision.

    :ivar items: only the last change of each item, in the order of revisions
    :ivar revision: revision of the source up to which the items are complete
    :ivar received_bytes: size of the response with the items, zero if they were not received
    :ivar transfer_s: seconds between the request for them and its last byte
    """

    items: tuple[SourceItem, ...]
    revision: int
    received_bytes: int = 0
    transfer_s: float = 0.0


class ConfigurationSource(abc.ABC):
    """A source of the configuration and the upstreams that can be read and watched.

    It also keeps what it has read, to pass it on to other instances.
    """

    @abc.abstractmethod
    def changes_after(self, revision: int) -> SourceChanges | None:
        """Return what is known to have changed after a revision, None if that isn't known."""

    @abc.abstractmethod
    def take_over(self, changes: SourceChanges) -> SourceUpdate:
        """Decode and keep changes that another instance has read."""

    @abc.abstractmethod
    def read(self, timeout_s: float) -> SourceUpdate:
        """Return the full content of the source.

        :param timeout_s: timeout in seconds of each request
        :raises SourceError: if the source gave no valid response
        """

    @abc.abstractmethod
    def watch(self, after: int, wait_s: float, timeout_s: float) -> SourceUpdate:
        """Wait for changes (long poll) and return them.

        :param after: revision after which changes are returned
        :param wait_s: time in seconds after which the source responds even without a change
        :param timeout_s: timeout in seconds of the request, longer than ``wait_s``
        :raises HistoryGoneError: if the source no longer has the changes since the revision
        :raises SourceError: if the source gave no valid response
        """


class UpstreamLists(abc.ABC):
    """Reads lists of upstreams beside the thread that watches the source."""

    @abc.abstractmethod
    def read_list(self, timeout_s: float) -> stream_ranking.UpstreamList:
        """Return what the source lists now.

        :param timeout_s: timeout in seconds of each request
        :raises SourceError: if the source gave no valid response
        """

    @abc.abstractmethod
    def read_past(self, now_s: float, timeout_s: float) -> stream_ranking.PastChanges:
        """Return the oldest changes that the source still knows, up to now.

        :param now_s: this instance's clock in seconds
        :param timeout_s: timeout in seconds of each request
        :raises SourceError: if the source gave no valid response
        """


class NoLists(UpstreamLists):
    """Stands for a source that can't be read."""

    def read_list(self, timeout_s: float) -> stream_ranking.UpstreamList:
        """Raise an error."""
        raise SourceError("there is no source of lists")

    def read_past(self, now_s: float, timeout_s: float) -> stream_ranking.PastChanges:
        """Raise an error."""
        raise SourceError("there is no source of lists")
