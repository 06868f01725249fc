"""Rows of the list and of the configuration that other programs wrote."""

import contextlib
import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from dahliashunt.errors import RequestError
from dahliashunt.platform.dialect import decode_report
from dahliashunt.platform.job_bodies import decode_submission
from dahliashunt.platform.operator import decode_catalog
from dahliashunt.platform.operator import decode_replica
from dahliashunt.platform.operator import DecodeError
from dahliashunt.platform.standins.settings import config_fields
from dahliashunt.platform.standins.settings import replica_fields
from dahliashunt.platform.standins.settings import route_fields
from dahliashunt.platform.standins.settings import workspace_fields

ADDRESS = ("10.0.0.1", 80)
STEADY = settings(derandomize=True, deadline=None, max_examples=300)
REPORT = {"runs": [["r", 1, 2, 0]], "num-running": 1, "num-waiting": 0}
DEEP = "[" * 100_000

EXTREMES = (
    float("nan"),
    float("inf"),
    1e308,
    10**400,
    -(2**63),
    "9" * 5_000,
    "60" * 1_000,
    "\ud800",
    "\u00b2",
    "10.0.0.1:\u0663",
    "a..b:80",
    "a\x00b:80",
    {},
    [[]],
)
LEAVES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.sampled_from(EXTREMES)
)
ANY_JSON = st.recursive(
    LEAVES,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


def replace_one(value, draw):
    """Return `value` with one of its parts replaced by any JSON."""
    is_whole = not isinstance(value, dict | list) or not value
    if is_whole or draw(st.integers(0, 5)) == 0:
        return draw(st.sampled_from(EXTREMES) | ANY_JSON)
    if isinstance(value, dict):
        name = draw(st.sampled_from(sorted(value)))
        return {**value, name: replace_one(value[name], draw)}
    return [replace_one(value[0], draw), *value[1:]]


def damaged(value):
    """Return a strategy of texts of `value` with one part replaced."""

    @st.composite
    def texts(draw):
        return json.dumps(replace_one(value, draw))

    return texts()


def config():
    route = route_fields(
        **{"traffic-split": [{"service": "llm", "weight": 1}], "cap": 3}
    )
    workspace = workspace_fields("w", "key", burst=3, priority=1)
    fields = config_fields([route], workspaces=[workspace])
    return {**fields, "limits": {"idle-timeout-ms": 9_000}}


def assert_only_decode_errors(decode, text):
    with contextlib.suppress(DecodeError):
        decode(text)


@STEADY
@given(st.text() | damaged(replica_fields(ADDRESS, born=5)))
def test_any_row_of_the_list_is_decoded_or_refused(text):
    # Guards against a row whose error ends the follower of the list.
    assert_only_decode_errors(lambda one: decode_replica("i-1", one), text)


@STEADY
@given(st.text() | damaged(config()))
def test_any_configuration_is_decoded_or_refused(text):
    # Guards against a configuration whose error ends its follower.
    assert_only_decode_errors(decode_catalog, text)


@STEADY
@given(st.binary() | damaged(REPORT))
def test_any_report_is_decoded_or_refused(body):
    # Guards against a report whose error ends the agent.
    with contextlib.suppress(ValueError):
        decode_report(body)


@pytest.mark.parametrize(
    "decode", [decode_catalog, lambda text: decode_replica("i-1", text)]
)
def test_a_text_nested_without_end_is_refused(decode):
    # Guards against a RecursionError in place of a DecodeError.
    with pytest.raises(DecodeError):
        decode(DEEP)


@pytest.mark.parametrize(
    "changed",
    [
        {"slots": float("nan")},
        {"slots": float("inf")},
        {"slots": 2.5},
        {"slots": 10**400},
        {"slots": 2**40},
        {"slots": True},
        {"born": float("inf")},
        {"cold-left-ms": float("nan")},
        {"zone": 7},
        {"service": "\ud800"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:65536"},
        {"address": "10.0.0.1:\u00b2"},
        {"address": "10.0.0.1:\u0663\u0664"},
        {"address": "a..b:80"},
        {"address": "a\x00b:80"},
        {"address": "x" * 64 + ":80"},
    ],
)
def test_a_row_with_a_value_that_fails_later_is_refused(changed):
    # Guards against rows whose values raise errors where they are used.
    text = json.dumps({**replica_fields(ADDRESS), **changed})
    with pytest.raises(DecodeError):
        decode_replica("i-1", text)


@pytest.mark.parametrize("host", ["10.0.0.1", "a.b-c.d", "[::1]", "n_1"])
def test_addresses_of_every_form_are_decoded(host):
    # Guards against a check of hosts that leaves out sound replicas.
    replica = decode_replica("i-1", json.dumps(replica_fields((host, 80))))
    assert replica.address == (host, 80)


@pytest.mark.parametrize(
    "changed",
    [
        {"name": ["r"]},
        {"timeout-ms": float("inf")},
        {"cap": 10**400},
        {"traffic-split": [{"service": "llm", "weight": float("inf")}]},
        {"traffic-split": [{"service": "llm", "weight": 10**400}]},
    ],
)
def test_a_route_with_a_value_that_fails_later_is_broken(changed):
    # Guards against an error at the route's requests or in the follower.
    routes = [route_fields(**changed), route_fields(prefix="/b/")]
    catalog = decode_catalog(json.dumps(config_fields(routes)))
    assert [route.prefix for route in catalog.broken] == ["/a/"]
    assert [route.prefix for route in catalog.routes] == ["/b/"]


@pytest.mark.parametrize(
    "changed",
    [
        {"version": float("nan")},
        {"version": "2"},
        {"limits": {"idle-timeout-ms": "9"}},
        {"routes": "abc"},
    ],
)
def test_a_configuration_that_fails_later_is_refused(changed):
    # Guards against errors where revisions are compared and limits applied.
    with pytest.raises(DecodeError):
        decode_catalog(json.dumps({**config_fields([]), **changed}))


def test_a_text_in_place_of_a_list_of_keys_makes_no_keys():
    # Guards against a workspace that is reached with single letters.
    workspace = {"name": "w", "api-keys": "secret"}
    text = json.dumps(config_fields([], workspaces=[workspace]))
    workspaces = decode_catalog(text).workspaces
    assert workspaces.find_by_key("s") is None
    assert not workspaces.knows_all_keys


@pytest.mark.parametrize("text", ["a\r\nx: y", "\u6f22"])
@pytest.mark.parametrize("field", ["replica", "id", "path", "name", "value"])
def test_a_text_that_no_header_can_hold_is_refused(field, text):
    """Guards against text that adds headers or requests on a connection.

    Text that can't be encoded raised an error once a replica was chosen.
    """
    item = {"id": "a", "path": "/a", "tokens": 1, "headers": {"x-a": "b"}}
    if field == "replica":
        with pytest.raises(DecodeError):
            decode_replica(text, json.dumps(replica_fields(ADDRESS)))
        return
    if field in item:
        item[field] = text
    else:
        item["headers"] = {text: "b"} if field == "name" else {"x-a": text}
    with pytest.raises(RequestError):
        decode_submission(json.dumps({"requests": [item]}).encode())


def test_a_submission_that_nests_without_end_is_refused():
    """Guards against an error of another type than that of a bad request."""
    with pytest.raises(RequestError):
        decode_submission(DEEP.encode())
