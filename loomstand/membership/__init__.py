"""Limiters that know of each other: who is there, and lists of servers from one to the next
(docs/peers.md).

`members` and `lists` are pure, `messages` is their form, `driver` puts them on datagrams. Off
without the key `peers` of the configuration; the platform of the benches names none.
"""
