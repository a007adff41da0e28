"""The pages on a store's disk: their names, which disks in service carry, and their type."""

# What a disk has: the bytes of each page, by its name.
Pages = dict[str, bytes]

# Of `record`: the member's id; what it promised and its view; its configuration; the history of
# changes, a page of its own so that older programs read the rest.
MEMBER_PAGE = "member"
VOTE_PAGE = "vote"
CONFIGURATION_PAGE = "configuration"
HISTORY_PAGE = "orders"

# Of `counting_lease_service`: who holds the counting lease.
COUNTING_LEASE_PAGE = "duty"

# Of `learner`: the third copy.
COPY_PAGE = "copy"
