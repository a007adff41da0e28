"""The store: the configuration on disk, its primary and backup, and the lease under which duties
are done.
"""
