"""Exceptions of the project.

They are used at start-up and where a library's interface requires them;
other failures are returned as :class:`Refusal`.
"""

from nutmegroad.foundations.results import Refusal


class NutmegroadError(Exception):
    """Base class of all exceptions of this project."""


class RegistryError(NutmegroadError):
    """A plug-in is missing, or a name is registered twice."""


class SettingsError(NutmegroadError):
    """Settings are invalid; the message has one line per problem."""


class GateClosed(NutmegroadError):
    """The last check before the first byte is sent refused the request.

    Args:
        refusal: The refusal that the check returned.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal
