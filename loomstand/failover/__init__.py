"""What a fleet does about the loss of a whole site: a plan, evidence, an order of refusal
(docs/sites.md).

Pure: no I/O and no clock of its own. The decision module asks `guide.Guide`; everything else is
behind it.
"""
