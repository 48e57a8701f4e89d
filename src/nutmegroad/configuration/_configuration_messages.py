"""Messages that hosts exchange about the configuration."""

from typing import ClassVar, Final

from nutmegroad.contracts.documents import Withdrawal
from nutmegroad.contracts.peers import Message

#: The part that the cost of these messages is attributed to.
CONFIGURATION_PART: Final = 'configuration'
#: Most withdrawals in one message; more are requested page by page.
PAGE_SIZE: Final = 32


class ConfigurationMessage(Message, frozen=True, omit_defaults=True):
    """Base class of the messages about the configuration."""

    part: ClassVar[str] = CONFIGURATION_PART


class HeadNotice(ConfigurationMessage, frozen=True, tag='head-notice'):
    """The configuration in force on a host, sent to peers when it changes.

    It does not confirm the configuration, since the time that the message
    took to arrive is unknown.

    Attributes:
        revision: The newest revision that the host has.
        digest: Digest of its document.
        preset: The preset in force.
        author: Who made the revision: an operator, or a host that wrote
            withdrawals to the table.
        withdrawals: All withdrawals; empty if they exceed one page.
        facts_digest: Digest of the full set of withdrawals.
    """

    replaceable: ClassVar[bool] = True

    revision: int
    digest: str
    preset: str
    author: str
    withdrawals: tuple[Withdrawal, ...] = ()
    facts_digest: str = ''


class HeadQuestion(ConfigurationMessage, frozen=True, tag='head-question'):
    """Asks a host for its configuration in force and its confirmation."""


class HeadReply(ConfigurationMessage, frozen=True, tag='head-reply'):
    """The configuration in force on a host, and the age of its confirmation.

    Attributes:
        notice: The configuration in force.
        age: Seconds since its confirming read began; None if the host has
            no valid confirmation, or knows of a higher revision.
    """

    notice: HeadNotice
    age: float | None = None


class DocumentQuestion(
    ConfigurationMessage,
    frozen=True,
    tag='document-question',
):
    """Asks for a configuration document.

    Attributes:
        digest: Digest of the document.
    """

    digest: str


class DocumentReply(ConfigurationMessage, frozen=True, tag='document-reply'):
    """A configuration document in its canonical encoding.

    Attributes:
        content: The encoded document; empty if the host does not have it.
    """

    content: bytes = b''


class WithdrawalsQuestion(
    ConfigurationMessage, frozen=True, tag='withdrawals-question'
):
    """Asks for one page of the withdrawals that a host knows.

    Attributes:
        after: Return only versions that sort after this one.
    """

    after: str = ''


class WithdrawalsReply(
    ConfigurationMessage, frozen=True, tag='withdrawals-reply'
):
    """One page of withdrawals.

    Attributes:
        withdrawals: The withdrawals, ordered by version.
        more: Whether further withdrawals follow.
    """

    withdrawals: tuple[Withdrawal, ...] = ()
    more: bool = False
