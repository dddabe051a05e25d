"""Replays a recorded trace through the decision core."""

from __future__ import annotations

import dataclasses
import json
import pathlib

import expression

from carawaydoor.coordination import core_state, ownership, state_machine, trace


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A step whose effects differ from the recorded ones."""

    line: int
    detail: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.detail}"


def run(path: pathlib.Path) -> expression.Result[int, Difference]:
    """Replay a trace and return the number of its steps, or the first difference.

    :param path: trace that a daemon recorded
    """
    number = 0
    try:
        with path.open(encoding="utf-8") as lines:
            state = _first_state(next(lines))
            for number, line in enumerate(lines, start=1):
                state, difference = _step(state, line)
                if difference:
                    return expression.Error(Difference(number + 1, difference))
    except (OSError, StopIteration, ValueError, KeyError, TypeError) as error:
        return expression.Error(Difference(number + 1, f"not a trace: {error!r}"))
    return expression.Ok(number)


def _first_state(line: str) -> core_state.CoreState:
    origin = trace.Origin(**json.loads(line))
    timing = ownership.Timing(origin.lease_s, origin.takeover_s)
    member = ownership.create(
        origin.instance, origin.incarnation, origin.failure_domain, timing, origin.started_s
    )
    return core_state.create(member, trace.REPLAY_SECRET)


def _step(state: core_state.CoreState, line: str) -> tuple[core_state.CoreState, str]:
    """Return the next state and a description of differing effects, empty if there are none."""
    document = json.loads(line)
    event = trace.decode(document["event"])
    state, effects = state_machine.step(state, document["now_s"], document["wall_s"], event)
    encoded = [trace.encode(trace.redact(each, trace.REPLAY_SECRET)) for each in effects]
    actual = json.loads(json.dumps(encoded))
    if actual != document["effects"]:
        return state, f"recorded {document['effects']}, got {actual}"
    return state, ""
