"""What an agent says of itself: greeting and load report."""

from dahliashunt.adapters.wire.gen.link.ttypes import Hello
from dahliashunt.adapters.wire.gen.link.ttypes import LoadReport
from dahliashunt.agent.settings import AgentSettings
from dahliashunt.ports.engine import EngineState
from dahliashunt.ports.engine import LoadedModel
from dahliashunt.version import LINK_VERSION
from dahliashunt.version import VERSION

__all__ = ["hello", "load_report", "model_text"]


def hello(
    settings: AgentSettings,
    incarnation: int,
    revision: int,
    leaving: bool,
    load: LoadReport,
) -> Hello:
    """Return the first frame that an agent sends on a connection."""
    return Hello(
        node_id=settings.node_id,
        incarnation=incarnation,
        version=LINK_VERSION,
        program_version=VERSION,
        revision=revision,
        data_centre=settings.data_centre,
        endpoint_id=settings.endpoint_id,
        leaving=leaving,
        service_name=settings.back_end.service_name or None,
        load=load,
        weight_bytes=settings.back_end.weight_bytes,
    )


def model_text(model: LoadedModel) -> str:
    """Return a loaded model as ``model@version+adapter+adapter``."""
    return "+".join((f"{model.model}@{model.version}", *model.adapters))


def load_report(
    decisions,
    state: EngineState | None,
    draining: frozenset[str],
    busy: frozenset[str],
) -> LoadReport:
    """Return the load report that rides on greetings and heartbeats.

    A draining model is not among `models`, so that nothing new is routed
    to it; it is still among `versions`, since it is loaded.
    """
    status = decisions.status()
    loaded = () if state is None else state.models
    loading = () if state is None else state.loading
    return LoadReport(
        running_online=status.running_online,
        running_batch=status.running_batch,
        waiting_online=status.waiting_online,
        waiting_batch=status.waiting_batch,
        kv_used_tokens=status.kv_used_tokens,
        kv_total_tokens=status.kv_total_tokens,
        step_ms=status.step_ms,
        batch_room=decisions.batch_room(),
        models=[m.model for m in loaded if m.model not in draining],
        age_ms=0,
        versions=[model_text(model) for model in loaded] or None,
        loading=[model_text(model) for model in loading] or None,
        draining=sorted(draining) or None,
        busy=sorted(busy) or None,
    )
