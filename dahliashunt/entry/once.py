"""Run a non-idempotent request at most once, over resends to any entry."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
import uuid

from dahliashunt.entry.calls import Finished
from dahliashunt.errors import Ran
from dahliashunt.errors import RequestError
from dahliashunt.ids import AttemptId
from dahliashunt.ids import CallerId
from dahliashunt.online.claim import Outcome
from dahliashunt.online.claims import Claims
from dahliashunt.online.claims import Replay

__all__ = ["OnceRunner"]


class OnceRunner:
    """Claims a request before it is sent on and keeps what became of it.

    Parameters
    ----------
    claims : Claims
    """

    def __init__(self, claims: Claims):
        self._claims = claims
        self._tasks: set[asyncio.Task] = set()

    async def run(
        self,
        caller: CallerId,
        key: str,
        request: tuple[str, str, bytes],
        send: Callable[[], Awaitable[Finished]],
    ) -> Finished:
        """Return the answer of the one run of a request.

        Parameters
        ----------
        key : str
            The caller's Idempotency-Key.
        request : tuple of (str, str, bytes)
            Method, path and body, which the key stands for.
        send : callable
            Sends the request on, once.

        Raises
        ------
        RequestError
            It was not sent, or ended in an error; a resend is told the
            same, or that it still runs.
        """
        attempt_id = AttemptId(uuid.uuid4().hex)
        digest = _digest(request)
        claim = await self._claims.claim(caller, key, digest, attempt_id)
        if isinstance(claim, Replay):
            outcome = claim.outcome
            return Finished(
                [outcome.body], outcome.status, dict(outcome.headers), ""
            )
        # A caller that goes away must not leave the claim without an end:
        # its resend would hear "still running" for ever.
        task = asyncio.create_task(self._run_claimed(claim, send))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _run_claimed(self, claim, send):
        try:
            finished = await send()
        except RequestError as error:
            if error.ran is Ran.NO:
                await self._claims.release(claim)
            else:
                await self._claims.unknown(claim)
            raise
        outcome = Outcome(
            finished.status,
            tuple(finished.headers.items()),
            b"".join(finished.pieces),
        )
        await self._claims.done(claim, outcome)
        return finished

    async def settle(self) -> None:
        """Wait for the calls in progress, at a graceful shutdown."""
        if self._tasks:
            await asyncio.wait(self._tasks)


def _digest(request):
    method, path, body = request
    digest = hashlib.sha256(f"{method} {path}\0".encode())
    digest.update(body)
    return digest.hexdigest()
