"""All names that the golden tests import from the code; a rename in the code is repeated here.

`runs.py`, `pages.py` and the tests also use attributes, methods and keyword arguments of these
objects, which must follow a rename too. The fixtures hold bytes and texts, which a rename doesn't
change.
"""

from __future__ import annotations

from loomstand.config.configuration import ConfigurationError, parse_configuration
from loomstand.config.settings import SettingsError, read_settings
from loomstand.rpc.errors import CallRefusedError, FrameError
from loomstand.rpc.frames import FrameDecoder, encode_frame, encode_item
from loomstand.store.change_history import EMPTY_HISTORY, ChangeHistory, digest
from loomstand.store.counting_lease import CountingLease, HolderPage
from loomstand.store.disk import LmdbDisk
from loomstand.store.learner import Learner
from loomstand.store.program import Store, StoreSettings
from loomstand.store.record import Record, VersionedData
from loomstand.store.recovery import recover
from loomstand.store.views import Member, View
from loomstand.testing.simulation.cluster import CONTROL_PORT as OPERATOR_PORT
from loomstand.testing.simulation.cluster import Cluster
from loomstand.testing.simulation.http_log import exchange
from loomstand.testing.simulation.loop import SimProcess, VirtualLoop
from loomstand.testing.simulation.machine import machines as make_machines
from loomstand.testing.simulation.network import MachineNetwork, SimNetwork

STORE_PORT, REGISTRY_PORT = 7341, 7340


def store_record(store):
    """Returns the record of a running store."""
    return store.replica.record


def store_counting_lease(store):
    """Returns the epoch, number and holder of a running store's counting lease."""
    lease = store.parts.counting_leases.lease
    return [lease.epoch, lease.number, lease.holder]


def store_copy(store):
    """Returns the learner's copy of a running store."""
    return store.parts.dissemination.learner.copy


def disk_pages(machine):
    """Returns the pages on the simulated disk of a machine."""
    return machine.disk_state.pages


__all__ = [
    "EMPTY_HISTORY",
    "OPERATOR_PORT",
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
    "store_counting_lease",
    "store_record",
]
