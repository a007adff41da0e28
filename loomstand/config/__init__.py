"""Reads and validates the settings and configurations of all programs; keeps no state.

- `settings`: the settings file of a process (DEPLOY.md, "What a process is told").
- `configuration`: the configuration that operators send (PROTOCOL.md, "The operator").
- `routes`: a configuration's routes and API keys as a table for lookups by request.
- `limiter`: the JSON file of the stand-alone limiter, which has no registry and store.
- `units`: text formats of times, versions and addresses.
- `toml_tables`: TOML files as validated structs.

Every error derives from `errors.ConfigError`. Files are read in `settings.parser`, `limiter.loader`
and `toml_tables`; no module uses sockets or clocks.
"""
