"""Session tokens: a session's version, signed, so that nothing is stored.

Any host of the deployment reads a token that any other host signed, so a
session outlives hosts and cuts.
"""

from typing import Final

import msgspec
from itsdangerous import BadData, URLSafeSerializer
from msgspec import Struct

from nutmegroad.contracts.requests import SessionClaim
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Epoch, TaskName, VersionId, WorkspaceId

#: Tokens begin with this; other values are names of the caller's own.
TOKEN_PREFIX: Final = 'nrs1.'

_SALT: Final = 'nutmegroad-session'


class SessionToken(Struct, frozen=True):
    """What a token holds.

    Attributes:
        name: The session's name.
        workspace: Whose session it is.
        task: The task class of its first request.
        version: The version that it keeps.
        epoch: The version's epoch when the session began.
    """

    name: str
    workspace: str
    task: str
    version: str
    epoch: int

    @property
    def claim(self) -> SessionClaim:
        """Return what the session is held to."""
        return SessionClaim(
            self.name,
            VersionId(self.version),
            Epoch(self.epoch),
        )


class SessionSigner:
    """Signs and reads session tokens.

    Args:
        key: Secret that the deployment's hosts share.
        old_key: Another one that holds while the key is changed; empty for
            none.
    """

    def __init__(self, key: str, old_key: str = '') -> None:
        # It reads what any of these signed, and signs with the last.
        keys = [old_key, key] if old_key else [key]
        self._serializer = URLSafeSerializer(keys, salt=_SALT)

    def sign(
        self,
        workspace: WorkspaceId,
        task: TaskName,
        claim: SessionClaim,
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
        """Return what a token holds, if it is ours and the workspace's."""
        try:
            token = self._load(text.removeprefix(TOKEN_PREFIX))
        except (BadData, msgspec.ValidationError):
            return _invalid()
        if token.workspace != workspace:
            return _invalid()
        return token

    def _load(self, text: str) -> SessionToken:
        """Read a token's fields, checking the signature first."""
        return msgspec.convert(self._serializer.loads(text), SessionToken)

    def _dump(self, token: SessionToken) -> str:
        """Sign a token's fields."""
        signed = self._serializer.dumps(msgspec.to_builtins(token))
        if isinstance(signed, bytes):
            return signed.decode()
        return signed


def _invalid() -> Refusal:
    """Say that a token is not one of ours."""
    return Refusal(
        ResultCode.SESSION_INVALID,
        'The session token is not valid for this workspace.',
    )
