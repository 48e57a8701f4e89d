"""Exceptions, which are for the edges of libraries and for start-up."""

from nutmegroad.foundations.results import Refusal


class NutmegroadError(Exception):
    """Base of all exceptions of this project."""


class RegistryError(NutmegroadError):
    """A plug-in is missing, or a name is taken twice."""


class SettingsError(NutmegroadError):
    """Settings are wrong; the message has a line for each problem."""


class GateClosed(NutmegroadError):
    """The last check before the first byte said no.

    Args:
        refusal: What the check said.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal
