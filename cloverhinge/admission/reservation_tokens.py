"""Promises as signed words that a viewer may carry: no table is needed to believe them.  Free of I/O."""

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
    """`serial.made.quote.window` in hex (ms), and 128 bits of an HMAC-SHA256 over them, the client, viewer
    and class.

    So a ticket is of use to the viewer, client and class alone that it was made for.
    """

    def __init__(self, key: bytes, max_retry_after_ms: float) -> None:
        self.key = hashlib.sha256(b"cloverhinge ticket\0" + key).digest()
        self.max_retry_after_ms = max_retry_after_ms

    def _sign(self, words: str, client: str, viewer: int, class_name: str) -> str:
        told = f"{VERSION}.{words}/{client}/{viewer:x}/{class_name}"
        return hmac.new(self.key, told.encode(), hashlib.sha256).hexdigest()[:32]

    def write(self, client: str, one: Reservation) -> str:
        times = (one.made_ms, one.retry_after_ms, one.expires_ms - one.due_ms)
        words = ".".join(f"{int(x):x}" for x in (one.serial, *times))
        return f"{VERSION}.{words}.{self._sign(words, client, one.viewer, one.pool.class_name)}"

    def read(
        self,
        text: str,
        now: float,
        client: str,
        viewer: int,
        bucket: int,
        pool: Pool,
    ) -> Reservation | None:
        """None where it was not made here for this viewer, is cut, is over, or lies further ahead than any
        may."""
        found = TOKEN_PATTERN.fullmatch(text)
        if found is None:
            return None
        words, signed = text[2:].rpartition(".")[::2]
        if not hmac.compare_digest(signed, self._sign(words, client, viewer, pool.class_name)):
            return None
        serial, made, quote, window = (int(found[n], 16) for n in (1, 2, 3, 4))
        due = float(made + quote)
        if window > MAX_WINDOW_MS or not now - window <= due <= now + self.max_retry_after_ms:
            return None
        return Reservation(serial, viewer, bucket, pool, float(made), float(max(quote, 1)), due, due + window)
