"""Field descriptions that several kinds share."""

from dahliashunt.records.fields import Field
from dahliashunt.records.fields import ListOf
from dahliashunt.records.fields import Struct
from dahliashunt.records.fields import Text

__all__ = [
    "KEYS",
    "NAME",
    "NAMES",
    "NAME_PATTERN",
    "PERMITTED",
    "TITLE",
    "VERSIONED",
]

NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._:-]{0,126}"

NAME = Text(
    NAME_PATTERN, "a name of letters, digits and . _ : - (at most 127)"
)
VERSIONED = Text(
    rf"{NAME_PATTERN}@{NAME_PATTERN}", "a model and its version, model@version"
)
TITLE = Text(r"(?s).{1,200}", "a text of 1 to 200 characters")
NAMES = ListOf(NAME)
PERMITTED = ListOf(Text(rf"\*|{NAME_PATTERN}", 'a name, or "*" for all'))
"""What a caller may use; an absent list permits nothing."""

KEYS = ListOf(
    Struct(
        {
            "id": Field(NAME, required=True),
            "sha256": Field(
                Text(r"[0-9a-f]{64}", "the key's SHA-256, 64 hex digits"),
                required=True,
            ),
        }
    ),
    most=20,
)
"""API keys. Only hashes are stored; keys are long random texts, so an
unsalted hash can be looked up at once and not be guessed back."""
