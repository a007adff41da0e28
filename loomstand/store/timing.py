"""Time spans and counts on which the members of the store must agree; nothing but constants."""

# Four heartbeats fit into a lease, so that some may be lost.
HEARTBEAT_INTERVAL_SECONDS = 0.25

# Counted by the primary from the sending of a heartbeat: a takeover ends within 3 s.
LEASE_SECONDS = 1.2

# Counted by the voter from the receipt of that heartbeat: longer, so that the rates of two clocks
# may differ by 4 %.
GRANT_SECONDS = 1.25

# Without an answer for so long a peer counts as unreachable: three heartbeats.
UNREACHABLE_AFTER_SECONDS = 0.8

# Without an answer for so long a voter is replaced: a restart is over by then.
REPLACE_VOTER_AFTER_SECONDS = 2.5

# An address at which nobody answers is dropped, unless it is a seed's or a member's of the view.
FORGET_ADDRESS_AFTER_SECONDS = 30.0

# A founder waits so long for all seeds, before a majority of them is enough.
FOUNDING_WAIT_SECONDS = 4.0

# Between two voters' candidacies: two rounds of calls and their writes, on a slow link.
CANDIDACY_SPACING_SECONDS = 0.6

# The backup of the last view stands for election so long after its grant ended.
FIRST_CANDIDATE_DELAY_SECONDS = 0.2

# A failed attempt is repeated after the shortest delay and a random part of the spread, so that two
# candidates don't collide again.
BACKOFF_SECONDS = 0.2
BACKOFF_SPREAD_SECONDS = 0.3

# A member that failed to write isn't chosen as backup for so long, if there is another.
AVOID_MEMBER_SECONDS = 5.0

# Votes are spread over so many members, so that one of them may be lost.
VOTER_COUNT = 3

# A moment before any other; and a time span longer than any other.
LONG_AGO = -1e9
FOREVER_SECONDS = 1e9
