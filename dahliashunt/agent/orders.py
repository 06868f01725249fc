"""Carry out orders for the engine: load, drain, unload.

The task that owns the endpoint's fence and its wanted state. An order
states a step; the wanted state is what the engine should have loaded after
it. It is compared with the engine's own report after each order and
periodically, and what differs is ordered again: so an order that an old
agent let through after its pause, or one whose answer was lost, is mended.
"""

from dataclasses import dataclass

from dahliashunt.adapters.wire.gen.link.ttypes import Order as OrderFrame
from dahliashunt.adapters.wire.gen.link.ttypes import OrderKind
from dahliashunt.errors import EngineError
from dahliashunt.errors import StaleFence
from dahliashunt.mailbox import Mailbox
from dahliashunt.membership.fence import Fence
from dahliashunt.ports.engine import Engine
from dahliashunt.ports.engine import EngineState
from dahliashunt.ports.engine import LoadedModel
from dahliashunt.ports.engine import Order

__all__ = ["OrderTask", "Wanted"]

REPAIR_MS = 1_000


@dataclass(slots=True)
class Wanted:
    """The end state that the orders so far add up to.

    Attributes
    ----------
    plan_token : int
        Highest token of a planner seen; a lower one is a planner that was
        paused and replaced, whose orders are out of date.
    models : frozenset of LoadedModel or None
        None until the first order: then the engine stays as it is.
    draining : set of str
        Models that get no new work here.
    """

    plan_token: int = 0
    models: frozenset[LoadedModel] | None = None
    draining: frozenset[str] = frozenset()

    def take(self, order: OrderFrame, loaded: tuple[LoadedModel, ...]):
        """Take an order; return whether it counts.

        Parameters
        ----------
        order : OrderFrame
        loaded : tuple of LoadedModel
            What the engine reports, where the first order starts from.
        """
        if order.plan_token < self.plan_token:
            return False
        self.plan_token = order.plan_token
        model = LoadedModel(
            order.model, order.version, tuple(order.adapters or ())
        )
        models = frozenset(loaded) if self.models is None else self.models
        if order.kind == OrderKind.DRAIN:
            self.draining |= {model.model}
        elif order.kind == OrderKind.UNLOAD:
            models -= {m for m in models if m.model == model.model}
        else:
            models = {m for m in models if m.model != model.model}
            models = frozenset(models) | {model}
            self.draining -= {model.model}
        self.models = models
        return True

    def differs(self, state: EngineState) -> bool:
        """Whether the engine has, or is getting, something else."""
        if self.models is None:
            return False
        return frozenset((*state.models, *state.loading)) != self.models

    def settle(self, state: EngineState) -> None:
        """Forget drains of models that are gone."""
        held = {model.model for model in (*state.models, *state.loading)}
        self.draining &= held


class OrderTask:
    """Owns the engine's wanted state.

    Parameters
    ----------
    engine : Engine
    fence : Fence
    clock : Clock
    log : structlog logger
    """

    def __init__(self, engine: Engine, fence: Fence, clock, log):
        self.mailbox = Mailbox()
        self.wanted = Wanted()
        self._engine = engine
        self._fence = fence
        self._clock = clock
        self._log = log

    async def run(self) -> None:
        """Take orders and repair until cancelled."""
        while True:
            orders = await self.mailbox.take(REPAIR_MS)
            if orders or self.wanted.models is not None:
                await self._work(orders)

    async def _work(self, orders):
        try:
            state = await self._engine.state()
        except EngineError:
            for order in orders:
                self.mailbox.put(order)
            await self._clock.sleep_ms(REPAIR_MS)
            return
        for order in orders:
            taken = self.wanted.take(order, state.models)
            self._log.info(
                "order_taken" if taken else "order_refused",
                kind=OrderKind(order.kind).name,
                model=order.model,
                plan_token=order.plan_token,
            )
        self.wanted.settle(state)
        if self.wanted.differs(state):
            await self._send(state)

    async def _send(self, state):
        token = await self._fence.token()
        if token is None:
            if self._fence.replaced:
                self._log.warning("fence_lost")
            return
        order = Order(state.role, tuple(self.wanted.models), token)
        try:
            await self._engine.order(order)
        except StaleFence:
            self._log.warning("order_was_stale", token=token)
        except EngineError as error:
            # Whether it arrived shows in the engine's next report.
            self._log.warning("order_lost", why=str(error))
