"""Failover after the loss of a zone: plan, loss detection and load shedding (docs/sites.md).

Everything here is pure: no I/O and no clock. The decision engine calls
`engine_view.FailoverPolicy`, which uses the other modules.
"""
