"""Constants on which the members of the store must agree."""

# Four heartbeats fit into a lease, so some of them may be lost.
HEARTBEAT_INTERVAL_SECONDS = 0.25

# Measured by the primary from sending a heartbeat; short enough for a takeover within 3 s.
LEASE_SECONDS = 1.2

# Measured by the voter from receiving that heartbeat; longer, as two clock rates may differ by 4 %.
GRANT_SECONDS = 1.25

# A peer that hasn't responded for this long counts as unreachable: three heartbeat intervals.
UNREACHABLE_AFTER_SECONDS = 0.8

# A voter that hasn't responded for this long is replaced; a restart takes less time.
REPLACE_VOTER_AFTER_SECONDS = 2.5

# An address that neither the settings nor a member's message has listed for this long is dropped.
# The addresses of the seeds and of the view's members are kept.
FORGET_ADDRESS_AFTER_SECONDS = 30.0

# Time for which a founder waits for all seeds; afterwards a majority of them is enough.
FOUNDING_WAIT_SECONDS = 4.0

# Interval between two voters' candidacies: two rounds of calls and their writes on a slow link.
CANDIDACY_SPACING_SECONDS = 0.6

# Delay from the end of the backup's grant to the primary until the backup becomes a candidate.
FIRST_CANDIDATE_DELAY_SECONDS = 0.2

# A failed election is retried after this delay plus a random part of the spread, so that two
# candidates don't collide again.
BACKOFF_SECONDS = 0.2
BACKOFF_SPREAD_SECONDS = 0.3

# Time for which a member that failed to write isn't chosen as backup if there is another.
AVOID_MEMBER_SECONDS = 5.0

# Number of voters; a majority remains after the loss of one.
VOTER_COUNT = 3

# A time before any other, and a duration longer than any other.
LONG_AGO = -1e9
FOREVER_SECONDS = 1e9
