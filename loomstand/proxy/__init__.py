"""The proxy: the gateway's data plane.

`program.Proxy` joins the modules of this package:

- `admission_adapter`: clients' requests, the decision engine's events and actions
- `request`, `upstream`, `stale_connections`: what goes to servers, on which connection
- `startup`: requests that meet a starting proxy
- `sessions`, `configuration_fetcher`: what the registries tell
- `configuration_updates`, `policy_compiler`, `client_limits`: the configuration in force
- `instance_view`, `endpoint_updates`: the servers
- `counter_client`, `counter_replay`, `shared_clock`: counters at the counting registry
- `credit_client`, `quota_credits`: quota credits
- `readiness`: what the platform asks
"""
