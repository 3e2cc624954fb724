"""The start-up settings as both programs are told them, translated for the decision module."""

from __future__ import annotations

from typing import Any

from cloverhinge.decision import interface as api


def parse_settings(told: dict[str, Any]) -> api.Settings:
    """Translate the start-up settings; unknown keys are passed over, missing ones take the defaults."""
    own = told.get("specifics") or {}
    limits, rules, prices = (told.get(key) or {} for key in ("limits", "rules", "prices"))

    def nth(key: str, at: int, default: Any) -> Any:
        values = own.get(key) or []
        return values[at] if at < len(values) and values[at] is not None else default

    classes = tuple(
        api.ServiceClass(
            name=str(one["name"]),
            effect=api.Effect(one.get("effect", "repeatable")),
            aim_us=int(one.get("aimUs") or 0),
            deadline_us=int(one.get("hardLimitUs") or 0),
            worth=float(one.get("worth", 1.0)),
            floor=int(nth("classFloor", at, 0)),
            top=int(nth("highestRung", at, 255)),
            rate_scale=float(nth("scaleByClass", at, 1.0)),
            seats=int(nth("seats", at, 0)),
            live=bool(nth("classLive", at, False)),
            group=api.Group(one.get("group", "all")),
            key_ttl_us=int(one.get("keyTtlUs") or 0),
        )
        for at, one in enumerate(told.get("classes") or [])
    )
    kinds = told.get("machineTypes") or []
    places = own.get("placesByKind") or []
    tenants = tuple(
        api.Tenant(str(one["name"]), float(one.get("quotaPerS") or 0.0), float(one.get("fraction") or 0.0))
        for one in told.get("accounts") or []
    )
    return api.Settings(
        classes=classes,
        ladder_kb=tuple(own.get("ratesKb") or ()),
        rung_worth=tuple(own.get("rungWorth") or ()),
        places_by_kind={str(kind): int(n) for kind, n in zip(kinds, places, strict=False)},
        weight_kb=float(own.get("weightKb") or 0.0),
        uplink_kb=float(own.get("rackLinkKb") or 0.0),
        cells=int(own.get("cells", 1)),
        racks=int(own.get("cabinets", 1)),
        fleet_size=int(told.get("fleetSize", 1)),
        self_index=int(told.get("selfIndex", 0)),
        zone=str(told.get("zone") or ""),
        tenants=tenants,
        over_share_worth=float(told.get("overShareWorth", 1.0)),
        join=float(own.get("join", 1.0)),
        full_from=float(own.get("refusesFrom") or 0.0),
        notes_late_us=int(own.get("seeUs") or 0),
        told_every_us=int(own.get("toldEveryUs") or 0),
        stall_cost=float(own.get("stallCost") or 0.0),
        switch_s=float(own.get("switchS") or 0.0),
        max_attempts=int(limits.get("maxAttempts", 1)),
        max_retry_after_us=int(limits.get("maxRetryAfterUs") or 0),
        retry_after=bool(limits.get("retryAfter", True)),
        may_probe=bool(limits.get("mayProbe", False)),
        must_subscribe=told.get("registryMode") == "subscribe",
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
