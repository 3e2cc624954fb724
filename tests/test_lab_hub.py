"""The lab's hub: each direction of a pair by itself, for datagrams and connections, towards boxes too."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import suppress

import pytest

from cloverhinge.lab.harness import TIMEOUT_S, FakeMediaServer, RtspConnection, read_answer, send_set_up
from cloverhinge.lab.hub import Hub
from cloverhinge.lab.record import Record

HOSTS = ["127.91.0.1", "127.91.0.2"]


class End:
    """A process of the test's own behind the hub: a datagram socket and a listener at one port."""

    def __init__(self, hub: Hub, name: str, host: str) -> None:
        self.told = hub.add_router(name, host.replace("127.91", "127.92"), host)
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.bind((host, 0))
        self.datagrams.settimeout(TIMEOUT_S)
        self.host, port = self.datagrams.getsockname()
        self.listener = socket.create_server((host, port))
        self.listener.settimeout(TIMEOUT_S)
        hub.attach(name, (host, port))

    def connect(self, other: End) -> socket.socket:
        return socket.create_connection(other.told, TIMEOUT_S, (self.host, 0))

    def close(self) -> None:
        self.datagrams.close()
        self.listener.close()


@pytest.fixture
def pair() -> Iterator[tuple[Hub, End, End]]:
    hub = Hub(Record(), 3)
    ends = [End(hub, name, host) for name, host in zip("ab", HOSTS, strict=True)]
    try:
        yield hub, ends[0], ends[1]
    finally:
        for end in ends:
            end.close()
        hub.stop()


def test_both_ends_see_the_hub_s_addresses_alone(pair: tuple[Hub, End, End]) -> None:
    hub, a, b = pair
    a.datagrams.sendto(b"hello", b.told)
    assert b.datagrams.recvfrom(100) == (b"hello", a.told)
    with a.connect(b) as out:
        taken, peer = b.listener.accept()
        with taken:
            assert peer[0] == a.told[0]
            out.sendall(b"word")
            assert taken.recv(10) == b"word"
            taken.sendall(b"answer")
            assert out.recv(10) == b"answer"


def test_one_direction_is_cut_held_and_let_go_while_the_other_passes(pair: tuple[Hub, End, End]) -> None:
    hub, a, b = pair
    hub.change("a", "b", cut=True)
    a.datagrams.sendto(b"lost", b.told)
    b.datagrams.sendto(b"passes", a.told)
    assert a.datagrams.recv(100) == b"passes"
    hub.heal()
    hub.hold("a", "b")
    a.datagrams.sendto(b"held", b.told)
    b.datagrams.sendto(b"passes", a.told)
    assert a.datagrams.recv(100) == b"passes"
    hub.let_go("a", "b")
    assert b.datagrams.recv(100) == b"held"
    assert hub.counts["lost"] == 1


def test_datagrams_are_doubled_and_come_out_of_order(pair: tuple[Hub, End, End]) -> None:
    hub, a, b = pair
    hub.change_default(twice=1.0, late=0.5, late_ms=50.0)
    for n in range(20):
        a.datagrams.sendto(bytes([n]), b.told)
    got = [b.datagrams.recv(100)[0] for _ in range(40)]
    assert sorted(got) == sorted([*range(20), *range(20)]) and got != sorted(got)


def test_connections_are_reset_and_an_ended_process_refuses(pair: tuple[Hub, End, End]) -> None:
    hub, a, b = pair
    with a.connect(b) as out:
        taken = b.listener.accept()[0]
        out.sendall(b"word")
        assert taken.recv(10) == b"word"
        hub.reset("a", "b")
        with suppress(ConnectionResetError):
            assert out.recv(10) == b""
        taken.close()
    hub.detach("b")
    with pytest.raises(ConnectionRefusedError):
        a.connect(b)
    hub.attach("b", b.datagrams.getsockname())
    a.connect(b).close()


def test_a_rate_slows_a_direction(pair: tuple[Hub, End, End]) -> None:
    hub, a, b = pair
    hub.change("a", "b", rate_kb=50.0)
    for _ in range(10):
        a.datagrams.sendto(bytes(1000), b.told)
    begun = hub.record.now()
    for _ in range(10):
        b.datagrams.recv(2000)
    assert hub.record.now() - begun > 100.0, "ten kilobytes at fifty a second take two tenths of one"


def test_a_box_has_a_gate_of_its_own_for_each_router() -> None:
    hub, pump = Hub(Record()), FakeMediaServer("box", 0)
    host, port = pump.address.rsplit(":", 1)
    try:
        one, other = (hub.add_server_proxy(name, "box", "127.92.1.1", (host, int(port))) for name in "ab")
        hub.cut(["b"], ["box"])
        wire = RtspConnection(socket.create_connection(one, TIMEOUT_S))
        session = send_set_up(wire, 1)
        assert read_answer(wire).session == session
        cut = RtspConnection(socket.create_connection(other, TIMEOUT_S))
        send_set_up(cut, 2)
        assert pump.expect("SETUP")[1].session == session and pump.set_up_sessions == [session]
        hub.heal()
        assert read_answer(cut).status == 200
        for each in (wire, cut):
            each.close()
    finally:
        pump.stop()
        hub.stop()
