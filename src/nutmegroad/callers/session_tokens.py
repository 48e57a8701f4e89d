"""Session tokens: the signed version of a session, without stored state.

Every host of the deployment can verify a token that another host signed, so
a session survives the loss of hosts and network partitions.
"""

from typing import Final

import msgspec
from itsdangerous import BadData, URLSafeSerializer
from msgspec import Struct

from nutmegroad.contracts.requests import SessionBinding
from nutmegroad.foundations.decoding import Count
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Epoch, TaskName, VersionId, WorkspaceId

#: Prefix of tokens. Any other value of the session header is a name that the
#: caller chose.
TOKEN_PREFIX: Final = 'nrs1.'

_SALT: Final = 'nutmegroad-session'


class SessionToken(Struct, frozen=True):
    """The content of a session token, and of a named session's table row.

    Attributes:
        name: Name of the session.
        workspace: Workspace that the session belongs to.
        task: Task class of the session's first request.
        version: Version that the session is bound to.
        epoch: Epoch of that version when the session started.
    """

    name: str
    workspace: str
    task: str
    version: str
    epoch: Count

    @property
    def claim(self) -> SessionBinding:
        """The name, version and epoch, as a model request carries them."""
        return SessionBinding(
            self.name,
            VersionId(self.version),
            Epoch(self.epoch),
        )


class SessionSigner:
    """Signs and verifies session tokens.

    Args:
        key: Secret that all hosts of the deployment share.
        old_key: Previous secret, still accepted while the key is rotated;
            empty if there is none.
    """

    def __init__(self, key: str, old_key: str = '') -> None:
        # The serializer verifies with all keys and signs with the last.
        keys = [old_key, key] if old_key else [key]
        self._serializer = URLSafeSerializer(keys, salt=_SALT)

    def sign(
        self,
        workspace: WorkspaceId,
        task: TaskName,
        claim: SessionBinding,
    ) -> str:
        """Return the token of a session."""
        token = SessionToken(
            claim.name,
            workspace,
            task,
            claim.version,
            claim.epoch,
        )
        return TOKEN_PREFIX + self._dump(token)

    def read(
        self,
        text: str,
        workspace: WorkspaceId,
    ) -> SessionToken | Refusal:
        """Verify a token and return its content.

        Args:
            text: The token, with its prefix.
            workspace: The workspace that the token must belong to.
        """
        try:
            token = self._load(text.removeprefix(TOKEN_PREFIX))
        except (BadData, msgspec.ValidationError):
            return _invalid()
        if token.workspace != workspace:
            return _invalid()
        return token

    def _load(self, text: str) -> SessionToken:
        """Verify the signature of a token, then decode its fields."""
        return msgspec.convert(self._serializer.loads(text), SessionToken)

    def _dump(self, token: SessionToken) -> str:
        """Encode and sign the fields of a token."""
        signed = self._serializer.dumps(msgspec.to_builtins(token))
        if isinstance(signed, bytes):
            return signed.decode()
        return signed


def _invalid() -> Refusal:
    """Return the refusal of an invalid session token."""
    return Refusal(
        ResultCode.SESSION_INVALID,
        'The session token is not valid for this workspace.',
    )
