"""The task that runs the decision core of this instance."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from concurrent import futures
from typing import Final

from carawaydoor.coordination import core_events, core_state, messages, state_machine, trace
from carawaydoor.operating import clocks, task

MAX_TICK_INTERVAL_S: Final = 0.25

EffectHandler = Callable[[core_events.Send | core_events.Run], None]
ReplyHandler = Callable[[messages.Message], None]


class CoreTask(task.MailboxTask[tuple[core_events.Event, ReplyHandler | None]]):
    """Applies events to the core one at a time and executes their effects."""

    def __init__(
        self, state: core_state.CoreState, clock: clocks.Clock, recorder: trace.Recorder
    ) -> None:
        super().__init__("core")
        self._state = state
        self._clock = clock
        self._recorder = recorder
        self._handle_effect: EffectHandler = _discard_effect
        self._reply_numbers = itertools.count(1)
        self._handler_by_reply_to: dict[int, ReplyHandler] = {}

    @property
    def state(self) -> core_state.CoreState:
        """The newest state; it is immutable and may be read from any thread."""
        return self._state

    def set_effect_handler(self, handle_effect: EffectHandler) -> None:
        """Set the function that sends messages and starts runs."""
        self._handle_effect = handle_effect

    def tell(self, event: core_events.Event) -> None:
        """Post an event that needs no answer."""
        self.post((event, None))

    @property
    def pending_answer_count(self) -> int:
        """The number of messages that are not answered yet."""
        return len(self._handler_by_reply_to)

    def receive(self, message: messages.Message, handle_reply: ReplyHandler | None) -> None:
        """Post a message from a peer or from a request on this instance.

        :param handle_reply: called with the answer in the thread of this task, None if no answer
            is wanted
        """
        self.post((core_events.Received(message), handle_reply))

    def ask(self, message: messages.Message) -> futures.Future[messages.Message]:
        """Post a message and return a future of its answer."""
        answer: futures.Future[messages.Message] = futures.Future()

        def handle_reply(result: messages.Message) -> None:
            if answer.set_running_or_notify_cancel():
                answer.set_result(result)

        self.receive(message, handle_reply)
        return answer

    def handle(self, message: tuple[core_events.Event, ReplyHandler | None]) -> None:
        """Apply one event."""
        event, handle_reply = message
        if isinstance(event, core_events.Received) and handle_reply is not None:
            reply_to = next(self._reply_numbers)
            self._handler_by_reply_to[reply_to] = handle_reply
            event = core_events.Received(event.message, reply_to)
        now_s, wall_s = self._clock.now_s(), self._clock.wall_s()
        self._state, effects = state_machine.step(self._state, now_s, wall_s, event)
        self._recorder.record(now_s, wall_s, event, effects)
        for effect in effects:
            self._apply_effect(effect)

    def _apply_effect(self, effect: core_events.Effect) -> None:
        match effect:
            case core_events.Reply():
                handle_reply = self._handler_by_reply_to.pop(effect.reply_to, None)
                if handle_reply is not None:
                    handle_reply(effect.message)
            case core_events.Send() | core_events.Run():
                self._handle_effect(effect)


def _discard_effect(effect: core_events.Send | core_events.Run) -> None:
    """Ignore an effect that comes before a handler is set."""


class Ticker(task.PeriodicTask):
    """Posts a tick to the core at a fixed interval."""

    def __init__(self, core: CoreTask, interval_s: float) -> None:
        super().__init__("ticker", min(interval_s, MAX_TICK_INTERVAL_S))
        self._core = core

    def run_iteration(self) -> None:
        """Post one tick."""
        self._core.tell(core_events.Ticked())
