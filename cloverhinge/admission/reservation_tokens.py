"""Promises as signed words that a viewer may carry: no table is needed to believe them.  Free of I/O."""

from __future__ import annotations

import hashlib
import hmac
import re

from cloverhinge.admission.fair_queue import WINDOW_MOST_MS, Pool
from cloverhinge.admission.reservations import Promise

VERSION = 1
SHAPE = re.compile(r"1\.([0-9a-f]{1,16})\.([0-9a-f]{1,12})\.([0-9a-f]{1,8})\.([0-9a-f]{1,8})\.([0-9a-f]{32})")


class Tickets:
    """`serial.made.quote.window` in hex (ms), and 128 bits of an HMAC-SHA256 over them, the client, viewer
    and class.

    So a ticket is of use to the viewer, client and class alone that it was made for.
    """

    def __init__(self, key: bytes, quote_most_ms: float) -> None:
        self.key = hashlib.sha256(b"cloverhinge ticket\0" + key).digest()
        self.quote_most_ms = quote_most_ms

    def _sign(self, words: str, client: str, viewer: int, class_name: str) -> str:
        told = f"{VERSION}.{words}/{client}/{viewer:x}/{class_name}"
        return hmac.new(self.key, told.encode(), hashlib.sha256).hexdigest()[:32]

    def write(self, client: str, one: Promise) -> str:
        times = (one.made_ms, one.quote_ms, one.until_ms - one.due_ms)
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
    ) -> Promise | None:
        """None where it was not made here for this viewer, is cut, is over, or lies further ahead than any
        may."""
        found = SHAPE.fullmatch(text)
        if found is None:
            return None
        words, signed = text[2:].rpartition(".")[::2]
        if not hmac.compare_digest(signed, self._sign(words, client, viewer, pool.class_name)):
            return None
        serial, made, quote, window = (int(found[n], 16) for n in (1, 2, 3, 4))
        due = float(made + quote)
        if window > WINDOW_MOST_MS or not now - window <= due <= now + self.quote_most_ms:
            return None
        return Promise(serial, viewer, bucket, pool, float(made), float(max(quote, 1)), due, due + window)
