"""Holds a caller's requests to the one version of their session."""

from dataclasses import replace

from nutmegroad.callers.intake import Intake
from nutmegroad.callers.session_names import SessionNames
from nutmegroad.callers.sessions import SessionSigner, SessionToken
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.requests import ModelRequest, SessionClaim
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import Epoch, VersionId
from nutmegroad.routing.dispatch import Dispatcher


class SessionPins:
    """Pins requests to their sessions' versions, and signs tokens.

    Args:
        names: Sessions that callers name themselves.
        dispatcher: Chooses the version of a new session.
        configuration: Knows the versions' epochs.
        signer: Signs tokens.
    """

    def __init__(
        self,
        names: SessionNames,
        dispatcher: Dispatcher,
        configuration: Configuration,
        signer: SessionSigner,
    ) -> None:
        self._names = names
        self._dispatcher = dispatcher
        self._configuration = configuration
        self._signer = signer

    async def pin(self, intake: Intake) -> Intake | Refusal:
        """Hold a session of the caller's own name to its one version.

        Returns:
            The request held to the version, or why it was not sent.
        """
        model = intake.model
        if model.session is not None or not intake.session:
            return intake
        token = await self._names.find(model.workspace, intake.session)
        if token is None:
            token = await self._begin(intake.session, model)
        if isinstance(token, Refusal):
            return token
        held = token.claim
        pinned = replace(model, session=held, versions=(held.version,))
        return replace(intake, model=pinned)

    def token(self, intake: Intake, version: VersionId) -> str:
        """Return the token that holds a session to its version."""
        model = intake.model
        claim = model.session
        if claim is None:
            name = intake.session or model.request
            claim = SessionClaim(name, version, self._epoch(version))
        return self._signer.sign(model.workspace, model.task, claim)

    async def _begin(
        self,
        name: str,
        model: ModelRequest,
    ) -> SessionToken | Refusal:
        """Choose a version and begin a session, unless another host did."""
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
        """Return the present epoch of a version."""
        entry = self._configuration.entry(version)
        return Epoch(entry.epoch if entry else 0)
