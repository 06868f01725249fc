"""Settings of the programs: YAML, checked against typed schemas."""

from dahliashunt.settings.loader import load_settings
from dahliashunt.settings.loader import parse_settings
from dahliashunt.settings.units import ByteSize
from dahliashunt.settings.units import Milliseconds

__all__ = ["ByteSize", "Milliseconds", "load_settings", "parse_settings"]
