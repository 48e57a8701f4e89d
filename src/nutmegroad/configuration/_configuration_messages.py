"""What hosts say to each other about the configuration."""

from typing import ClassVar, Final

from nutmegroad.contracts.documents import Withdrawal
from nutmegroad.contracts.peers import Message

#: The part that these messages are charged to.
CONFIGURATION_PART: Final = 'configuration'
#: Withdrawals that one message carries; more are asked for page by page.
PAGE: Final = 32


class ConfigurationMessage(Message, frozen=True, omit_defaults=True):
    """Base of the messages about the configuration."""

    part: ClassVar[str] = CONFIGURATION_PART


class HeadNotice(ConfigurationMessage, frozen=True, tag='head-notice'):
    """What a host has in force; told to others when it changes.

    It confirms nothing: nobody knows how long it was under way.

    Attributes:
        revision: The newest revision that the host has.
        digest: Name of its document.
        preset: The preset in force.
        author: Who made the revision.
        withdrawals: Withdrawals, if they are few.
        facts_digest: Name of the whole set of withdrawals.
    """

    replaceable: ClassVar[bool] = True

    revision: int
    digest: str
    preset: str
    author: str
    withdrawals: tuple[Withdrawal, ...] = ()
    facts_digest: str = ''


class HeadQuestion(ConfigurationMessage, frozen=True, tag='head-question'):
    """Asks a host what it has in force, and how sure it is."""


class HeadReply(ConfigurationMessage, frozen=True, tag='head-reply'):
    """What a host has in force, and how sure it is.

    Attributes:
        notice: What it has.
        age: Seconds since its confirming read began; None if the host has
            no confirmation, or has heard of a higher revision.
    """

    notice: HeadNotice
    age: float | None = None


class DocumentQuestion(
    ConfigurationMessage,
    frozen=True,
    tag='document-question',
):
    """Asks for a document.

    Attributes:
        digest: Its name.
    """

    digest: str


class DocumentReply(ConfigurationMessage, frozen=True, tag='document-reply'):
    """A document in its canonical form.

    Attributes:
        content: Its bytes; empty if the host does not have it.
    """

    content: bytes = b''


class WithdrawalsQuestion(
    ConfigurationMessage, frozen=True, tag='withdrawals-question'
):
    """Asks for the withdrawals that a host knows.

    Attributes:
        after: Only versions after this one, in order.
    """

    after: str = ''


class WithdrawalsReply(
    ConfigurationMessage, frozen=True, tag='withdrawals-reply'
):
    """One page of withdrawals.

    Attributes:
        withdrawals: The withdrawals, in order.
        more: Whether there are others after them.
    """

    withdrawals: tuple[Withdrawal, ...] = ()
    more: bool = False
