"""Hundreds of clients that write slowly, stop half way or send many short fields: memory stays bounded."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from cloverhinge.lab.harness import TIMEOUT_S, Program, ping, running_program

CLIENTS = 350  # of each listener: about as many as it takes with 1,024 descriptors
MEMORY_LIMIT_MB = 192  # of the harness's configuration
# The clients may take a quarter of the limit, beyond what the process has at its start.
MAX_GROWTH_MB = MEMORY_LIMIT_MB / 4

PIECE_BYTES = 2000

RTSP_HEAD = b"SETUP rtsp://media/title RTSP/1.0\r\nCSeq: 1\r\nSession: 00000000000000ab\r\n"
HTTP_HEAD = b"GET /play/free/intro HTTP/1.1\r\nHost: router\r\n"
SHORT_FIELDS = b"".join(b"x%d:1\r\n" % n for n in range(55))
LONG_FIELD = b"X-Long: " + b"y" * 12_000


def resident_mb(program: Program) -> float:
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    (line,) = (x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1]) / 1024.0


def rtsp_address(program: Program) -> tuple[str, int]:
    return "127.0.0.1", program.port


def hls_address(program: Program) -> tuple[str, int]:
    match = program.wait_for(r"HLS on ([\d.]+):(\d+)")
    return match[1], int(match[2])


def operator_address(program: Program) -> tuple[str, int]:
    return "127.0.0.1", program.operator_port


def admin_address(program: Program) -> tuple[str, int]:
    match = program.wait_for(r"admin on ([\d.]+):(\d+)")
    return match[1], int(match[2])


def members_address(program: Program) -> tuple[str, int]:
    match = program.wait_for(r"members: listening on ([\d.]+):(\d+)")
    return match[1], int(match[2])


# Guards against a process that goes over its memory limit, as many clients keep half of a request there.
@pytest.mark.parametrize(
    "address, unfinished",
    [
        (rtsp_address, RTSP_HEAD + SHORT_FIELDS),
        (rtsp_address, RTSP_HEAD + LONG_FIELD),
        (rtsp_address, RTSP_HEAD + b"X-Call-Class: free\r\nContent-Length: 15000\r\n\r\n" + b"b" * 14_000),
        (hls_address, HTTP_HEAD + SHORT_FIELDS),
        (hls_address, HTTP_HEAD + LONG_FIELD),
        (hls_address, HTTP_HEAD + b"Content-Length: 15000\r\n\r\n" + b"b" * 14_000),
        (members_address, b"\0\x0f\0\0" + b"f" * 40_000),
        (operator_address, b"s" * 200),
        (admin_address, b"s" * 200),
    ],
    ids=lambda x: x.__name__ if callable(x) else f"{len(x)} bytes",
)
def test_unfinished_requests_of_hundreds_of_clients_take_bounded_memory(
    tmp_path: Path, address: Callable[[Program], tuple[str, int]], unfinished: bytes
) -> None:
    site = tmp_path / "site.toml"
    site.write_text(
        f'[admin]\nlisten = "127.0.0.1:0"\n[hls]\nlisten = "127.0.0.1:0"\nkey = "{"ab" * 32}"\n'
        "[hls.titles]\nintro = { copies = 3 }\n"
        f'[members]\nlisten = "127.0.0.1:0"\nadvertise = "127.0.0.1:1"\nsite = "s"\nkey = "{"cd" * 32}"\n'
    )
    with (
        running_program(tmp_path, 1, site_file=site, operator_calls=True) as (program, _, _log),
        contextlib.ExitStack() as connections,
    ):
        listener, regular = address(program), program.connect()
        ping(regular)
        before = resident_mb(program)
        sockets = []
        for _ in range(CLIENTS):
            with contextlib.suppress(OSError):  # one over the limit of connections is closed
                sockets.append(connections.enter_context(socket.create_connection(listener, TIMEOUT_S)))
        for start in range(0, len(unfinished), PIECE_BYTES):  # all of them write on, in turn
            for sock in sockets:
                with contextlib.suppress(OSError):
                    sock.sendall(unfinished[start : start + PIECE_BYTES])
        ping(regular)
        assert resident_mb(program) - before < MAX_GROWTH_MB
