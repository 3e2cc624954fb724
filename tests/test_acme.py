"""Certificates from a stand-in authority, and how the console shows them."""

from __future__ import annotations

import datetime
import http.client
import json
import queue
import random
import socket
import ssl
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from cloverhinge.acme.issue import issue, new_account_key
from cloverhinge.acme.renewal import CertificateRenewal
from cloverhinge.core.clock import ManualClock
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.lab.harness import ROOT, TIMEOUT_S, running_program
from cloverhinge.operations import console
from cloverhinge.site import AcmeSettings
from tests.authority import Authority
from tests.test_hls import MediaBox

DOMAIN = "training.example"


@pytest.fixture
def authority() -> Iterator[Authority]:
    stand_in = Authority()
    yield stand_in
    stand_in.stop()


def certificate(port: int) -> int:
    """The serial number of the certificate that is served."""
    context = ssl.create_default_context()
    context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
    with (
        socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as connection,
        context.wrap_socket(connection, server_hostname=DOMAIN) as tls,
    ):
        tls.sendall(b"GET /play/none/none HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        assert tls.recv(12) == b"HTTP/1.1 404"
        from cryptography import x509

        return x509.load_der_x509_certificate(tls.getpeercert(True) or b"").serial_number


def test_the_front_serves_with_a_certificate_that_it_ordered(tmp_path: Path, authority: Authority) -> None:
    (tmp_path / "site.toml").write_text(
        f'[hls]\nlisten = "127.0.0.1:0"\nkey = "{"k" * 32}"\n[admin]\nlisten = "127.0.0.1:0"\n'
        f'[acme]\ndirectory = "{authority.url}"\ndomains = ["{DOMAIN}"]\nlisten = "127.0.0.1:0"\n'
        f'state = "{tmp_path / "state"}"\n'
    )
    serials = []
    for _ in range(2):
        with running_program(tmp_path, 1, site_file=tmp_path / "site.toml") as (program, _, _log):
            admin = int(program.wait_for(r"admin on 127\.0\.0\.1:(\d+)")[1])
            front = int(program.wait_for(r"HLS on 127\.0\.0\.1:(\d+)")[1])
            if not authority.front.done():
                authority.front.set_result(front)
            tls = int(program.wait_for(r"HLS over TLS on 127\.0\.0\.1:(\d+)")[1])
            serials.append(certificate(tls))
            view = "\n".join(console.render_status(console.fetch_status(("127.0.0.1", admin))))
            assert f"certificate for {DOMAIN}: good until" in view and "s-00000000" in view
    assert serials[0] == serials[1] == 1001 and authority.issued == 1  # the second start loads the stored one
    assert (tmp_path / "state" / "key.pem").stat().st_mode & 0o77 == 0


# Guards against set-ups over TLS that fail because the player's connection can't be looked at under TLS.
def test_a_session_is_set_up_over_tls(tmp_path: Path, authority: Authority) -> None:
    server = MediaBox("s-00000000", 0, queue.Queue())
    (tmp_path / "site.toml").write_text(
        f'[hls]\nlisten = "127.0.0.1:0"\nkey = "{"k" * 32}"\n'
        f'[hls.boxes]\n{server.name} = "{server.origin}"\n[hls.titles.intro]\ncopies = 3\n'
        f'[acme]\ndirectory = "{authority.url}"\ndomains = ["{DOMAIN}"]\nlisten = "127.0.0.1:0"\n'
        f'state = "{tmp_path / "state"}"\n'
    )
    with running_program(tmp_path, servers=[server], site_file=tmp_path / "site.toml") as (program, _, _log):
        authority.front.set_result(int(program.wait_for(r"HLS on 127\.0\.0\.1:(\d+)")[1]))
        port = int(program.wait_for(r"HLS over TLS on 127\.0\.0\.1:(\d+)")[1])
        context = ssl.create_default_context()
        context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
        connection = http.client.HTTPSConnection("127.0.0.1", port, timeout=TIMEOUT_S, context=context)
        connection.request("GET", "/play/paid/intro?play=play-00000001")
        response = connection.getresponse()
        assert response.status == 200 and b"EXTM3U" in response.read()
        connection.close()


class RenewalHarness:
    """A `CertificateRenewal` on a manual clock; orders run in threads, `turn` handles their results."""

    def __init__(self, authority: Authority, folder: Path, **changes: Any) -> None:
        self.clock = ManualClock(datetime.datetime.now().timestamp() * 1000.0)
        self.deadlines = Deadlines(self.clock)
        self.calls: list[tuple[Any, ...]] = []
        self.called = threading.Semaphore(0)
        settings: dict[str, Any] = {
            "directory": authority.url,
            "domains": (DOMAIN,),
            "contact": "",
            "listen": ("127.0.0.1", 0),
            "state": folder,
            "ca_file": "",
            "renew_before_s": 30 * 86400.0,
            **changes,
        }
        self.first_certificates = 0
        self.renewal = CertificateRenewal(
            AcmeSettings(**settings), self.deadlines, self._call, self._first_certificate, random.Random(1)
        )

    def _first_certificate(self) -> None:
        self.first_certificates += 1

    def _call(self, *call: Any) -> None:
        self.calls.append(call)
        self.called.release()

    def turn(self) -> None:
        assert self.called.acquire(timeout=TIMEOUT_S)
        function, *arguments = self.calls.pop(0)
        function(*arguments)

    def pass_days(self, days: float) -> None:
        self.clock.advance(days * 86_400_000.0)
        self.deadlines.run()


@pytest.fixture
def answering(authority: Authority) -> Iterator[dict[str, str]]:
    """A server that answers the challenges, in place of the program's HLS front."""
    from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

    proofs: dict[str, str] = {}

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            self.send_response(200)
            self.end_headers()
            self.wfile.write(proofs.get(self.path.split("/")[-1], "").encode())

        def log_message(self, *_: Any) -> None:
            pass

    web = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=web.serve_forever, args=(0.05,), daemon=True).start()
    authority.front.set_result(web.server_port)
    yield proofs
    web.shutdown()
    web.server_close()


def test_a_certificate_is_renewed_before_its_end_and_stays_in_use_after_a_failure(
    tmp_path: Path, authority: Authority, answering: dict[str, str]
) -> None:
    harness = RenewalHarness(authority, tmp_path)
    harness.renewal.proofs = answering
    harness.renewal.start()
    harness.turn()
    first = harness.renewal.live.context
    assert (
        first is not None and harness.first_certificates == 1 and not answering
    ), "proofs are removed after the order"
    harness.pass_days(59)
    assert authority.issued == 1
    authority.refusing = True
    harness.pass_days(2)
    harness.turn()
    assert harness.renewal.live.context is first and "rateLimited" in harness.renewal.error
    harness.pass_days(0.01)  # the first delay is about a minute
    harness.turn()
    assert harness.renewal.failures == 2 and len(harness.deadlines) == 1
    authority.refusing = False
    harness.pass_days(0.01)
    harness.turn()
    assert harness.renewal.live.context not in (None, first) and harness.first_certificates == 1
    assert (harness.renewal.error, harness.renewal.failures, authority.issued) == ("", 0, 2)


def test_a_damaged_stored_certificate_is_replaced(
    tmp_path: Path, authority: Authority, answering: dict[str, str]
) -> None:
    for name in ("key.pem", "chain.pem"):
        (tmp_path / name).write_text("not a key")
    harness = RenewalHarness(authority, tmp_path)
    harness.renewal.proofs = answering
    harness.renewal.start()
    harness.turn()
    assert harness.first_certificates == 1 and authority.issued == 1


def test_the_account_of_an_earlier_start_is_reused(authority: Authority, answering: dict[str, str]) -> None:
    account = new_account_key()
    for _ in range(2):
        assert b"BEGIN CERTIFICATE" in issue(authority.url, (DOMAIN,), "", "", account, answering).chain_pem
    assert len(authority.accounts) == 1


def test_the_console_prints_the_status_once_or_one_line_of_error(tmp_path: Path) -> None:
    (tmp_path / "site.toml").write_text('[admin]\nlisten = "127.0.0.1:0"\n')
    with running_program(tmp_path, 1, site_file=tmp_path / "site.toml") as (program, _, _log):
        port = program.wait_for(r"admin on 127\.0\.0\.1:(\d+)")[1]
        (tmp_path / "console.toml").write_text(f'[admin]\nlisten = "127.0.0.1:{port}"\n')
        command = [
            sys.executable,
            "-m",
            "cloverhinge",
            "console",
            "--once",
            "--site",
            str(tmp_path / "console.toml"),
        ]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S)
        assert done.returncode == 0 and "s-00000000" in done.stdout and "taken 0" in done.stdout
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S)
    assert done.returncode == 2 and "no router answers" in done.stderr and done.stderr.count("\n") == 1


def test_control_characters_do_not_reach_the_terminal() -> None:
    assert console.column(json.loads('"\\u001b[2Jx"'), 6) == "?[2Jx "
