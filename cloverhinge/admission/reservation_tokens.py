"""Reservations as signed tokens that a viewer may carry, verified without a table.  Free of I/O."""

from __future__ import annotations

import hashlib
import hmac
import re

from cloverhinge.admission.fair_queue import MAX_WINDOW_MS, Pool
from cloverhinge.admission.reservations import Reservation

VERSION = 1
TOKEN_PATTERN = re.compile(
    r"1\.([0-9a-f]{1,16})\.([0-9a-f]{1,12})\.([0-9a-f]{1,8})\.([0-9a-f]{1,8})\.([0-9a-f]{32})"
)


class ReservationTokens:
    """Writes and verifies reservation tokens.

    A token is the version, then `serial.made.retry-after.window` in hex (times in ms), then 128 bits of an
    HMAC-SHA256 over these, the client, the viewer and the class.  So a token is valid only for the viewer,
    client and class that it was made for.
    """

    def __init__(self, key: bytes, max_retry_after_ms: float) -> None:
        self.key = hashlib.sha256(b"cloverhinge ticket\0" + key).digest()
        self.max_retry_after_ms = max_retry_after_ms

    def _sign(self, payload: str, client: str, viewer: int, class_name: str) -> str:
        message = f"{VERSION}.{payload}/{client}/{viewer:x}/{class_name}"
        return hmac.new(self.key, message.encode(), hashlib.sha256).hexdigest()[:32]

    def write(self, client: str, reservation: Reservation) -> str:
        """The token of a reservation; times are truncated to whole ms."""
        times = (reservation.made_ms, reservation.retry_after_ms, reservation.expires_ms - reservation.due_ms)
        payload = ".".join(f"{int(x):x}" for x in (reservation.serial, *times))
        return (
            f"{VERSION}.{payload}."
            f"{self._sign(payload, client, reservation.viewer, reservation.pool.class_name)}"
        )

    def read(
        self,
        text: str,
        now: float,
        client: str,
        viewer: int,
        bucket: int,
        pool: Pool,
    ) -> Reservation | None:
        """The reservation of a token.

        None where the token is malformed, forged or made for another viewer, client or class, and where the
        reservation has expired or lies further ahead than `max_retry_after_ms`.
        """
        match = TOKEN_PATTERN.fullmatch(text)
        if match is None:
            return None
        payload, signature = text[2:].rpartition(".")[::2]
        if not hmac.compare_digest(signature, self._sign(payload, client, viewer, pool.class_name)):
            return None
        serial, made_ms, retry_after_ms, window_ms = (int(match[n], 16) for n in (1, 2, 3, 4))
        due_ms = float(made_ms + retry_after_ms)
        if window_ms > MAX_WINDOW_MS or not now - window_ms <= due_ms <= now + self.max_retry_after_ms:
            return None
        return Reservation(
            serial,
            viewer,
            bucket,
            pool,
            float(made_ms),
            float(max(retry_after_ms, 1)),
            due_ms,
            due_ms + window_ms,
        )
