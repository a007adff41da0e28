"""Converts the operators' settings to those of the decision engine. Pure.

The settings of the JSON file, of the bench's wire protocol and of the emulator are all converted
here.
"""

from __future__ import annotations

from math import ceil

from loomstand.admission.settings import (
    DeduplicationScope,
    Effect,
    EngineSettings,
    Frontend,
    QuotaPlan,
)
from loomstand.admission.ticks import ticks_rounded_down, ticks_rounded_up
from loomstand.config.limiter.wire_settings import (
    FrontendSettings,
    QuotaPlanSettings,
    WireSettings,
)

_EFFECTS = {
    "pure": Effect.IDEMPOTENT,
    "token": Effect.DEDUPLICATED,
    "side_effect": Effect.NON_IDEMPOTENT,
}
_DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}


def engine_settings(settings: WireSettings, zone_index: int) -> EngineSettings:
    """Converts the operators' settings.

    Args:
        settings: The validated settings.
        zone_index: The index of the limiter's own zone.
    """
    allowed = settings.allowed_actions
    counter = settings.counter
    rules = settings.rules
    return EngineSettings(
        limiter_index=settings.limiter_index,
        limiter_count=settings.limiter_count,
        zone=zone_index,
        frontends=tuple(_frontend(frontend) for frontend in settings.frontends),
        plans=tuple(_quota_plan(plan) for plan in settings.plans),
        attempt_limit=allowed.max_attempts,
        can_cancel_attempts=allowed.may_cancel,
        can_check_health=allowed.may_probe,
        can_hedge=allowed.may_hedge,
        sends_retry_after=allowed.may_send_retry_after,
        max_retry_after=ticks_rounded_down(allowed.max_retry_after_ms),
        has_counter=counter.has_counter,
        counter_timeout=ticks_rounded_up(counter.call_timeout_ms),
        metering_period=ticks_rounded_up(counter.metering_interval_ms),
        max_request_units=max(1, ceil(counter.max_units_per_request)),
        drain_grace_period=ticks_rounded_down(rules.drain_grace_ms),
        slow_start_period=ticks_rounded_up(rules.warm_up_ms),
        slow_start_initial_capacity=rules.initial_capacity_share,
        overload_multiple=rules.overload_multiple,
        overload_period=ticks_rounded_up(rules.overload_window_ms),
        response_slack=ticks_rounded_down(rules.answer_slack_ms),
    )


def _frontend(settings: FrontendSettings) -> Frontend:
    return Frontend(
        effect=_EFFECTS[settings.effect],
        deduplication_scope=_DEDUPLICATION_SCOPES[settings.deduplication_scope],
        deduplication_window=ticks_rounded_down(settings.deduplication_window_ms),
        latency_target=ticks_rounded_down(settings.latency_target_ms),
        client_timeout=ticks_rounded_down(settings.client_timeout_ms),
        value=settings.value,
        late_value=settings.late_value,
        is_streaming=settings.streams,
    )


def _quota_plan(settings: QuotaPlanSettings) -> QuotaPlan:
    return QuotaPlan(
        rate=settings.rate_per_second,
        burst=settings.burst_size,
        concurrency_limit=int(settings.max_concurrent),
        value_factor=settings.value_factor,
        excess_value=settings.excess_value,
        excess_cost=settings.excess_cost,
        rate_limit=settings.ceiling_rate,
        rate_limit_burst=settings.ceiling_depth,
        rate_limit_slack=settings.ceiling_slack,
    )
