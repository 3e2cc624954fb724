"""The program on other deployments: their settings can be read, and none of their names is in the source."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from cloverhinge.lab.harness import ROOT, SETTINGS, FakeChangeLog, Program

SITES = sorted((ROOT / "deploy/sites").glob("*.toml"))
EFFECTS = {"safe": "repeatable", "unsafe": "once"}
CUSTOMERS = ("wheatland", "regina", "treino", "parana")  # whose deployments the operators run


def read(site: Path) -> dict[str, Any]:
    return tomllib.loads(site.read_text())


def settings_of(site: dict[str, Any]) -> dict[str, Any]:
    """The settings that a router of the deployment receives, as far as the site file gives them."""
    rules, limits, classes, family_rows = site["rules"], site["allow"], site["class"], site["fam"]["class"]
    return {
        **SETTINGS,
        "classes": [
            {
                "name": row["name"],
                "effect": EFFECTS[row["effect"]],
                "aimUs": 1000 * row["aim_ms"],
                "hardLimitUs": 1000 * row["deadline_ms"],
                "worth": row["worth"],
            }
            for row in classes
        ],
        "failureDomains": site["net"]["zones"],
        "zone": site["net"]["zones"][0],
        "machineTypes": [kind["name"] for tier in site["tier"] for kind in tier["kind"]],
        "limits": {
            **SETTINGS["limits"],
            "maxAttempts": limits["max_attempts"],
            "mayProbe": limits["probes"],
            "maxRetryAfterUs": 1000 * site["clients"]["max_retry_after_ms"],
        },
        "rules": {
            "drainGraceUs": 1000 * rules["drain_grace_ms"],
            "fallMultiple": rules["fall_multiple"],
            "tipAfterUs": 1000 * rules["fall_ms"],
            "coldUs": 10_000_000,
            "coldFrom": 0.4,
        },
        "specifics": {
            **SETTINGS["specifics"],
            "seats": [4 if "seats" in row else 0 for row in family_rows],
            "classLive": [row.get("live", False) for row in family_rows],
            "scaleByClass": [row["scale"] for row in family_rows],
            "classFloor": [0] * len(classes),
            "highestRung": [1] * len(classes),
            "placesByKind": [50] * 2,
        },
    }


@pytest.mark.parametrize("site", SITES, ids=lambda site: site.stem)
def test_the_settings_of_each_deployment_are_read(site: Path, tmp_path: Path) -> None:
    settings = settings_of(read(site))
    log = FakeChangeLog()
    known = {"seq": 1, "results": [log.append_event([], full=True)]}
    config = tmp_path / "config.json"
    config.write_text(json.dumps(Program.configuration("n0", log, known, **settings)))
    log.stop()
    done = subprocess.run(
        [sys.executable, "-m", "cloverhinge", "check", str(config)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0, done.stdout + done.stderr


def test_the_deployments_cover_different_classes_and_zones() -> None:
    """One has two classes in two zones, one has four classes; paid classes are at different positions."""
    sites = [read(site) for site in SITES]
    assert {len(site["class"]) for site in sites} == {2, 4}
    assert max(len(site["net"]["zones"]) for site in sites) == 2
    assert all("unsafe" in {row["effect"] for row in site["class"]} for site in sites)


def test_no_name_of_a_deployment_is_in_the_source() -> None:
    """Classes, names, tenants, limits and costs come from the settings alone."""
    names = set(CUSTOMERS)
    for site in map(read, SITES):
        names |= {
            site["name"],
            *site["net"]["zones"],
            *(row["name"] for row in site["class"]),
            *(tier["name"] for tier in site["tier"]),
            *(kind["name"] for tier in site["tier"] for kind in tier["kind"]),
        }
    sources = [*(ROOT / "cloverhinge").rglob("*.py"), ROOT / "deploy/balancer.toml"]
    texts = {source: source.read_text().lower() for source in sources}
    assert not [(source.name, name) for source, text in texts.items() for name in names if name in text]
