"""The site's file: each error is reported in one sentence that names the key by its full path."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest

from cloverhinge import site
from cloverhinge.core.config_values import ConfigError
from cloverhinge.lab.harness import ROOT, TIMEOUT_S

KEY = "k" * 32
HLS = f'[hls]\nlisten = "127.0.0.1:0"\nkey = "{KEY}"\n'
MEMBERS = f'[members]\nlisten = "127.0.0.1:0"\nkey = "{KEY}"\n'
DOOR = f'[door]\nkey = "{KEY}"\n'


@pytest.mark.parametrize(
    "text,message",
    [
        ("[hsl]\n", "nothing is called hsl"),
        (MEMBERS + "join = ['nowhere']\n", "members.join[0]: 'nowhere' is not host:port"),
        (MEMBERS + "probe_ms = 800\n", "members.quiet_ms has to be twice members.probe_ms"),
        (MEMBERS + "old_key = 'short'\n", "members.old_key has to hold 32 characters"),
        (MEMBERS + "watch = 2\n", "members.watch: expected int >= 3"),
        (MEMBERS + "site = 'a b'\n", "members.site: a site is made of letters"),
        (MEMBERS + "loud = 1\n", "nothing is called members.loud"),
        (HLS + "idle = 3\n", "nothing is called hls.idle"),
        (HLS + "idle_s = 0\n", "hls.idle_s: expected float > 0.0"),
        (HLS + "idle_s = true\n", "hls.idle_s: expected float, got bool"),
        ("[hls]\nlisten = '127.0.0.1:0'\n", "hls.key is missing"),
        ("[hls]\nlisten = 'here'\nkey = '" + KEY + "'\n", "hls.listen: 'here' is not host:port"),
        (HLS + "[hls.titles.intro]\ncopies = 'two'\n", "hls.titles.intro.copies: expected int, got str"),
        (HLS + "[hls.titles.intro]\ncopies = 2\ntops = 1\n", "nothing is called hls.titles.intro.tops"),
        (HLS + "[hls.titles.'a b']\ncopies = 2\n", "hls.titles.a b: a title is made of letters"),
        (HLS + "[hls.boxes]\nb = ':1'\n", "hls.boxes.b: ':1' is not host:port"),
        ("hls = 3\n", "hls: expected a table, got int"),
        ("[admin]\nlisten = '10.0.0.1:1'\n", "admin.listen has to be a loopback address"),
        ("[acme]\n", "acme: certificates are for the HLS front"),
        ("[clients.maple]\n", "clients: clients queue at the door"),
        ("[door]\nkey = 'short'\n", "door.key has to hold 32 characters"),
        (DOOR + "waiting = 0\n", "door.waiting: expected int >= 1"),
        (DOOR + "[clients.maple]\nweight = 0\n", "clients.maple.weight: expected float > 0.0"),
        (
            DOOR + "[clients.maple]\nnetworks = ['10.0.0.1/8']\n",
            "clients.maple.networks: 10.0.0.1/8 has host",
        ),
        (DOOR + "[clients.maple]\nkey = 'k'\n", "clients.maple.key has to hold 16 characters"),
        (
            DOOR + "[clients.others]\nnetworks = ['10.0.0.0/8']\n",
            "clients.others are those whom nobody vouches",
        ),
        (
            DOOR + "[clients.a]\nnetworks = ['10.0.0.0/8']\n[clients.b]\nnetworks = ['10.0.0.0/8']\n",
            "clients.b.networks: 10.0.0.0/8 is a's already",
        ),
        ("[hls\n", "is not TOML"),
    ],
)
def test_an_error_names_the_key_by_its_full_path(text: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text(text)
    with pytest.raises(ConfigError, match=re.escape(message)) as raised:
        site.read(path)
    assert "\n" not in str(raised.value) and "$" not in str(raised.value)


def test_the_settings_of_admission_with_clients(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text(
        DOOR + "waiting = 9\n[clients.maple]\nweight = 2\nnetworks = ['10.1.0.0/16', 'fd00::/8']"
        "\n[clients.others]\nweight = 0.5\n"
    )
    admission = site.read(path).admission
    assert admission is not None and admission.max_waiting == 9
    assert [(x.name, x.weight, len(x.networks)) for x in admission.clients] == [
        ("maple", 2.0, 2),
        ("others", 0.5, 0),
    ]


def test_admission_needs_only_an_empty_table(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text("[door]\n")
    admission = site.read(path).admission
    assert admission is not None and admission.signing_key == b"" and admission.max_waiting == 512


def test_members_need_an_address_and_a_key(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text(MEMBERS)
    members = site.read(path).members
    assert members is not None and (members.site, members.advertise, members.watch) == ("main", None, 6)


def test_components_that_are_off_are_not_imported() -> None:
    """The platform's memory is limited, so modules of components that are off must not be loaded there."""
    code = (
        "import sys; import cloverhinge.cli, cloverhinge.node\n"
        "print([x for x in sys.modules if x.split('.')[0] in ('msgspec', 'm3u8', 'acme', 'josepy',"
        " 'apsw') or x.startswith(('cloverhinge.admission', 'cloverhinge.site.schema', 'cloverhinge.hls',"
        " 'cloverhinge.members', 'cloverhinge.ownership', 'cloverhinge.store', 'cloverhinge.lab',"
        " 'cloverhinge.emulator'))])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S
    )
    assert result.stdout.strip() == "[]", result.stdout + result.stderr


def test_the_example_s_admission_tables_are_valid_once_uncommented(tmp_path: Path) -> None:
    text = (ROOT / "example/site.toml").read_text()
    at = text.index("# [door]")
    path = tmp_path / "site.toml"
    path.write_text(text[:at] + re.sub(r"^# ?", "", text[at:], flags=re.M))
    admission = site.read(path).admission
    assert admission is not None and [x.name for x in admission.clients] == ["maple", "others"]
