"""The rehearsal kit: limiter processes among stand-ins, faults between them, a checker
(docs/rehearse.md).
"""
