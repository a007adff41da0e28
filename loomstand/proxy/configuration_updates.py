"""The configuration in force at this proxy, and whether it is known to be the newest.

Pure: no I/O; methods take the time, in seconds of a monotonic clock, as an argument.
"""

from __future__ import annotations

from absl import logging

from loomstand.admission.identifiers import stable_digest
from loomstand.config.configuration import Configuration, ConfigurationError, ConfigurationReader
from loomstand.config.routes import RouteTable
from loomstand.proxy.policy_compiler import PolicyCompiler
from loomstand.proxy.quota_credits import QuotaCredits

# If no registry can reach a primary store, a starting proxy accepts an unconfirmed configuration as
# the newest after this delay.
UNCONFIRMED_SECONDS = 3.0


class ConfigurationUpdates:
    """Puts configurations into force atomically.

    Attributes:
        table: Routes and tenants of the configuration in force; None before the first.
        current_at: Time from which the configuration counts as the newest; None before the first
            report of a registry.
    """

    def __init__(self, policy: PolicyCompiler, quota_credits: QuotaCredits) -> None:
        self.table: RouteTable | None = None
        self.current_at: float | None = None
        self._reader = ConfigurationReader()
        self._policy = policy
        self._credits = quota_credits

    def apply(self, version: int, data: bytes) -> Configuration | None:
        """Puts a newer configuration into force.

        Returns:
            The configuration; None if it is invalid. Configurations are validated before they are
            stored, so an invalid one indicates a software fault.
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

    def record_confirmation(self, is_current: bool, now: float) -> None:
        """Records whether a registry confirms that the configuration in force is the newest."""
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
