"""Options of a stand-in engine, and the marks that it obeys."""

from dataclasses import dataclass

from dahliashunt.standins.engine_model import EngineTiming

__all__ = ["CRASH_MARK", "HOPELESS_MARK", "EngineOptions"]

CRASH_MARK = b"CRASH-ENGINE"
"""A completion request with this in its body crashes the engine."""

HOPELESS_MARK = b"CANNOT-BE-DONE"
"""A completion request with this in its body is always refused."""


@dataclass(frozen=True, slots=True)
class EngineOptions(EngineTiming):
    """What the engine serves, and its habits.

    Attributes
    ----------
    models : str
        ``name[@version][+adapter...]``, separated by commas.
    role : str
    vocabulary : str
        Words of the answers, separated by commas; empty takes the usual.
    hashed_length : bool
        Answers may be shorter than asked, by hash of the request.
    orphan_ms : int
        For which a stream without readers goes on.
    keep_ms, keep_streams : int
        For how long, and how many, ended streams can be resumed.
    count_ids : bool
        Whether counts are kept by id too; a long load run needs none.
    exports_kv : bool
    checks_fence : bool
        Whether orders with an old fence token are refused.
    weights : str
        URL of the weight store; without it a load takes `load_ms`.
    load_ms : int
    load_lag_ms : int
        Age of a load report, at least.
    cache_lag_ms : int
        Delay of cache events.
    cache_loss : float
        Share of cache events that are lost.
    crash : str
        ``exit`` ends the process; ``restart`` stays in it and loses all
        streams and connections, for use inside a test's process.
    """

    models: str = "model-a"
    role: str = "serve"
    vocabulary: str = ""
    hashed_length: bool = False
    orphan_ms: int = 5000
    keep_ms: int = 60_000
    keep_streams: int = 10_000
    count_ids: bool = True
    exports_kv: bool = True
    checks_fence: bool = True
    weights: str = ""
    load_ms: int = 1000
    load_lag_ms: int = 500
    cache_lag_ms: int = 500
    cache_loss: float = 0.02
    crash: str = "exit"
