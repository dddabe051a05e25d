"""Finds the part of prompts that crashes engines, and suspends the prompts that have it.

Each crash leaves several suspects: a prompt has sound parts beside the one that crashes, and an engine
takes sound generations with it. A part is cleared by any generation that has it and goes on. A prompt is
suspended only if it has every remaining suspect of several crashes, so that sound prompts, which share
some parts with it, still run and clear those. Where all its suspects were sound before, crashes count as
one if they happened together, since a whole pool may fail for another reason.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping
from typing import Final

from carawaydoor.policy import strikes

# One more than for a whole request, since sound generations are caught in crashes as well.
MIN_CRASHES: Final = 3
SUSPENSION_S: Final = 300.0
# A part that crashes engines does so when the output begins; a generation that has run for longer is
# sound.
CRASH_ONSET_S: Final = 1.0
# Peers repeat the same proof with slightly different ages.
SOUND_RESOLUTION_S: Final = 0.2
MAX_CRASHES: Final = 128
MAX_SOUND_PARTS: Final = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A generation that had just begun when its engine crashed.

    :ivar engine: the incarnation of the engine; all generations that it took with it have the same
    :ivar parts: digests of the shared parts of the prompt
    """

    engine: str
    request: str
    parts: frozenset[str]
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What is known about crashes and sound parts.

    :ivar crash_by_id: crashes by engine and request, oldest first
    :ivar sound_s_by_part: time in seconds at which a generation with the part was last seen to go
        on, least recent first
    :ivar engines_by_suspects: for each set of suspects that crashes leave, the time of the crash by
        engine
    """

    crash_by_id: Mapping[tuple[str, str], Crash]
    sound_s_by_part: Mapping[str, float]
    engines_by_suspects: Mapping[frozenset[str], Mapping[str, float]]


EMPTY: Final = Evidence({}, {}, {})


def record_crash(evidence: Evidence, now_s: float, crash: Crash) -> Evidence:
    """Return the evidence with a crash, unless it is known already."""
    crash_id = (crash.engine, crash.request)
    if not crash.parts or crash_id in evidence.crash_by_id:
        return evidence
    crashes = {
        key: each for key, each in evidence.crash_by_id.items() if each.at_s > now_s - SUSPENSION_S
    }
    crashes[crash_id] = crash
    if len(crashes) > MAX_CRASHES:
        del crashes[next(iter(crashes))]
    return _analyze(crashes, evidence.sound_s_by_part)


def record_sound(evidence: Evidence, at_s: float, parts: Iterable[str]) -> Evidence:
    """Return the evidence after a generation with these parts went on or ended well.

    :param at_s: time in seconds
    """
    known = evidence.sound_s_by_part
    newly_seen = [
        part for part in parts if at_s > known.get(part, float("-inf")) + SOUND_RESOLUTION_S
    ]
    if not newly_seen:
        return evidence
    sound_s_by_part = {part: each for part, each in known.items() if part not in newly_seen}
    sound_s_by_part.update(dict.fromkeys(newly_seen, at_s))
    while len(sound_s_by_part) > MAX_SOUND_PARTS:
        del sound_s_by_part[next(iter(sound_s_by_part))]
    if not evidence.crash_by_id:
        return dataclasses.replace(evidence, sound_s_by_part=sound_s_by_part)
    return _analyze(evidence.crash_by_id, sound_s_by_part)


def suspended_for_s(evidence: Evidence, now_s: float, parts: Iterable[str]) -> float:
    """Return how much longer a prompt with these shared parts is suspended, zero if it is not."""
    own_parts = frozenset(parts)
    crashed_s_by_engine: dict[str, float] = {}
    was_sound = True
    for suspects, engines in evidence.engines_by_suspects.items():
        if suspects <= own_parts:
            crashed_s_by_engine.update(engines)
            was_sound = was_sound and suspects <= evidence.sound_s_by_part.keys()
    newest_first = sorted(crashed_s_by_engine.values(), reverse=True)
    if len(newest_first) < MIN_CRASHES:
        return 0.0
    if was_sound and strikes.count_separate(newest_first) < MIN_CRASHES:
        return 0.0
    return max(0.0, newest_first[MIN_CRASHES - 1] + SUSPENSION_S - now_s)


def is_suspect(evidence: Evidence, parts: Iterable[str]) -> bool:
    """Return whether a crash leaves any of these parts as a suspect."""
    own_parts = frozenset(parts)
    return any(
        _candidates(each, evidence.sound_s_by_part) & own_parts
        for each in evidence.crash_by_id.values()
    )


def relevant_sound_parts(evidence: Evidence) -> dict[str, float]:
    """Return the sound parts that occur in crashes, with the time in seconds of the proof."""
    in_crashes = {part for each in evidence.crash_by_id.values() for part in each.parts}
    return {part: at_s for part, at_s in evidence.sound_s_by_part.items() if part in in_crashes}


def _analyze(
    crashes: Mapping[tuple[str, str], Crash], sound_s_by_part: Mapping[str, float]
) -> Evidence:
    candidates_by_id = {key: _candidates(each, sound_s_by_part) for key, each in crashes.items()}
    engines_by_part: dict[str, set[str]] = collections.defaultdict(set)
    for (engine, _), candidates in candidates_by_id.items():
        for part in candidates:
            engines_by_part[part].add(engine)
    suspects = {part for part, each in engines_by_part.items() if len(each) >= MIN_CRASHES}
    never_sound = suspects.difference(sound_s_by_part)
    explained_engines = {
        engine for (engine, _), each in candidates_by_id.items() if each & never_sound
    }
    engines_by_suspects: dict[frozenset[str], dict[str, float]] = collections.defaultdict(dict)
    for (engine, request), candidates in candidates_by_id.items():
        remaining = candidates & suspects
        is_bystander = engine in explained_engines and not remaining & never_sound
        if remaining and not is_bystander:
            engines_by_suspects[remaining][engine] = crashes[engine, request].at_s
    return Evidence(crashes, sound_s_by_part, engines_by_suspects)


def _candidates(crash: Crash, sound_s_by_part: Mapping[str, float]) -> frozenset[str]:
    """Return the parts that may have caused a crash: those never seen sound, if there are any."""
    never_sound = crash.parts.difference(sound_s_by_part)
    if never_sound:
        return never_sound
    return frozenset(part for part in crash.parts if sound_s_by_part[part] < crash.at_s)
