"""Group membership of limiters, and the distribution of endpoint lists among them (docs/peers.md).

`members` and `endpoint_lists` are pure, `messages` defines the datagrams, and `driver` sends and
receives them. Only in use where a limiter's configuration has the key `peers`.
"""
