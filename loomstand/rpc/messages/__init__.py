"""Typed messages of every call between proxy, registry and store.

These modules are the one place that knows the keys on the wire. A message is a plain mapping there
(`loomstand.rpc.network.Body`), with the keys, and the order of keys, that earlier releases write
and read; here it has whole field names, types and units. Nothing here does I/O or decides anything.

- `base`: what all messages share, and the error of a body that isn't one
- `rows`: values that stand in several messages and are lists on the wire
- `replication_messages`: among the stores (heartbeats, elections, writes)
- `configuration_messages`: the store's configuration and status, for registries
- `counting_lease_messages`: the lease under which a registry counts
- `rescue_messages`: the re-foundation of a lost store
- `session_messages`: a limiter's session with a registry
- `quota_messages`: a limiter's counter increments and quota credits
- `gossip_messages`: among the registries
"""
