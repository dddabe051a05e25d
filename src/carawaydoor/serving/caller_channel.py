"""Connections of callers whose responses are visibly truncated if their source fails."""

from __future__ import annotations

import socket
import struct
from typing import Final

import waitress.channel
import waitress.task

_RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)


class Task(waitress.task.WSGITask):  # type: ignore[misc]
    """Resets the connection if a response that only its end would frame breaks off."""

    def service(self) -> None:
        """Produce the response.

        :raises Exception: if the application fails; waitress then closes the connection
        """
        try:
            super().service()
        except Exception:
            if self.wrote_header and not self._has_framing and self.channel.connected:
                self.channel.reset_on_close()
            raise

    @property
    def _has_framing(self) -> bool:
        return bool(self.chunked_response) or self.content_length is not None


class Channel(waitress.channel.HTTPChannel):  # type: ignore[misc]
    """A connection of a caller."""

    task_class = Task

    def reset_on_close(self) -> None:
        """Have the caller see an error instead of an orderly end of the connection."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
