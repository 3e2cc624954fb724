"""Keeps a valid certificate: loads the stored one, renews it before it expires, and swaps it at run time."""

from __future__ import annotations

import os
import random
import threading
from collections.abc import Callable
from datetime import UTC
from pathlib import Path
from typing import Any

from cryptography import x509
from twisted.internet.interfaces import IOpenSSLServerConnectionCreator
from twisted.internet.ssl import Certificate, CertificateOptions, KeyPair, PrivateCertificate
from twisted.logger import Logger
from zope.interface import implementer

from cloverhinge.acme.issue import IssuedCertificate, issue, new_account_key
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.site import AcmeSettings

RETRY_DELAYS_S = (
    60.0,
    6 * 3600.0,
)  # delay after a failed order: the first, doubled each time up to the second
RENEWAL_LIFETIME_FRACTION = 2 / 3  # a short-lived certificate is renewed after this part of its lifetime


def tls_context(issued: IssuedCertificate) -> tuple[Any, x509.Certificate]:
    """The TLS context for a certificate, and the leaf; raises ValueError where key and chain don't match."""
    chain = x509.load_pem_x509_certificates(issued.chain_pem)
    key = KeyPair.load(issued.key_pem, 1)
    leaf = PrivateCertificate.fromCertificateAndKeyPair(Certificate.loadPEM(issued.chain_pem), key)
    intermediates = [Certificate.loadPEM(x.public_bytes(_pem_encoding())).original for x in chain[1:]]
    options = CertificateOptions(
        privateKey=key.original, certificate=leaf.original, extraCertChain=intermediates
    )
    return options.getContext(), chain[0]


def _pem_encoding() -> Any:
    from cryptography.hazmat.primitives.serialization import Encoding

    return Encoding.PEM


@implementer(IOpenSSLServerConnectionCreator)
class LiveContext:
    """Gives each new connection the current certificate; open connections keep theirs."""

    def __init__(self) -> None:
        self.context: Any = None

    def serverConnectionForTLS(self, protocol: Any) -> Any:
        from OpenSSL.SSL import Connection

        return Connection(self.context, None)


class CertificateRenewal:
    """Obtains the certificate of a site and renews it `renew_before_s` before its end.

    A failed order is repeated after a growing delay; the current certificate stays in use meanwhile.
    """

    log = Logger()

    def __init__(
        self,
        settings: AcmeSettings,
        deadlines: Deadlines,
        call_from_thread: Callable[..., Any],
        on_first_certificate: Callable[[], None],
        rng: random.Random,
    ) -> None:
        """`on_first_certificate` is called once, when there is a certificate to serve with."""
        self.settings, self.deadlines, self.rng = settings, deadlines, rng
        self.call_from_thread, self.on_first_certificate = call_from_thread, on_first_certificate
        self.live = LiveContext()
        self.proofs: dict[str, str] = {}
        self.expires_ms: float | None = None
        self.error = ""
        self.failures = 0
        self.account_pem: bytes | None = None

    def start(self) -> None:
        """Use the stored certificate if it is valid, else order one."""
        self.account_pem = self._load("account.pem")
        key, chain = self._load("key.pem"), self._load("chain.pem")
        if key and chain:
            try:
                self._swap(IssuedCertificate(key, chain))
            except Exception as error:  # OpenSSL raises several types on a damaged file
                self.log.warn("the stored certificate can't be used: {error}", error=repr(error)[:200])
        if self.expires_ms is None:
            self._start_order()

    # An order runs in a thread, since the library's calls block and must not stop the reactor.  The thread is
    # a daemon, so that an authority that does not answer can't delay the end of the program.

    def _start_order(self) -> None:
        threading.Thread(target=self._run_order, name="acme", daemon=True).start()

    def _run_order(self) -> None:
        settings = self.settings
        try:
            if self.account_pem is None:
                self.account_pem = new_account_key()
                self._save("account.pem", self.account_pem)
            issued = issue(
                settings.directory,
                settings.domains,
                settings.contact,
                settings.ca_file,
                self.account_pem,
                self.proofs,
            )
        except Exception as error:
            self.call_from_thread(self._failed, error)
        else:
            self.call_from_thread(self._issued, issued)

    def _issued(self, issued: IssuedCertificate) -> None:
        try:
            self._swap(issued)
        except Exception as error:
            return self._failed(error)
        self.failures, self.error = 0, ""
        self._save("key.pem", issued.key_pem)
        self._save("chain.pem", issued.chain_pem)

    def _failed(self, error: BaseException) -> None:
        """Schedule another order, after a delay that doubles; the current certificate stays in use."""
        self.error = str(error)[:300]
        delay_s = min(RETRY_DELAYS_S[0] * 2**self.failures, RETRY_DELAYS_S[1]) * self.rng.uniform(0.8, 1.2)
        if self.expires_ms is not None:  # at the latest after half of the time that the certificate has left
            left_s = (self.expires_ms - self.deadlines.clock.now()) / 1000.0
            delay_s = max(1.0, min(delay_s, left_s / 2)) if left_s > 0 else delay_s
        self.failures += 1
        self.log.warn(
            "certificate order failed: {error}; next try in {delay} s", error=self.error, delay=round(delay_s)
        )
        self.deadlines.after(delay_s * 1000.0, self._start_order)

    def _swap(self, issued: IssuedCertificate) -> None:
        context, leaf = tls_context(issued)
        now = self.deadlines.clock.now()
        begins_ms = leaf.not_valid_before_utc.astimezone(UTC).timestamp() * 1000.0
        expires_ms = leaf.not_valid_after_utc.astimezone(UTC).timestamp() * 1000.0
        if expires_ms <= now:
            raise ValueError("the certificate has expired")
        first = self.live.context is None
        self.live.context, self.expires_ms = context, expires_ms
        renew_ms = max(
            expires_ms - self.settings.renew_before_s * 1000.0,
            begins_ms + (expires_ms - begins_ms) * RENEWAL_LIFETIME_FRACTION,
        )
        self.deadlines.schedule(max(renew_ms, now + 1000.0), self._start_order)
        self.log.info(
            "certificate for {names}: valid for {days} days",
            names=", ".join(self.settings.domains),
            days=round((expires_ms - now) / 86_400_000.0, 1),
        )
        if first:
            self.on_first_certificate()

    # Files that are kept over a restart, where the site names a folder for them

    def _load(self, name: str) -> bytes | None:
        if self.settings.state is None:
            return None
        try:
            return (self.settings.state / name).read_bytes()
        except OSError:
            return None

    def _save(self, name: str, data: bytes) -> None:
        if self.settings.state is None:
            return
        path: Path = self.settings.state / name
        try:
            self.settings.state.mkdir(parents=True, exist_ok=True)
            descriptor = os.open(path.with_suffix(".new"), os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            with os.fdopen(descriptor, "wb") as file:
                file.write(data)
            path.with_suffix(".new").replace(path)
        except OSError as error:
            self.log.warn("{path} can't be written: {error}", path=str(path), error=error.strerror)
