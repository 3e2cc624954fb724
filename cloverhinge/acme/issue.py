"""One ACME order, from the account to the certificate.  Blocks, so it must run in its own thread."""

from __future__ import annotations

import datetime
from collections.abc import MutableMapping
from dataclasses import dataclass

from acme import challenges, client, crypto_util, errors, messages
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from josepy.jwk import JWKRSA

CALL_TIMEOUT_S = 10  # for one request to the authority
ORDER_TIMEOUT_S = 90  # for the authority to validate the domains and issue the certificate


class IssueError(Exception):
    """The authority gave no certificate."""


@dataclass(frozen=True, slots=True)
class IssuedCertificate:
    """A private key and its certificate chain, leaf first, both as PEM."""

    key_pem: bytes
    chain_pem: bytes


def _private_pem(key: rsa.RSAPrivateKey | ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def new_account_key() -> bytes:
    """A new RSA key for an ACME account, as PEM."""
    return _private_pem(rsa.generate_private_key(65537, 2048))


def issue(
    directory: str,
    domains: tuple[str, ...],
    contact: str,
    ca_file: str,
    account_pem: bytes,
    proofs: MutableMapping[str, str],
) -> IssuedCertificate:
    """Obtain a certificate for `domains` from the authority at `directory`; raises `IssueError`.

    `proofs` maps the tokens of challenges to what the HLS front answers; the proofs of this order are removed
    at its end.  `ca_file` holds the CA certificates to verify the authority with, by default the system's.
    """
    added_tokens: list[str] = []
    try:
        return _complete_order(directory, domains, contact, ca_file, account_pem, proofs, added_tokens)
    except (errors.Error, messages.Error, OSError, ValueError) as error:
        raise IssueError(f"{type(error).__name__}: {error}"[:300]) from error
    finally:
        for token in added_tokens:
            proofs.pop(token, None)


def _complete_order(
    directory: str,
    domains: tuple[str, ...],
    contact: str,
    ca_file: str,
    account_pem: bytes,
    proofs: MutableMapping[str, str],
    added_tokens: list[str],
) -> IssuedCertificate:
    account = JWKRSA.load(account_pem)
    net = client.ClientNetwork(
        account,
        verify_ssl=ca_file or True,  # type: ignore[arg-type]
        user_agent="cloverhinge",
        timeout=CALL_TIMEOUT_S,
    )
    authority = client.ClientV2(client.ClientV2.get_directory(directory, net), net)
    registration = messages.NewRegistration.from_data(email=contact or None, terms_of_service_agreed=True)
    try:
        authority.new_account(registration)
    except errors.ConflictError as existing:  # the account was registered by an earlier start
        net.account = messages.RegistrationResource(uri=existing.location, body=messages.Registration())
    key_pem = _private_pem(ec.generate_private_key(ec.SECP256R1()))
    order = authority.new_order(crypto_util.make_csr(key_pem, list(domains)))
    for authorization in order.authorizations:
        if authorization.body.status == messages.STATUS_VALID:
            continue
        offered = [x for x in authorization.body.challenges if isinstance(x.chall, challenges.HTTP01)]
        if not offered:
            raise IssueError(f"no http-01 for {authorization.body.identifier.value}")
        response, proof = offered[0].chall.response_and_validation(account)
        token = offered[0].chall.encode("token")
        proofs[token] = proof
        added_tokens.append(token)
        authority.answer_challenge(offered[0], response)
    deadline = datetime.datetime.now() + datetime.timedelta(seconds=ORDER_TIMEOUT_S)
    finalized = authority.poll_and_finalize(order, deadline)
    return IssuedCertificate(key_pem, finalized.fullchain_pem.encode())
