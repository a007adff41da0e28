"""The pages on a store's disk: their type, and their names, which are part of the disk format."""

# The contents of the pages, by page name.
Pages = dict[str, bytes]

# Pages of `record`: the member's id; the promised epoch and the view; the configuration; the change
# history, in a page of its own so that earlier releases can read the others.
MEMBER_PAGE = "member"
VOTE_PAGE = "vote"
CONFIGURATION_PAGE = "configuration"
HISTORY_PAGE = "orders"

# Page of `counting_lease_service`: the holder of the counting lease.
COUNTING_LEASE_PAGE = "duty"

# Page of `learner`: the copy of the committed configuration.
COPY_PAGE = "copy"
