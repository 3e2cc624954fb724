"""The lab's hub: faults of single directions, for datagrams and connections, also towards media servers."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import suppress

import pytest

from cloverhinge.lab.harness import TIMEOUT_S, FakeMediaServer, RtspConnection, read_answer, send_set_up
from cloverhinge.lab.hub import Hub
from cloverhinge.lab.record import Record

HOSTS = ["127.91.0.1", "127.91.0.2"]


class FakeRouter:
    """Stands for a router behind the hub: a datagram socket and a listener at one port."""

    def __init__(self, hub: Hub, name: str, host: str) -> None:
        self.advertised = hub.add_router(name, host.replace("127.91", "127.92"), host)
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.bind((host, 0))
        self.datagrams.settimeout(TIMEOUT_S)
        self.host, port = self.datagrams.getsockname()
        self.listener = socket.create_server((host, port))
        self.listener.settimeout(TIMEOUT_S)
        hub.attach(name, (host, port))

    def connect(self, other: FakeRouter) -> socket.socket:
        return socket.create_connection(other.advertised, TIMEOUT_S, (self.host, 0))

    def close(self) -> None:
        self.datagrams.close()
        self.listener.close()


@pytest.fixture
def pair() -> Iterator[tuple[Hub, FakeRouter, FakeRouter]]:
    hub = Hub(Record(), 3)
    routers = [FakeRouter(hub, name, host) for name, host in zip("ab", HOSTS, strict=True)]
    try:
        yield hub, routers[0], routers[1]
    finally:
        for router in routers:
            router.close()
        hub.stop()


def test_both_ends_see_only_addresses_of_the_hub(pair: tuple[Hub, FakeRouter, FakeRouter]) -> None:
    hub, a, b = pair
    a.datagrams.sendto(b"hello", b.advertised)
    assert b.datagrams.recvfrom(100) == (b"hello", a.advertised)
    with a.connect(b) as opened:
        accepted, peer = b.listener.accept()
        with accepted:
            assert peer[0] == a.advertised[0]
            opened.sendall(b"word")
            assert accepted.recv(10) == b"word"
            accepted.sendall(b"answer")
            assert opened.recv(10) == b"answer"


def test_one_direction_is_cut_held_and_released_while_the_other_is_unaffected(
    pair: tuple[Hub, FakeRouter, FakeRouter],
) -> None:
    hub, a, b = pair
    hub.change("a", "b", cut=True)
    a.datagrams.sendto(b"lost", b.advertised)
    b.datagrams.sendto(b"passes", a.advertised)
    assert a.datagrams.recv(100) == b"passes"
    hub.heal()
    hub.hold("a", "b")
    a.datagrams.sendto(b"held", b.advertised)
    b.datagrams.sendto(b"passes", a.advertised)
    assert a.datagrams.recv(100) == b"passes"
    hub.let_go("a", "b")
    assert b.datagrams.recv(100) == b"held"
    assert hub.counts["lost"] == 1


def test_datagrams_are_duplicated_and_reordered(pair: tuple[Hub, FakeRouter, FakeRouter]) -> None:
    hub, a, b = pair
    hub.change_default(twice=1.0, late=0.5, late_ms=50.0)
    for n in range(20):
        a.datagrams.sendto(bytes([n]), b.advertised)
    received = [b.datagrams.recv(100)[0] for _ in range(40)]
    assert sorted(received) == sorted([*range(20), *range(20)]) and received != sorted(received)


def test_connections_are_reset_and_the_port_of_an_ended_process_refuses_them(
    pair: tuple[Hub, FakeRouter, FakeRouter],
) -> None:
    hub, a, b = pair
    with a.connect(b) as opened:
        accepted = b.listener.accept()[0]
        opened.sendall(b"word")
        assert accepted.recv(10) == b"word"
        hub.reset("a", "b")
        with suppress(ConnectionResetError):
            assert opened.recv(10) == b""
        accepted.close()
    hub.detach("b")
    with pytest.raises(ConnectionRefusedError):
        a.connect(b)
    hub.attach("b", b.datagrams.getsockname())
    a.connect(b).close()


def test_a_rate_limit_delays_one_direction(pair: tuple[Hub, FakeRouter, FakeRouter]) -> None:
    hub, a, b = pair
    hub.change("a", "b", rate_kb=50.0)
    for _ in range(10):
        a.datagrams.sendto(bytes(1000), b.advertised)
    started_ms = hub.record.now()
    for _ in range(10):
        b.datagrams.recv(2000)
    assert hub.record.now() - started_ms > 100.0, "10 kB at 50 kB/s take 200 ms"


def test_each_router_has_a_proxy_of_its_own_for_a_media_server() -> None:
    hub, server = Hub(Record()), FakeMediaServer("box", 0)
    host, port = server.address.rsplit(":", 1)
    try:
        first, second = (hub.add_server_proxy(name, "box", "127.92.1.1", (host, int(port))) for name in "ab")
        hub.cut(["b"], ["box"])
        connection = RtspConnection(socket.create_connection(first, TIMEOUT_S))
        session = send_set_up(connection, 1)
        assert read_answer(connection).session == session
        cut = RtspConnection(socket.create_connection(second, TIMEOUT_S))
        send_set_up(cut, 2)
        assert server.expect("SETUP")[1].session == session and server.set_up_sessions == [session]
        hub.heal()
        assert read_answer(cut).status == 200
        for each in (connection, cut):
            each.close()
    finally:
        server.stop()
        hub.stop()
