"""How a stand-in engine batches, caches prefixes and takes time.

Pure: no clock and no input or output. Each step admits what fits, in the
order in which it came, prefills the prompts that it admitted and makes
one token for each running stream.
"""

from collections import deque
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field

from dahliashunt.adapters.engine.prefixes import BLOCK_TOKENS
from dahliashunt.ports.engine import EngineLoad

__all__ = ["EngineModel", "EngineTiming", "ModelStream", "PrefixCache"]


@dataclass(frozen=True, slots=True)
class EngineTiming:
    """What a step takes, and what fits.

    Attributes
    ----------
    base_ms : float
        Every step.
    per_stream_ms : float
        Each running stream.
    per_kv_ms : float
        Each thousand tokens in the KV cache.
    prefill_ms : float
        Each thousand prompt tokens that a step prefills.
    max_streams : int
        Running at once.
    kv_tokens : int
        Held at once by the running streams, counted at their full length.
    cache_blocks : int
        Prefix blocks kept.
    """

    base_ms: float = 10
    per_stream_ms: float = 0.25
    per_kv_ms: float = 0.05
    prefill_ms: float = 40
    max_streams: int = 32
    kv_tokens: int = 200_000
    cache_blocks: int = 4096


@dataclass(slots=True)
class ModelStream:
    """One request inside the engine.

    Attributes
    ----------
    stream_id : str
    prompt_tokens, max_tokens : int
    blocks : tuple of int
        Names of the prompt's prefix blocks.
    imported_tokens : int
        Of the prompt, whose KV cache was imported.
    made : int
        Tokens made so far; above 0 from the start if they were imported.
    cached_tokens : int
        Of the prompt, that needed no prefill.
    """

    stream_id: str
    prompt_tokens: int
    max_tokens: int
    blocks: tuple[int, ...] = ()
    imported_tokens: int = 0
    made: int = 0
    cached_tokens: int = 0

    @property
    def full_tokens(self) -> int:
        """Return how much KV cache the stream may come to need."""
        return self.prompt_tokens + self.max_tokens


class PrefixCache:
    """Least recently used prefix blocks.

    Parameters
    ----------
    capacity : int
        Blocks kept.
    """

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._by_name = OrderedDict()
        self._changes = []

    def __len__(self):
        return len(self._by_name)

    def use(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are cached; then cache all."""
        found = 0
        for name in blocks:
            if name not in self._by_name:
                break
            found += 1
        for name in blocks:
            self._insert(name)
        return found

    def take_changes(self) -> list[tuple[int, bool]]:
        """Return blocks that entered (True) or left since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _insert(self, name):
        if name in self._by_name:
            self._by_name.move_to_end(name)
            return
        self._by_name[name] = None
        self._changes.append((name, True))
        if len(self._by_name) > self._capacity:
            oldest, _ = self._by_name.popitem(last=False)
            self._changes.append((oldest, False))


@dataclass(slots=True)
class EngineModel:
    """The batch: who waits, who runs, and what a step takes.

    Attributes
    ----------
    timing : EngineTiming
    step_ms : float
        What the step under way, or else the last one, takes.
    """

    timing: EngineTiming
    step_ms: float = 0.0
    cache: PrefixCache = field(init=False)
    _waiting: deque = field(init=False, default_factory=deque)
    _running_by_id: dict = field(init=False, default_factory=dict)

    def __post_init__(self):
        self.cache = PrefixCache(self.timing.cache_blocks)

    @property
    def running(self) -> int:
        """Return how many streams run."""
        return len(self._running_by_id)

    @property
    def waiting(self) -> int:
        """Return how many streams wait to be admitted."""
        return len(self._waiting)

    @property
    def kv_used_tokens(self) -> int:
        """Return the tokens in the KV cache."""
        return sum(
            each.prompt_tokens + each.made
            for each in self._running_by_id.values()
        )

    def load_now(self) -> EngineLoad:
        """Return the load at this moment."""
        return EngineLoad(
            running=self.running,
            waiting=self.waiting,
            kv_used_tokens=self.kv_used_tokens,
            kv_total_tokens=self.timing.kv_tokens,
            step_ms=self.step_ms,
            age_ms=0,
        )

    def fits(self, stream: ModelStream) -> bool:
        """Return whether the stream could ever be admitted."""
        return stream.full_tokens <= self.timing.kv_tokens

    def submit(self, stream: ModelStream):
        """Add a stream at the end of the queue."""
        self._waiting.append(stream)

    def remove(self, stream_id: str):
        """Take a stream out, wherever it is."""
        if self._running_by_id.pop(stream_id, None) is None:
            self._waiting = deque(
                each for each in self._waiting if each.stream_id != stream_id
            )

    def begin_step(self) -> float:
        """Admit what fits and return what the step takes, in ms.

        Notes
        -----
        O(running streams). Admission is first come first served, and the
        first that does not fit holds back those behind it, as in engines
        without priorities.
        """
        prefill_tokens = 0
        while self._waiting and self._admits(self._waiting[0]):
            prefill_tokens += self._admit(self._waiting.popleft())
        timing = self.timing
        self.step_ms = (
            timing.base_ms
            + timing.per_stream_ms * self.running
            + timing.per_kv_ms * self.kv_used_tokens / 1000
            + timing.prefill_ms * prefill_tokens / 1000
        )
        return self.step_ms

    def end_step(self) -> tuple[ModelStream, ...]:
        """Make one token for each running stream; return these streams.

        Those that are at their full length no longer run afterwards.
        """
        progressed = tuple(self._running_by_id.values())
        for stream in progressed:
            stream.made += 1
            if stream.made >= stream.max_tokens:
                del self._running_by_id[stream.stream_id]
        return progressed

    def _admits(self, stream) -> bool:
        if self.running >= self.timing.max_streams:
            return False
        reserved = sum(e.full_tokens for e in self._running_by_id.values())
        return reserved + stream.full_tokens <= self.timing.kv_tokens

    def _admit(self, stream) -> int:
        """Start a stream and return the tokens of its prompt to prefill."""
        hits = self.cache.use(stream.blocks) * BLOCK_TOKENS
        known = min(max(hits, stream.imported_tokens), stream.prompt_tokens)
        stream.cached_tokens = known
        self._running_by_id[stream.stream_id] = stream
        return stream.prompt_tokens - known
