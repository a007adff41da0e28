"""The registry: servers, limiters, quota counters and the HTTP API (docs/ARCHITECTURE.md).

It tracks servers by their heartbeats and limiters by their sessions, and counts requests for quotas
while it holds the counting lease.

Pure modules, to which the clock's reading is passed:

- `instances`: the servers, and the changes since a revision
- `limiters`: the limiters, by their sessions with the registries
- `counters`: sums by name
- `quota_buckets`: the tenants that are near their limit
- `quota_grants`: credits granted to limiters ahead of use
- `counting_lease`: whether this registry holds the lease, and from which stores it requests it
- `shared_clock`: the clock that determines the interval in counter names
- `configuration_cache`: the newest configuration that this registry knows
- `http_routing`: finds the handler of an HTTP request
- `http_responses`: HTTP responses, and the error of an invalid request
- `system_status`: the status that operators get

Modules that call other programs or wait, connected by `program`:

- `context`: shared settings, network, clock, background tasks and soft state
- `change_notifier`: wakes the sessions that wait for a change
- `request_router`: RPC calls of limiters and other registries, and the refusal of invalid ones
- `limiter_sessions`: long polls of limiters
- `replication`: replication of the soft state between registries
- `counting_service`: counters and credits, under the counting lease
- `store_client`: client of the store on this machine
- `server_heartbeats`, `operator_api`, `rescue`: HTTP calls of servers and operators
- `process`: the registry with its HTTP server
"""
