"""The body of a response to a caller."""

from __future__ import annotations

from collections.abc import Callable, Iterator


class ResponseBody:
    """Yields the chunks of a body and runs a callback when the server closes it.

    WSGI servers call ``close`` both after the last chunk and after a caller disconnects.
    """

    def __init__(self, chunks: Iterator[bytes], finish: Callable[[], None]) -> None:
        self._chunks = chunks
        self._finish = finish

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Close the chunks and release what the request holds."""
        try:
            close = getattr(self._chunks, "close", None)
            if close is not None:
                close()
        finally:
            self._finish()
