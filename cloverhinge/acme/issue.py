"""One order from start to certificate.  Blocks, so it runs in a thread of its own."""

from __future__ import annotations

import datetime
from collections.abc import MutableMapping
from dataclasses import dataclass

from acme import challenges, client, crypto_util, errors, messages
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from josepy.jwk import JWKRSA

CALL_TIMEOUT_S = 10  # for one call of the authority
ORDER_TIMEOUT_S = 90  # for a whole order


class IssueError(Exception):
    """The authority gave no certificate."""


@dataclass(frozen=True, slots=True)
class IssuedCertificate:
    key_pem: bytes
    chain_pem: bytes


def _private_pem(key: rsa.RSAPrivateKey | ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def new_account_key() -> bytes:
    return _private_pem(rsa.generate_private_key(65537, 2048))


def issue(
    directory: str,
    domains: tuple[str, ...],
    contact: str,
    ca_file: str,
    account_pem: bytes,
    proofs: MutableMapping[str, str],
) -> IssuedCertificate:
    """`proofs` is what the front answers to challenges; each proof is taken away again at the end."""
    placed: list[str] = []
    try:
        return _complete_order(directory, domains, contact, ca_file, account_pem, proofs, placed)
    except (errors.Error, messages.Error, OSError, ValueError) as error:
        raise IssueError(f"{type(error).__name__}: {error}"[:300]) from error
    finally:
        for token in placed:
            proofs.pop(token, None)


def _complete_order(
    directory: str,
    domains: tuple[str, ...],
    contact: str,
    ca_file: str,
    account_pem: bytes,
    proofs: MutableMapping[str, str],
    placed: list[str],
) -> IssuedCertificate:
    account = JWKRSA.load(account_pem)
    net = client.ClientNetwork(
        account,
        verify_ssl=ca_file or True,  # type: ignore[arg-type]
        user_agent="cloverhinge",
        timeout=CALL_TIMEOUT_S,
    )
    authority = client.ClientV2(client.ClientV2.get_directory(directory, net), net)
    wanted = messages.NewRegistration.from_data(email=contact or None, terms_of_service_agreed=True)
    try:
        authority.new_account(wanted)
    except errors.ConflictError as known:  # the account of an earlier start
        net.account = messages.RegistrationResource(uri=known.location, body=messages.Registration())
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
        placed.append(token)
        authority.answer_challenge(offered[0], response)
    deadline = datetime.datetime.now() + datetime.timedelta(seconds=ORDER_TIMEOUT_S)
    done = authority.poll_and_finalize(order, deadline)
    return IssuedCertificate(key_pem, done.fullchain_pem.encode())
