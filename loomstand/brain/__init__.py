"""All decisions of one limiter."""

from loomstand.brain.account import Account as Account
from loomstand.brain.keeper import Keeper as Keeper
from loomstand.brain.mind import Brain as Brain
