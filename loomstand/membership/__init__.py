"""Group membership of limiters, and the distribution of endpoint lists among them (docs/peers.md).

`members` and `endpoint_lists` do no I/O, `messages` defines the datagrams, and `driver` sends and
receives them. A limiter uses this package only if its configuration has the key `peers`.
"""
