"""The body of an answer to a caller."""

from __future__ import annotations

from collections.abc import Callable, Iterator


class ResponseBody:
    """Frees what the request holds once the body is sent or given up."""

    def __init__(self, chunks: Iterator[bytes], finish: Callable[[], None]) -> None:
        self._chunks = chunks
        self._finish = finish

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Free what the request holds."""
        try:
            close = getattr(self._chunks, "close", None)
            if close is not None:
                close()
        finally:
            self._finish()
