"""The budget of a service's retries: first attempts earn it, retries spend it. Pure."""

from __future__ import annotations

from loomstand.admission.settings import EngineSettings


class RetryBudget:
    """Retries that may be sent to a service.

    Attributes:
        balance: Retries that may be sent now.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self.balance = settings.retry_budget_initial

    def attempt_sent(self, settings: EngineSettings, is_first: bool) -> None:
        """Adds the share that a first attempt earns, up to the maximum."""
        earned = settings.retry_budget_ratio if is_first else 0.0
        self.balance = min(settings.retry_budget_max, self.balance + earned)

    def can_afford(self, cost: float) -> bool:
        """Returns whether a retry of that cost may be sent."""
        return self.balance >= cost

    def spend(self, cost: float) -> None:
        """Deducts the cost of a retry."""
        self.balance -= cost
