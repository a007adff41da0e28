"""The registry: which servers and limiters there are, the calls from outside, the counts
(docs/system.md).
"""
