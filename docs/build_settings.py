"""Write docs/operators/settings.md anew from the schemas.

Run as ``python -m docs.build_settings``; a test compares.
"""

import pathlib

from dahliashunt.agent.settings import AgentSettings
from dahliashunt.entry.settings import EntrySettings
from dahliashunt.settings.reference import reference

__all__ = ["PAGE", "page"]

PAGE = pathlib.Path(__file__).parent / "operators" / "settings.md"

_HEAD = """# Settings

Settings are YAML files, read once at start. An unknown key, a missing one,
a wrong type or a wrong unit is an error that names file, line and key; the
program then ends with exit code 2. `--check-settings` does only that.
Durations and sizes always carry their unit. This page is made from the
schemas by `python -m docs.build_settings`.

"""


def page() -> str:
    """Return the whole page."""
    return _HEAD + "\n".join(
        [
            reference("dahliashunt-entry", EntrySettings),
            reference("dahliashunt-agent", AgentSettings),
        ]
    )


if __name__ == "__main__":
    PAGE.write_text(page())
