"""Typed messages of every call between proxy, registry and store.

The wire keys are defined only in these modules. On the wire a message is a plain mapping
(`loomstand.rpc.network.Body`), with the keys and the key order that earlier releases write and
read; here it has full field names, types and units. These modules do no I/O and make no decisions.

- `base`: base classes of all messages, and the error for an invalid body
- `rows`: values that several messages contain, lists on the wire
- `replication_messages`: between stores (heartbeats, elections, writes)
- `configuration_messages`: the store's configuration and status, for registries
- `counting_lease_messages`: the lease under which a registry counts
- `rescue_messages`: re-creation of a lost store by operators
- `session_messages`: a limiter's session with a registry
- `quota_messages`: a limiter's counter increments and quota credits
- `gossip_messages`: between registries
"""
