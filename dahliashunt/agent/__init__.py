"""The process beside each endpoint: `dahliashunt-agent`."""

from dahliashunt.agent.core import AgentCore
from dahliashunt.agent.serve import serve
from dahliashunt.agent.settings import AgentSettings

__all__ = ["AgentCore", "AgentSettings", "serve"]
