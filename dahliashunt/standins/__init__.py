"""Stand-ins of the platform and the back ends, for tests and trials."""

from dahliashunt.standins.engine import create_engine
from dahliashunt.standins.faults import StandinApp
from dahliashunt.standins.instances import create_instances
from dahliashunt.standins.objects import create_objects
from dahliashunt.standins.roles import create_app
from dahliashunt.standins.roles import ROLES
from dahliashunt.standins.service import create_service
from dahliashunt.standins.service import expected_answer
from dahliashunt.standins.serving import serve
from dahliashunt.standins.serving import serve_role
from dahliashunt.standins.serving import ServedRole
from dahliashunt.standins.steady_loop import run_steadily
from dahliashunt.standins.table import create_table
from dahliashunt.standins.text import answer_tokens
from dahliashunt.standins.text import expected_text
from dahliashunt.standins.weights import create_weights

__all__ = [
    "ROLES",
    "ServedRole",
    "StandinApp",
    "answer_tokens",
    "create_app",
    "create_engine",
    "create_instances",
    "create_objects",
    "create_service",
    "create_table",
    "create_weights",
    "expected_answer",
    "expected_text",
    "run_steadily",
    "serve",
    "serve_role",
]
