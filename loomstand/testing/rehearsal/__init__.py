"""Rehearsals: limiter processes and stand-ins on loopback, injected faults and a checker of the
recorded events (docs/rehearse.md).
"""
