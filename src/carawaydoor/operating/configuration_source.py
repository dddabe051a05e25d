"""Where an instance learns its configuration and its upstreams from."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import Mapping

from carawaydoor.policy import model


class SourceError(Exception):
    """The source gave no usable answer."""


class HistoryGoneError(Exception):
    """The source no longer holds the changes that were asked for; all has to be read anew."""


@dataclasses.dataclass(frozen=True, slots=True)
class SourceUpdate:
    """What a source holds, or what has changed in it.

    :ivar configuration: the newest configuration, None where it has not changed
    :ivar upstream_by_id: upstreams; None stands for one that was removed
    :ivar revision: the source's revision that this reflects
    :ivar configuration_revision: revision of the newest configuration, also where that can't be
        decoded; zero where it has not changed
    """

    configuration: model.Configuration | None
    upstream_by_id: Mapping[str, model.Upstream | None]
    revision: int
    configuration_revision: int = 0


class ConfigurationSource(abc.ABC):
    """A source that can be read and watched."""

    @abc.abstractmethod
    def read(self, timeout_s: float) -> SourceUpdate:
        """Return all that the source holds.

        :param timeout_s: longest wait in seconds for one answer
        :raises SourceError: where there is no usable answer
        """

    @abc.abstractmethod
    def watch(self, after: int, wait_s: float, timeout_s: float) -> SourceUpdate:
        """Return the changes after a revision, as soon as there are any.

        :param wait_s: time in seconds after which the source answers without a change
        :param timeout_s: longest wait in seconds for the answer
        :raises HistoryGoneError: where all has to be read anew
        :raises SourceError: where there is no usable answer
        """
