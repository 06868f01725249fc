"""Tests of the headers that describe a request's prompt."""

from dahliashunt.platform.caller_key import caller_key
from dahliashunt.platform.prompts import prompt_and_output
from dahliashunt.platform.prompts import shared_parts


def test_only_whitespace_of_headers_is_trimmed():
    """Guards against two values that become one by what is trimmed."""
    assert shared_parts(" a:1,\tb\xa0:2,\x85c:3,d:4") == (
        "a",
        "b\xa0",
        "\x85c",
    )
    assert prompt_and_output(" 14 ,\t8") == (14, 8)
    assert prompt_and_output("14\x85,8") == (0, 0)
    assert caller_key({"authorization": "Token  k\xa0 "}) == "k\xa0"
