"""Reads the events of one response, up to the first one that can't follow."""

from __future__ import annotations

import dataclasses
from typing import Final

from carawaydoor.policy import stream_sequence
from carawaydoor.serving import connections, event_splitter


class StreamEndedEarlyError(connections.ConnectionLostError):
    """A stream ended inside an event, or without any."""


class WrongContinuationError(connections.MalformedResponseError):
    """A response is not the rest of the stream that it was asked for.

    :ivar defect: why it is not
    """

    def __init__(self, defect: stream_sequence.Defect) -> None:
        super().__init__(f"not the rest of the stream: {defect.value}")
        self.defect: Final = defect


@dataclasses.dataclass(slots=True)
class Batch:
    """The part of a chunk of a response that its caller may get.

    :ivar content: complete events and comments
    :ivar defect: why the next event can't follow, None if all may
    """

    content: bytes
    defect: stream_sequence.Defect | None


class EventReader:
    """Reads the events of one response to a request for a stream, or for the rest of one.

    :param sequence: the events that the caller has; those that it may get are added
    :param log: counts the events of this response

    :ivar expects_rest: whether the response has to be the rest of a stream, and has no event yet
    :ivar has_content: whether the caller may get an event or a comment of this response
    """

    def __init__(
        self,
        splitter: event_splitter.EventSplitter,
        sequence: stream_sequence.EventSequence,
        log: stream_sequence.SequenceLog,
    ) -> None:
        self._splitter = splitter
        self._sequence = sequence
        self._log = log
        self.expects_rest = sequence.is_begun
        self.has_content = False

    def check_head(self, head: stream_sequence.Head) -> None:
        """Check the head of the first response to a caller that takes its stream up.

        :raises WrongContinuationError: if this is neither a failure nor the rest of that stream
        """
        if not self.expects_rest or head.is_unsuccessful:
            return
        defect = stream_sequence.head_defect(head, None)
        if defect is not None:
            raise WrongContinuationError(defect)

    def read(self, chunk: bytes) -> Batch:
        """Add a chunk of the response.

        :raises EventTooLongError: if an incomplete event exceeds the size limit, or the memory left
        """
        complete = self._splitter.feed(chunk)
        accepted: list[bytes] = []
        defect = None
        for content, event in event_splitter.parse_events(complete):
            step = self._sequence.step(event)
            self._log.record(event, step)
            defect = self._sequence.defect(event, step, self.expects_rest)
            if defect is not None:
                break
            self.expects_rest = self.expects_rest and event.is_comment
            self._sequence.record(event, step)
            accepted.append(content)
        self.has_content = self.has_content or bool(accepted)
        return Batch(b"".join(accepted), defect)

    def check_end(self, framing: connections.Framing, incomplete_bytes: int) -> None:
        """Check that the response may end here.

        :param incomplete_bytes: number of its bytes after the last complete event
        :raises StreamEndedEarlyError: if that is inside an event, or if its only framing is the end
            of the connection and it has no event
        :raises WrongContinuationError: if it has no event of the rest that it was asked for
        """
        if incomplete_bytes:
            raise StreamEndedEarlyError(f"{incomplete_bytes} bytes after the last event")
        if self.expects_rest:
            raise WrongContinuationError(stream_sequence.Defect.NO_EVENT)
        if framing is connections.Framing.CONNECTION_END and not self.has_content:
            raise StreamEndedEarlyError("the connection ended before the first event")
