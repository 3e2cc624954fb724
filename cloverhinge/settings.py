"""Parses the start-up settings, which both programs receive, into the settings of the decision module."""

from __future__ import annotations

from typing import Any

from cloverhinge.decision import interface as api


def parse_settings(document: dict[str, Any]) -> api.Settings:
    """Parse the start-up settings; unknown keys are ignored, missing ones take the defaults.

    Raises KeyError for a class or account without a name, and ValueError or TypeError for an invalid value.
    """
    specifics = document.get("specifics") or {}
    limits, rules, prices = (document.get(key) or {} for key in ("limits", "rules", "prices"))

    def nth(key: str, index: int, default: Any) -> Any:
        values = specifics.get(key) or []
        return values[index] if index < len(values) and values[index] is not None else default

    classes = tuple(
        api.ServiceClass(
            name=str(row["name"]),
            effect=api.Effect(row.get("effect", "repeatable")),
            aim_us=int(row.get("aimUs") or 0),
            deadline_us=int(row.get("hardLimitUs") or 0),
            worth=float(row.get("worth", 1.0)),
            floor=int(nth("classFloor", index, 0)),
            top=int(nth("highestRung", index, 255)),
            rate_scale=float(nth("scaleByClass", index, 1.0)),
            seats=int(nth("seats", index, 0)),
            live=bool(nth("classLive", index, False)),
            group=api.Group(row.get("group", "all")),
            key_ttl_us=int(row.get("keyTtlUs") or 0),
        )
        for index, row in enumerate(document.get("classes") or [])
    )
    kinds = document.get("machineTypes") or []
    places = specifics.get("placesByKind") or []
    tenants = tuple(
        api.Tenant(str(row["name"]), float(row.get("quotaPerS") or 0.0), float(row.get("fraction") or 0.0))
        for row in document.get("accounts") or []
    )
    return api.Settings(
        classes=classes,
        ladder_kb=tuple(specifics.get("ratesKb") or ()),
        rung_worth=tuple(specifics.get("rungWorth") or ()),
        places_by_kind={str(kind): int(count) for kind, count in zip(kinds, places, strict=False)},
        weight_kb=float(specifics.get("weightKb") or 0.0),
        uplink_kb=float(specifics.get("rackLinkKb") or 0.0),
        cells=int(specifics.get("cells", 1)),
        racks=int(specifics.get("cabinets", 1)),
        fleet_size=int(document.get("fleetSize", 1)),
        self_index=int(document.get("selfIndex", 0)),
        zone=str(document.get("zone") or ""),
        tenants=tenants,
        over_share_worth=float(document.get("overShareWorth", 1.0)),
        join=float(specifics.get("join", 1.0)),
        full_from=float(specifics.get("refusesFrom") or 0.0),
        notes_late_us=int(specifics.get("seeUs") or 0),
        told_every_us=int(specifics.get("toldEveryUs") or 0),
        stall_cost=float(specifics.get("stallCost") or 0.0),
        switch_s=float(specifics.get("switchS") or 0.0),
        max_attempts=int(limits.get("maxAttempts", 1)),
        max_retry_after_us=int(limits.get("maxRetryAfterUs") or 0),
        retry_after=bool(limits.get("retryAfter", True)),
        may_probe=bool(limits.get("mayProbe", False)),
        must_subscribe=document.get("registryMode") == "subscribe",
        probe_price=float(prices.get("probe") or 0.0),
        handshake_price=float(prices.get("handshake") or 0.0),
        move_price=float(prices.get("moves") or 0.0),
        cross_zone_price=float(prices.get("crossZone") or 0.0),
        cold_us=int(rules.get("coldUs") or 0),
        cold_from=float(rules.get("coldFrom") or 1.0),
        fall_multiple=float(rules.get("fallMultiple") or 0.0),
        drain_grace_us=int(rules.get("drainGraceUs") or 0),
        budget_free=float(rules.get("budgetFree") or 0.0),
        budget_ratio=float(rules.get("repeatRatio") or 0.0),
        budget_span_us=int(rules.get("budgetSpanUs") or 0),
    )
