"""Models and role of a stand-in engine, and the orders that change them."""

import asyncio
from collections import Counter
import uuid

from dahliashunt.adapters.table.calls import PlatformCalls
from dahliashunt.adapters.table.sessions import HttpLimits
from dahliashunt.errors import PlatformError
from dahliashunt.errors import StaleFence
from dahliashunt.ids import FenceToken
from dahliashunt.ports.clock import Clock
from dahliashunt.ports.engine import EngineState
from dahliashunt.ports.engine import LoadedModel
from dahliashunt.ports.engine import Order

__all__ = ["EngineOrders", "parse_models", "weight_names"]

_FETCH_LIMITS = HttpLimits(idle_ms=3_600_000, total_ms=3_600_000)


def parse_models(text: str) -> tuple[LoadedModel, ...]:
    """Return the models that an option names.

    Examples
    --------
    >>> parse_models("a,b@v2+x+y")[1]
    LoadedModel(model='b', version='v2', adapters=('x', 'y'))
    """
    return tuple(_parse_model(each) for each in text.split(",") if each)


def _parse_model(text):
    named, *adapters = text.split("+")
    model, _, version = named.partition("@")
    return LoadedModel(model, version, tuple(adapters))


def weight_names(model: LoadedModel) -> tuple[str, ...]:
    """Return the names of a model's weights in the weight store.

    Examples
    --------
    >>> weight_names(LoadedModel("b", "v2", ("x",)))
    ('b@v2', 'x')
    """
    return (_versioned(model), *model.adapters)


def _versioned(model) -> str:
    return f"{model.model}@{model.version}" if model.version else model.model


class EngineOrders:
    """What the engine has loaded, and its way to what was ordered.

    Parameters
    ----------
    models : tuple of LoadedModel
        Loaded at the start.
    role : str
    checks_fence : bool
        Whether an order with an old token is refused.
    weights_url : str
        Of the weight store; without it a load takes `load_ms`.
    load_ms : int
    clock : Clock

    Attributes
    ----------
    counts : Counter
        Orders taken and refused, loads done and failed.
    """

    def __init__(
        self,
        models: tuple[LoadedModel, ...],
        role: str,
        checks_fence: bool,
        weights_url: str,
        load_ms: int,
        clock: Clock,
    ):
        self.counts = Counter()
        self._first_models = models
        self._first_role = role
        self._models = models
        self._loading = ()
        self._role = role
        self._fence = FenceToken(0)
        self._checks_fence = checks_fence
        self._load_ms = load_ms
        self._clock = clock
        self._incarnation = uuid.uuid4().hex
        self._task = None
        self._weights = None
        if weights_url:
            self._weights = PlatformCalls(weights_url, _FETCH_LIMITS)

    def state(self) -> EngineState:
        """Return what the engine says it is."""
        return EngineState(
            incarnation=self._incarnation,
            role=self._role,
            models=self._models,
            loading=self._loading,
            fence=self._fence,
            checks_fence=self._checks_fence,
        )

    def names(self) -> tuple[str, ...]:
        """Return all that a request may name as its model."""
        found = {}
        for model in self._models:
            for name in (model.model, *weight_names(model)):
                found[name] = None
        return tuple(found)

    def take(self, order: Order):
        """Start towards the ordered end state, in place of any before.

        Raises
        ------
        StaleFence
            Old tokens are refused, and the order carries one.
        """
        if self._checks_fence and order.fence < self._fence:
            self.counts["refused"] += 1
            raise StaleFence(f"fence {order.fence}, held {self._fence}")
        self.counts["taken"] += 1
        self._fence = order.fence
        self._role = order.role
        self._models = tuple(
            kept for kept in map(self._kept, order.models) if kept
        )
        self._loading = tuple(
            each for each in order.models if each not in self._models
        )
        if self._task is not None:
            self._task.cancel()
        self._task = asyncio.create_task(self._load_all())

    def reset(self):
        """Start anew, as after a crash."""
        if self._task is not None:
            self._task.cancel()
        self._incarnation = uuid.uuid4().hex
        self._models = self._first_models
        self._role = self._first_role
        self._loading = ()
        self._fence = FenceToken(0)

    async def close(self):
        """End the load under way and all connections."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._weights is not None:
            await self._weights.close()

    def _kept(self, wanted) -> LoadedModel | None:
        """Return what is loaded of `wanted`, with no more than it names."""
        for have in self._models:
            if _versioned(have) == _versioned(wanted):
                adapters = tuple(
                    each for each in wanted.adapters if each in have.adapters
                )
                return LoadedModel(wanted.model, wanted.version, adapters)
        return None

    async def _load_all(self):
        for wanted in self._loading:
            try:
                await self._load(wanted)
                self.counts["loads"] += 1
            except PlatformError:
                self.counts["failed_loads"] += 1
            self._loading = tuple(e for e in self._loading if e != wanted)

    async def _load(self, wanted):
        """Fetch what is missing of one model, then serve it."""
        have = self._kept(wanted)
        there = weight_names(have) if have else ()
        for name in weight_names(wanted):
            if name not in there:
                await self._fetch(name)
        others = tuple(
            each
            for each in self._models
            if _versioned(each) != _versioned(wanted)
        )
        self._models = (*others, wanted)

    async def _fetch(self, name):
        if self._weights is None:
            await self._clock.sleep_ms(self._load_ms)
            return
        await self._weights.read("POST", "/fetch", json={"name": name})
