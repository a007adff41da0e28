"""What programs are configured by: reading and checking it. Decides nothing, holds no state.

- `settings`: the settings file of a process (DEPLOY.md, "What a process is told").
- `configuration`: the configuration that operators send (PROTOCOL.md, "The operator").
- `routes`: a configuration's routes and keys as a table for look-ups by request.
- `limiter`: the JSON file of the limiter that runs by itself, without registry and store.
- `units`: written forms of times, versions and addresses.
- `toml_tables`: TOML files as checked structs.

Every error derives from `errors.ConfigError`. Files are read in `settings.parser`, `limiter.loader`
and `toml_tables`; nothing here touches a socket or a clock.
"""
