"""The configuration in force at this proxy, and whether it is known to be the newest.

Pure: no I/O, and each method that needs it is given a reading of a steady clock in seconds.
"""

from __future__ import annotations

from absl import logging

from loomstand.admission.identifiers import stable_digest
from loomstand.config.configuration import Configuration, ConfigurationError, ConfigurationReader
from loomstand.config.routes import RouteTable
from loomstand.proxy.policy_compiler import PolicyCompiler
from loomstand.proxy.quota_credits import QuotaCredits

# A proxy that started while no registry knew of a primary store serves with the configuration that
# it has after so many seconds.
UNCONFIRMED_SECONDS = 3.0


class ConfigurationUpdates:
    """Brings configurations into force, each as a whole.

    Attributes:
        table: Routes and tenants of the configuration in force; None before the first.
        current_at: When the configuration counts as the newest; None if that isn't known.
    """

    def __init__(self, policy: PolicyCompiler, quota_credits: QuotaCredits) -> None:
        self.table: RouteTable | None = None
        self.current_at: float | None = None
        self._reader = ConfigurationReader()
        self._policy = policy
        self._credits = quota_credits

    def apply(self, version: int, data: bytes) -> Configuration | None:
        """Brings a configuration into force that is newer than the one held.

        Returns:
            The configuration; None if it can't be used. It was checked before it was stored, so
            that is a fault of the programs.
        """
        try:
            configuration = self._reader.parse(data)
        except ConfigurationError as error:
            logging.error("proxy: configuration_unusable version=r%d error=%s", version, error)
            return None
        self._policy.update(configuration)
        self.table = RouteTable.from_configuration(configuration)
        self._credits.update_quotas(
            {
                stable_digest(tenant.name): tenant
                for tenant in configuration.tenants or ()
                if tenant.rate_per_second > 0
            }
        )
        return configuration

    def update_currency(self, is_current: bool, now: float) -> None:
        """Takes over whether a registry knows the configuration held to be the newest."""
        if self.current_at is None:
            if is_current:
                self.current_at = now
            elif self.table is not None:
                self.current_at = now + UNCONFIRMED_SECONDS
        elif is_current:
            self.current_at = min(self.current_at, now)

    def is_current(self, now: float) -> bool:
        """Returns whether the configuration counts as the newest."""
        return self.current_at is not None and now >= self.current_at
