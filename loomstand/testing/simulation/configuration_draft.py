"""The configuration that an operator of a simulation or soak run edits and sends. No I/O."""

from __future__ import annotations

import json
from typing import Any


class ConfigurationDraft:
    """Routes of the host `town.example`, services and tenants, edited by tests."""

    resources: dict[tuple[str, str], dict[str, Any]]
    owners: dict[str, str]  # tenant by API key, including keys that were replaced

    def service(self, name: str) -> None:
        """Adds a service."""
        self.resources["services", name] = {"health_check_path": "/health", "connection_limit": 130}

    def route(self, name: str, service: str, kind: str = "idempotent", **fields: Any) -> None:
        """Adds or changes the route with the path prefix /NAME/; `fields` override its defaults."""
        self.resources["routes", name] = {
            "host": "town.example",
            "path_prefix": f"/{name}/",
            "route_kind": kind,
            "timeout": "5000ms",
            "target_latency": "800ms",
            "priority": 1,
            "service_name": service,
            "maximum_attempts": 3,
            "public": False,
        } | fields

    def tenant(self, name: str, key: str, rate: float = 0, burst: float = 0) -> None:
        """Adds or changes a tenant with one API key.

        `rate` is in requests a second, `burst` in requests; a rate of 0 sets no quota.
        """
        self.resources["tenants", name] = {
            "api_keys": [key],
            "priority": 1,
            "rate_per_s": rate,
            "burst_size": burst,
        }
        self.owners[key] = name

    def begin_draft(self, services: list[str]) -> None:
        """Adds the default resources: the services, three routes and a tenant.

        Routes `a` and `b` are idempotent, `once` isn't.
        """
        for service in services:
            self.service(service)
        self.route("a", "alpha")
        self.route("once", "alpha", "non_idempotent")
        self.route("b", "beta")
        self.tenant("ann", "key-of-ann")

    def body(self, version: int) -> bytes:
        """Returns the request body for this version."""
        resources = [
            {"resource_kind": kind, "metadata": {"name": name}, "specification": specification}
            for (kind, name), specification in self.resources.items()
        ]
        return json.dumps({"version": f"r{version}", "resources": resources}).encode()
