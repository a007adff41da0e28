"""Deterministic simulation of network, disks and clocks, on which tests run whole clusters in one
process and in virtual time.
"""
