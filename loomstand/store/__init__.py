"""The replicated configuration store.

It keeps the configuration on disk at a primary and a backup, elects its primary, and grants the
lease under which a registry counts. `program` joins the parts; docs/ARCHITECTURE.md has the
protocol, and docs/design.md what was weighed for it.
"""
