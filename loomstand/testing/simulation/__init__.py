"""A simulated network, disks and clocks, on which tests run whole clusters in one process and no
time.
"""
