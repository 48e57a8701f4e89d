"""Pins the requests of a session to the version of the session."""

from dataclasses import replace

from nutmegroad.callers.intake import Intake
from nutmegroad.callers.named_sessions import NamedSessions
from nutmegroad.callers.session_tokens import SessionSigner, SessionToken
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.requests import ModelRequest, SessionBinding
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import Epoch, VersionId
from nutmegroad.routing.dispatch import Dispatcher


class SessionPins:
    """Pins requests to the versions of their sessions, and issues tokens.

    Args:
        names: The sessions that callers name themselves.
        dispatcher: Chooses the version of a new session.
        configuration: Provides the epochs of versions.
        signer: Signs session tokens.
    """

    def __init__(
        self,
        names: NamedSessions,
        dispatcher: Dispatcher,
        configuration: Configuration,
        signer: SessionSigner,
    ) -> None:
        self._names = names
        self._dispatcher = dispatcher
        self._configuration = configuration
        self._signer = signer

    async def pin(self, intake: Intake) -> Intake | Refusal:
        """Pin a request to the version of the session that it names.

        A request without a session, or with a session token, is returned
        unchanged: a token names its version already.

        Returns:
            The pinned request, or the refusal if its version cannot be
            determined.
        """
        model = intake.model
        if model.session is not None or not intake.session:
            return intake
        token = await self._names.find(model.workspace, intake.session)
        if token is None:
            token = await self._begin(intake.session, model)
        if isinstance(token, Refusal):
            return token
        claim = token.claim
        pinned = replace(model, session=claim, versions=(claim.version,))
        return replace(intake, model=pinned)

    def token(self, intake: Intake, version: VersionId) -> str:
        """Return the token that binds a session to a version.

        A request without a session gets a token for a new one, named after
        the request.
        """
        model = intake.model
        claim = model.session
        if claim is None:
            name = intake.session or model.request
            claim = SessionBinding(name, version, self._epoch(version))
        return self._signer.sign(model.workspace, model.task, claim)

    async def _begin(
        self,
        name: str,
        model: ModelRequest,
    ) -> SessionToken | Refusal:
        """Choose a version and start a session, unless another host has."""
        version = self._dispatcher.choose_session_version(model)
        if isinstance(version, Refusal):
            return version
        return await self._names.begin(
            SessionToken(
                name,
                model.workspace,
                model.task,
                version,
                self._epoch(version),
            ),
        )

    def _epoch(self, version: VersionId) -> Epoch:
        """Return the current epoch of a version; 0 if it is unknown."""
        entry = self._configuration.version_entry(version)
        return Epoch(entry.epoch if entry else 0)
