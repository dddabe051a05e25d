"""Keeps requests from crashing one upstream after the other, together with the peers."""

from __future__ import annotations

import dataclasses
import itertools
import threading
from collections.abc import Sequence

import eliot

from carawaydoor.fleet import report_selection, reports
from carawaydoor.operating import clocks
from carawaydoor.policy import crash_suspects, entities, sound_requests, strikes


@dataclasses.dataclass(frozen=True, slots=True)
class SharedEvidence:
    """What an instance tells its peers of crashes.

    :ivar sound_age_s_by_part: seconds since a generation with a part of prompts was seen to go on
    :ivar sound_age_s_by_request: seconds since the last sound run, for requests with strikes
    """

    strikes: tuple[reports.SharedStrike, ...]
    crashes: tuple[reports.SharedCrash, ...]
    sound_age_s_by_part: dict[str, float]
    sound_age_s_by_request: dict[str, float]


class CrashGuard:
    """Strikes against whole requests, and the evidence against parts of prompts."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._strikes = strikes.EMPTY
        self._evidence = crash_suspects.EMPTY
        self._sound = sound_requests.SoundRequests()
        self._rounds = itertools.count()

    def record_crash(
        self,
        request: str,
        fingerprint: str,
        upstream: entities.Upstream,
        shared_parts: Sequence[str],
    ) -> None:
        """Record that an upstream crashed while it ran a request.

        :param request: id of the request
        :param shared_parts: suspect parts of its prompt, none if they can't have caused the crash
        """
        now_s = self._clock.now_s()
        incarnation = f"{upstream.id}/{upstream.born_ms}"
        crash = crash_suspects.Crash(incarnation, request, frozenset(shared_parts), now_s)
        with self._lock:
            self._strikes = strikes.add(self._strikes, now_s, fingerprint, incarnation)
            self._evidence = crash_suspects.record_crash(self._evidence, now_s, crash)
            suspended_s = crash_suspects.suspended_for_s(self._evidence, now_s, shared_parts)
        eliot.log_message(
            message_type="request_struck",
            request=request,
            fingerprint=fingerprint,
            upstream=upstream.id,
            suspect_parts=list(shared_parts),
            parts_suspended_s=round(suspended_s, 3),
        )

    def record_sound(self, fingerprint: str, shared_parts: Sequence[str] = ()) -> None:
        """Record that an upstream has not crashed while it ran a request.

        :param shared_parts: parts of its prompt, if it is a generation that goes on or has ended well
        """
        now_s = self._clock.now_s()
        with self._lock:
            cleared = strikes.count_after(
                self._strikes, now_s, fingerprint, self._sound.last_s(fingerprint)
            )
            self._sound.record(fingerprint, now_s)
            self._evidence = crash_suspects.record_sound(self._evidence, now_s, shared_parts)
        if cleared:
            eliot.log_message(
                message_type="strikes_taken_back", fingerprint=fingerprint, strikes=cleared
            )

    def is_suspect(self, fingerprint: str, shared_parts: Sequence[str]) -> bool:
        """Return whether a sound run of a request would tell more about earlier crashes."""
        with self._lock:
            return strikes.has_any(
                self._strikes, self._clock.now_s(), fingerprint
            ) or crash_suspects.is_suspect(self._evidence, shared_parts)

    def suspended_for_s(self, fingerprint: str, shared_parts: Sequence[str]) -> float:
        """Return for how many more seconds a request is suspended, zero if it is not."""
        now_s = self._clock.now_s()
        sound_s = self._sound.last_s(fingerprint)
        return max(
            strikes.suspended_for_s(self._strikes, now_s, fingerprint, sound_s),
            crash_suspects.suspended_for_s(self._evidence, now_s, shared_parts),
        )

    def share(self) -> SharedEvidence:
        """Return what belongs into the next report."""
        now_s = self._clock.now_s()
        with self._lock:
            known_strikes, evidence = self._strikes, self._evidence
            sound_s_by_request = self._sound.known(known_strikes.strikes_by_fingerprint)
            turn = next(self._rounds)
        struck = [
            reports.SharedStrike(fingerprint, strikes.Strike(each.id, now_s - each.at_s))
            for fingerprint, known in known_strikes.strikes_by_fingerprint.items()
            for each in known
            if now_s - each.at_s < strikes.SUSPENSION_S
        ]
        crashed = [
            reports.SharedCrash(each.engine, each.request, tuple(each.parts), now_s - each.at_s)
            for each in evidence.crash_by_id.values()
            if now_s - each.at_s < crash_suspects.SUSPENSION_S
        ]
        sound = [
            (part, now_s - at_s)
            for part, at_s in crash_suspects.relevant_sound_parts(evidence).items()
        ]
        sound_requests_ages = [(key, now_s - at_s) for key, at_s in sound_s_by_request.items()]
        return SharedEvidence(
            report_selection.select(struck, [each.strike.at_s for each in struck], turn),
            report_selection.select(crashed, [each.age_s for each in crashed], turn),
            _select_ages(sound, turn),
            _select_ages(sound_requests_ages, turn),
        )

    def apply_strike(self, shared: reports.SharedStrike) -> None:
        """Record a strike that a peer reported."""
        at_s = self._clock.now_s() - shared.strike.at_s
        with self._lock:
            self._strikes = strikes.add(self._strikes, at_s, shared.fingerprint, shared.strike.id)

    def apply_crash(self, shared: reports.SharedCrash) -> None:
        """Record a crash that a peer reported."""
        now_s = self._clock.now_s()
        crash = crash_suspects.Crash(
            shared.engine, shared.request, frozenset(shared.parts), now_s - shared.age_s
        )
        with self._lock:
            self._evidence = crash_suspects.record_crash(self._evidence, now_s, crash)

    def apply_sound_request(self, fingerprint: str, age_s: float) -> None:
        """Record that a peer has seen a request run without a crash."""
        with self._lock:
            self._sound.record(fingerprint, self._clock.now_s() - age_s)

    def apply_sound_part(self, part: str, age_s: float) -> None:
        """Record that a peer has seen a part to be sound."""
        at_s = self._clock.now_s() - age_s
        with self._lock:
            self._evidence = crash_suspects.record_sound(self._evidence, at_s, (part,))


def _select_ages(ages: Sequence[tuple[str, float]], turn: int) -> dict[str, float]:
    return dict(report_selection.select(ages, [age_s for _, age_s in ages], turn))
