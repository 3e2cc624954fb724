"""A stand-in certificate authority after RFC 8555 that checks nonces, signatures and http-01 challenges."""

from __future__ import annotations

import datetime
import http.client
import json
import secrets
import threading
from concurrent.futures import Future
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.serialization import Encoding
from cryptography.x509.oid import NameOID
from josepy.b64 import b64decode, b64encode
from josepy.jwk import JWK
from josepy.jws import JWS

DAY = datetime.timedelta(days=1)


class Authority:
    """An authority on the loopback; it validates every domain at the port that `front` resolves to.

    While `refusing` is set, each order is refused with rateLimited.
    """

    def __init__(self, life: datetime.timedelta = 90 * DAY) -> None:
        self.front: Future[int] = Future()  # the port of the HLS front, set once it listens
        self.life, self.refusing, self.issued = life, False, 0
        self.order_seen = threading.Semaphore(0)
        self.nonces: set[str] = set()
        self.accounts: dict[str, Any] = {}
        self.orders: dict[str, dict[str, Any]] = {}
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "stand-in authority")])
        authority = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def reply(self, status: int, content: Any, **fields: str) -> None:
                nonce = secrets.token_hex(8)
                authority.nonces.add(nonce)
                data = content if isinstance(content, bytes) else json.dumps(content).encode()
                self.send_response(status)
                for name, value in {
                    "Replay-Nonce": nonce,
                    "Content-Length": str(len(data)),
                    "Content-Type": "application/json",
                    **fields,
                }.items():
                    self.send_header(name.replace("_", "-"), value)
                self.end_headers()
                if self.command != "HEAD":
                    self.wfile.write(data)

            def do_HEAD(self) -> None:
                self.reply(200, b"")

            def do_GET(self) -> None:
                url = authority.url
                self.reply(
                    200,
                    {"newNonce": f"{url}/nonce", "newAccount": f"{url}/account", "newOrder": f"{url}/order"},
                )

            def do_POST(self) -> None:
                data = self.rfile.read(int(self.headers["Content-Length"]))
                try:
                    status, content, fields = authority.post(self.path, data)
                    self.reply(status, content, **fields)
                except Refused as error:
                    self.reply(
                        403,
                        {"type": f"urn:ietf:params:acme:error:{error}", "detail": str(error)},
                        Content_Type="application/problem+json",
                    )

            def log_message(self, *_: Any) -> None:
                pass

        self.web = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.web.daemon_threads = True
        self.url = f"http://127.0.0.1:{self.web.server_port}"
        threading.Thread(target=self.web.serve_forever, args=(0.05,), daemon=True).start()

    def stop(self) -> None:
        self.web.shutdown()
        self.web.server_close()

    def verified(self, path: str, data: bytes) -> tuple[str, Any, Any]:
        """The account, its key and the payload of a signed request; raises `Refused`."""
        signed = json.loads(data)
        protected = json.loads(b64decode(signed["protected"]))
        if protected["nonce"] not in self.nonces or protected["url"] != self.url + path:
            raise Refused("badNonce")
        self.nonces.discard(protected["nonce"])
        kid = protected.get("kid", "")
        key = JWK.from_json(protected["jwk"]) if "jwk" in protected else self.accounts[kid]
        if not JWS.from_json(
            {
                "payload": signed["payload"],
                "signatures": [
                    {"protected": signed["protected"], "signature": signed["signature"], "header": {}}
                ],
            }
        ).verify(key):
            raise Refused("unauthorized")
        payload = b64decode(signed["payload"])
        return kid, key, json.loads(payload) if payload else None

    def post(self, path: str, data: bytes) -> tuple[int, Any, dict[str, str]]:
        kid, key, payload = self.verified(path, data)
        resource, _, name = path[1:].partition("/")
        if resource == "account":
            kid = next((k for k, known_key in self.accounts.items() if known_key == key), "")
            known, kid = bool(kid), kid or f"{self.url}/account/{secrets.token_hex(4)}"
            self.accounts[kid] = key
            return 200 if known else 201, {"status": "valid"}, {"Location": kid}
        if resource == "order" and not name:
            self.order_seen.release()
            if self.refusing:
                raise Refused("rateLimited")
            name = secrets.token_hex(4)
            self.orders[name] = {
                "names": [x["value"] for x in payload["identifiers"]],
                "valid": False,
                "token": b64encode(secrets.token_bytes(32)).decode(),
            }
            return 201, self.order(name), {"Location": f"{self.url}/order/{name}"}
        order = self.orders[name]
        if resource == "order":
            return 200, self.order(name), {"Location": f"{self.url}/order/{name}"}
        if resource == "authz":
            return 200, self.authorization(name), {}
        if resource == "challenge":
            connection = http.client.HTTPConnection("127.0.0.1", self.front.result(5), timeout=5)
            connection.request("GET", f"/.well-known/acme-challenge/{order['token']}")
            thumbprint = b64encode(key.thumbprint()).decode()
            order["valid"] = connection.getresponse().read().decode() == f"{order['token']}.{thumbprint}"
            connection.close()
            up = f'<{self.url}/authz/{name}>;rel="up"'
            return 200, self.authorization(name)["challenges"][0], {"Link": up}
        if resource == "finalize":
            if not order["valid"]:
                raise Refused("orderNotReady")
            order["chain"] = self.sign(x509.load_der_x509_csr(b64decode(payload["csr"])))
            return 200, self.order(name), {}
        return 200, order["chain"], {"Content_Type": "application/pem-certificate-chain"}

    def order(self, name: str) -> dict[str, Any]:
        order = self.orders[name]
        status = "valid" if "chain" in order else "ready" if order["valid"] else "pending"
        return {
            "status": status,
            "identifiers": [{"type": "dns", "value": x} for x in order["names"]],
            "authorizations": [f"{self.url}/authz/{name}"],
            "finalize": f"{self.url}/finalize/{name}",
            **({"certificate": f"{self.url}/chain/{name}"} if "chain" in order else {}),
        }

    def authorization(self, name: str) -> dict[str, Any]:
        order = self.orders[name]
        status = "valid" if order["valid"] else "pending"
        return {
            "status": status,
            "identifier": {"type": "dns", "value": order["names"][0]},
            "challenges": [
                {
                    "type": "http-01",
                    "status": status,
                    "url": f"{self.url}/challenge/{name}",
                    "token": order["token"],
                }
            ],
        }

    def sign(self, csr: x509.CertificateSigningRequest) -> bytes:
        now = datetime.datetime.now(datetime.UTC)
        names = csr.extensions.get_extension_for_class(x509.SubjectAlternativeName)
        self.issued += 1
        certificate = (
            x509.CertificateBuilder()
            .subject_name(x509.Name([]))
            .issuer_name(self.name)
            .public_key(csr.public_key())
            .serial_number(1000 + self.issued)
            .not_valid_before(now - datetime.timedelta(seconds=5))
            .not_valid_after(now + self.life)
            .add_extension(names.value, critical=True)
            .sign(self.key, hashes.SHA256())
        )
        return certificate.public_bytes(Encoding.PEM)


class Refused(Exception):
    """A request is refused; the text is the ACME error type."""
