"""The replicated configuration store.

It keeps the configuration on the disks of a primary and a backup, elects the primary by its
voters, and grants the lease under which one registry counts quota use. `program` assembles the
components; docs/ARCHITECTURE.md describes the protocol, docs/design.md the alternatives considered.
"""
