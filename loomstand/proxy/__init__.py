"""The proxy: the gateway's data plane.

Towards the registries a proxy is a limiter: one of the processes that share the tenants' quotas.

`program.Proxy` joins the modules of this package:

- `admission_adapter`: connects clients' requests with the decision engine's events and actions
- `request`, `upstream`, `stale_connections`: encoding of requests and connections to servers
- `startup`: queue of requests that arrive while the proxy starts
- `sessions`, `configuration_fetcher`: polling of the registries
- `configuration_updates`, `policy_compiler`, `client_limits`: the configuration in force
- `instance_view`, `endpoint_updates`: the known server instances
- `counter_client`, `counter_replay`, `shared_clock`: counters at the counting registry
- `credit_client`, `quota_credits`: quota credits
- `readiness`: the platform's readiness check
"""
