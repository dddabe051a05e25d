"""Finds out whether an upstream crashed while it ran a request."""

from __future__ import annotations

from typing import Final

import eliot

from carawaydoor.policy import entities
from carawaydoor.serving import connections, http_exchange, instance_state

# A crashed upstream refuses a connection within a round trip.
QUICK_CRASH_CHECK_TIMEOUT_S: Final = 0.05


class CrashChecker:
    """Connects to upstreams after responses that broke off, or that may have."""

    def __init__(self, instance: instance_state.InstanceState) -> None:
        self._instance = instance

    def check_later(
        self,
        exchange: http_exchange.HttpExchange,
        upstream: entities.Upstream,
        suspect_parts: tuple[str, ...] = (),
    ) -> None:
        """Check whether the upstream crashed on the request, once the caller has its response.

        :param suspect_parts: parts of the prompt that may have caused a crash
        """
        exchange.cleanup.callback(self._finish_crash_check, exchange, upstream, suspect_parts)

    def check_at_onset(
        self, exchange: http_exchange.HttpExchange, upstream: entities.Upstream
    ) -> None:
        """Check whether the upstream crashed when it began to write the response.

        The check is quick, so that its result counts before the request is sent elsewhere. Where it
        has none, it is repeated once the caller has its response.
        """
        try:
            self._instance.connection_pool.acquire(
                upstream, new_only=True, connect_timeout_s=QUICK_CRASH_CHECK_TIMEOUT_S
            ).close()
        except connections.NoListenerError:
            self._record_crash(exchange, upstream, exchange.shared_parts)
        except connections.NotSentError:
            # Logged by the second check if that has no result either.
            self.check_later(exchange, upstream, exchange.shared_parts)

    def check_survival_later(
        self,
        exchange: http_exchange.HttpExchange,
        upstream: entities.Upstream,
        shared_parts: tuple[str, ...] = (),
    ) -> None:
        """Check whether the upstream still runs after a response that its connection's end framed.

        A crash also ends the connection. Only done where a sound run would clear a suspicion, and
        once the caller has its response.

        :param shared_parts: parts of the prompt that a sound run clears
        """
        if self._instance.crash_guard.is_suspect(exchange.fingerprint, shared_parts):
            exchange.cleanup.callback(self._finish_survival_check, exchange, upstream, shared_parts)

    def _finish_survival_check(
        self,
        exchange: http_exchange.HttpExchange,
        upstream: entities.Upstream,
        shared_parts: tuple[str, ...],
    ) -> None:
        if self._is_listening(exchange, upstream, shared_parts):
            self._instance.crash_guard.record_sound(exchange.fingerprint, shared_parts)

    def _finish_crash_check(
        self,
        exchange: http_exchange.HttpExchange,
        upstream: entities.Upstream,
        suspect_parts: tuple[str, ...],
    ) -> None:
        # An upstream that listens may have started again since.
        self._is_listening(exchange, upstream, suspect_parts)

    def _is_listening(
        self,
        exchange: http_exchange.HttpExchange,
        upstream: entities.Upstream,
        suspect_parts: tuple[str, ...],
    ) -> bool:
        """Return whether an upstream accepts connections, and record a crash if it refuses them."""
        try:
            self._instance.connection_pool.acquire(upstream, new_only=True).close()
        except connections.NoListenerError:
            self._record_crash(exchange, upstream, suspect_parts)
        except connections.NotSentError as error:
            # Without a refused connection, a crash looks like a network partition, so the request
            # gets no strike.
            eliot.log_message(
                message_type="crash_not_confirmed",
                request=exchange.inbound.id,
                upstream=upstream.id,
                detail=str(error),
            )
        else:
            return True
        return False

    def _record_crash(
        self,
        exchange: http_exchange.HttpExchange,
        upstream: entities.Upstream,
        suspect_parts: tuple[str, ...],
    ) -> None:
        if not self._instance.reach.confirms(upstream):
            # This instance may have lost its links, and the upstream may live.
            eliot.log_message(
                message_type="crash_not_confirmed",
                request=exchange.inbound.id,
                upstream=upstream.id,
                detail="no other upstream of the service can be reached either",
            )
            return
        self._instance.crash_guard.record_crash(
            exchange.inbound.id, exchange.fingerprint, upstream, suspect_parts
        )
