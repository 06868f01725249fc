"""Choose the adapter for the back end beside an agent."""

from dahliashunt.adapters.engine import DIALECTS
from dahliashunt.adapters.engine import PlainService
from dahliashunt.agent.settings import AgentSettings
from dahliashunt.agent.settings import BackEndKind

__all__ = ["make_engine"]


def make_engine(settings: AgentSettings):
    """Return the `Engine` that the settings name."""
    back_end = settings.back_end
    if back_end.kind is BackEndKind.SERVICE:
        return PlainService(back_end.url)
    return DIALECTS.get(back_end.dialect)(back_end.url)
