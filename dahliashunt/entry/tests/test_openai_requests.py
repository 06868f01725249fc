"""Fields of the dialect that have a wrong type."""

import json

import pytest

from dahliashunt.entry.openai_requests import CHAT_PATH
from dahliashunt.entry.openai_requests import parse_model_call
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError

BODY = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}


def parse(**changed):
    return parse_model_call(CHAT_PATH, json.dumps(BODY | changed).encode())


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("temperature", "hot"),
        ("temperature", True),
        ("top_p", [1]),
        ("n", 1.5),
        ("stop", 7),
        ("seed", "1"),
        ("tools", {}),
        ("stream", 1),
        ("max_tokens", True),
    ],
)
def test_a_wrong_type_is_refused_and_named(field, value):
    with pytest.raises(RequestError) as raised:
        parse(**{field: value})
    assert raised.value.kind is ErrorKind.BAD_REQUEST
    assert raised.value.param == field


def test_right_types_and_null_go_through():
    parse(temperature=1, top_p=0.5, stop="x", n=2, seed=None, stream=True)
    parse(stop=["a", "b"], tools=[], logit_bias={})
