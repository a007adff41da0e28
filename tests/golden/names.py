"""Every import from the code that the golden tests make: a rename is followed here first.

The attributes, methods and keyword arguments that `runs.py`, `pages.py` and the tests use of these
are names of the code too. The fixtures hold bytes and texts, which stay when code is renamed.
"""

from __future__ import annotations

from loomstand.config.configuration import ConfigurationError, parse_configuration
from loomstand.config.settings import SettingsError, read_settings
from loomstand.rpc.errors import CallRefusedError, FrameError
from loomstand.rpc.frames import FrameDecoder, encode_frame, encode_item
from loomstand.store.change_history import EMPTY_HISTORY as NO_ORDERS
from loomstand.store.change_history import ChangeHistory, digest
from loomstand.store.counting_lease import CountingLease, HolderPage
from loomstand.store.disk import LmdbDisk
from loomstand.store.learner import Learner
from loomstand.store.program import Store, StoreSettings
from loomstand.store.record import Record, VersionedData
from loomstand.store.recovery import recover
from loomstand.store.views import Member, View
from loomstand.testing.simulation.cluster import CONTROL_PORT as OUTSIDE_PORT
from loomstand.testing.simulation.cluster import Cluster
from loomstand.testing.simulation.http_log import exchange
from loomstand.testing.simulation.loop import SimProcess, VirtualLoop
from loomstand.testing.simulation.machine import machines as make_machines
from loomstand.testing.simulation.network import MachineNetwork, SimNetwork

STORE_PORT, REGISTRY_PORT = 7341, 7340


def store_record(store):
    """The record of a store that runs."""
    return store.replica.record


def store_duty(store):
    """What a store that runs knows of the counting duty: its epoch, number and host."""
    lease = store.parts.counting_leases.lease
    return [lease.epoch, lease.number, lease.holder]


def store_copy(store):
    """The learner's copy of a store that runs."""
    return store.parts.dissemination.learner.copy


def disk_pages(machine):
    """The pages on the simulated disk of a machine."""
    return machine.disk_state.pages


__all__ = [
    "NO_ORDERS",
    "OUTSIDE_PORT",
    "REGISTRY_PORT",
    "STORE_PORT",
    "CallRefusedError",
    "ChangeHistory",
    "Cluster",
    "ConfigurationError",
    "CountingLease",
    "FrameDecoder",
    "FrameError",
    "HolderPage",
    "Learner",
    "LmdbDisk",
    "MachineNetwork",
    "Member",
    "Record",
    "SettingsError",
    "SimNetwork",
    "SimProcess",
    "Store",
    "StoreSettings",
    "VersionedData",
    "View",
    "VirtualLoop",
    "digest",
    "disk_pages",
    "encode_frame",
    "encode_item",
    "exchange",
    "make_machines",
    "parse_configuration",
    "read_settings",
    "recover",
    "store_copy",
    "store_duty",
    "store_record",
]
