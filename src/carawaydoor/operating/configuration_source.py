"""Interface of the source from which an instance reads its configuration and its upstreams."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import Mapping

from carawaydoor.policy import entities


class SourceError(Exception):
    """The source gave no valid response."""


class HistoryGoneError(Exception):
    """The source no longer has the changes since the given revision; read everything again."""


@dataclasses.dataclass(frozen=True, slots=True)
class SourceUpdate:
    """The source's full content, or the changes in it.

    :ivar configuration: newest configuration that can be decoded, None if there is no new one
    :ivar upstream_by_id: upstreams by their id; the value is None for a removed upstream
    :ivar revision: revision of the source up to which this update is complete
    :ivar configuration_revision: revision of the newest configuration, even if it can't be
        decoded; zero if there is no new one
    """

    configuration: entities.Configuration | None
    upstream_by_id: Mapping[str, entities.Upstream | None]
    revision: int
    configuration_revision: int = 0


class ConfigurationSource(abc.ABC):
    """A source of the configuration and the upstreams that can be read and watched."""

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
