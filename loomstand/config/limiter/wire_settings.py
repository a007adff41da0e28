"""The operators' settings of a limiter as structs. Pure.

The keys on the wire and in the file are defined by the operators; `rename` maps each to the field
name used in the code. Durations are in milliseconds and their names end in `_ms`.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Milliseconds = Annotated[float, Meta(ge=0)]
NonNegativeInt = Annotated[int, Meta(ge=0)]


class WireStruct(msgspec.Struct, kw_only=True):
    """A part of the settings, with the operators' wire keys. Unknown keys are ignored."""


class FrontendSettings(
    WireStruct,
    rename={
        "latency_target_ms": "on_time",
        "client_timeout_ms": "deadline",
        "value": "points",
        "deduplication_scope": "group",
        "deduplication_window_ms": "repeat_window",
        "streams": "stream",
    },
):
    """A class of requests, a `grade` on the wire.

    Attributes:
        name: Name of the class, sent in requests.
        effect: Whether a request may be executed again: `pure` always, `token` if servers discard
            repeats, `side_effect` never.
        latency_target_ms: Time within which a response has its full value.
        client_timeout_ms: Time that clients wait for a response.
        value: Value of a response within the latency target.
        deduplication_scope: The servers that discard repeats of a `token` request.
        deduplication_window_ms: Time for which these servers discard repeats.
        late_value: Value of a response after the latency target.
        streams: Whether responses are streams.
    """

    name: str
    effect: Literal["pure", "token", "side_effect"]
    latency_target_ms: Milliseconds
    client_timeout_ms: Milliseconds
    value: float
    deduplication_scope: Literal["all", "zone", "cell"] = "all"
    deduplication_window_ms: Milliseconds = 0.0
    late_value: float = 0.0
    streams: bool = False


class QuotaPlanSettings(
    WireStruct,
    rename={
        "rate_per_second": "refill",
        "burst_size": "store_size",
        "max_concurrent": "at_once",
        "value_factor": "worth_factor",
        "excess_value": "excess_worth",
        "ceiling_depth": "cap_depth",
    },
):
    """The quota of each tenant on a plan, over all limiters.

    Attributes:
        name: Name of the plan, sent in requests.
        rate_per_second: Quota in units per second; 0 for no quota.
        burst_size: Largest burst in units.
        max_concurrent: Maximum number of requests in flight; 0 for no limit.
        value_factor: Factor for the value of the plan's requests.
        excess_value: Value of a request beyond the quota.
        excess_cost: Cost of a request beyond the quota.
        ceiling_rate: Hard limit in units per second; 0 for none.
        ceiling_depth: Largest burst in units under the hard limit.
        ceiling_slack: Units by which the hard limit may be exceeded.
    """

    name: str
    rate_per_second: float = 0.0
    burst_size: float = 0.0
    max_concurrent: float = 0
    value_factor: float = 1.0
    excess_value: float = 0.0
    excess_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_depth: float = 0.0
    ceiling_slack: float = 0.0


class AllowedActions(
    WireStruct,
    rename={
        "max_attempts": "try_limit",
        "may_cancel": "cancel",
        "may_hedge": "second_copies",
        "may_send_retry_after": "retry_after",
        "max_retry_after_ms": "max_retry_after",
        "idle_timeout_ms": "idle_close",
        "connect_timeout_ms": "connect_timeout",
    },
):
    """The actions that a limiter may take for a request, and its connection timeouts.

    Attributes:
        max_attempts: Maximum number of attempts per request.
        may_cancel: Whether attempts may be cancelled.
        may_probe: Whether servers may be sent health checks.
        may_hedge: Whether a second attempt may be sent while the first is in flight.
        may_send_retry_after: Whether a rejection may contain a time to retry after.
        max_retry_after_ms: The longest time that a rejection may give to retry after.
        idle_timeout_ms: Time after which an idle connection to a server is closed.
        connect_timeout_ms: Time within which a connection must be established.
    """

    max_attempts: int = 1
    may_cancel: bool = False
    may_probe: bool = False
    may_hedge: bool = False
    may_send_retry_after: bool = False
    max_retry_after_ms: Milliseconds = 0.0
    idle_timeout_ms: Milliseconds = 15_000.0
    connect_timeout_ms: Milliseconds = 250.0


class CounterSettings(
    WireStruct,
    rename={
        "call_timeout_ms": "count_limit",
        "metering_interval_ms": "metering",
        "max_units_per_request": "max_units",
    },
):
    """The counter that limiters share, `specifics` on the wire.

    Attributes:
        has_counter: Whether there is a counter.
        call_timeout_ms: Timeout of a call to the counter.
        metering_interval_ms: Interval at which servers report the usage of tenants; 0 for never.
        max_units_per_request: Maximum units of quota that a request may ask for.
    """

    has_counter: bool = False
    call_timeout_ms: Milliseconds = 0.0
    metering_interval_ms: Milliseconds = 0.0
    max_units_per_request: float = 1


class RuleSettings(
    WireStruct,
    rename={
        "answer_slack_ms": "answer_slack",
        "warm_up_ms": "cold",
        "initial_capacity_share": "cold_from",
        "drain_grace_ms": "drain_grace",
        "overload_multiple": "fall_multiple",
        "overload_window_ms": "tip_after",
    },
):
    """The operators' rules for answers and for servers in slow start or draining.

    Attributes:
        answer_slack_ms: Time by which a response may exceed its deadline.
        warm_up_ms: Duration of a server's slow start.
        initial_capacity_share: Share of its capacity that a server has at the start.
        drain_grace_ms: Time for which a draining server accepts requests.
        overload_multiple: Multiple of its capacity at which a server in slow start fails.
        overload_window_ms: Time for which a server in slow start withstands that load.
    """

    answer_slack_ms: Milliseconds = 0.0
    warm_up_ms: Milliseconds = 0.0
    initial_capacity_share: float = 1.0
    drain_grace_ms: Milliseconds = 0.0
    overload_multiple: float = 1.0
    overload_window_ms: Milliseconds = 0.0


class WireSettings(
    WireStruct,
    rename={
        "limiter_count": "balancers",
        "limiter_index": "me",
        "zone": "az",
        "frontends": "grades",
        "server_kinds": "kinds",
        "allowed_actions": "allowed",
        "counter": "specifics",
    },
):
    """The settings of one limiter, from the bench's first message or the JSON file.

    Attributes:
        limiter_count: Number of limiters.
        limiter_index: Index of this limiter, from 0.
        zone: Zone of this limiter.
        frontends: The classes of requests, at least one.
        plans: The quota plans.
        zones: All zones.
        server_kinds: The kinds of servers.
        allowed_actions: The actions that the limiter may take for a request.
        counter: The counter that limiters share.
        rules: The operators' rules.
    """

    limiter_count: Annotated[int, Meta(ge=1)]
    limiter_index: NonNegativeInt
    zone: str
    frontends: Annotated[list[FrontendSettings], Meta(min_length=1)]
    plans: list[QuotaPlanSettings] = msgspec.field(default_factory=list)
    zones: list[str] = msgspec.field(default_factory=list)
    server_kinds: list[str] = msgspec.field(default_factory=list)
    allowed_actions: AllowedActions = msgspec.field(default_factory=AllowedActions)
    counter: CounterSettings = msgspec.field(default_factory=CounterSettings)
    rules: RuleSettings = msgspec.field(default_factory=RuleSettings)
