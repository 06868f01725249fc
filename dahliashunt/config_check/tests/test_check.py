"""Tests of the check of a configuration."""

import json

from hypothesis import assume
from hypothesis import given
from hypothesis import strategies as st
import pytest

from dahliashunt.config_check.check import check_config
from dahliashunt.config_check.config_file import MAX_FILE_BYTES
from dahliashunt.config_check.config_file import read_config
from dahliashunt.config_check.differences import differences
from dahliashunt.config_check.findings import Severity
from dahliashunt.config_check.render import Baseline
from dahliashunt.config_check.render import json_report
from dahliashunt.config_check.render import text_report
from dahliashunt.forwarding.catalog import BrokenRoute
from dahliashunt.platform.catalog_records import decode_records
from dahliashunt.platform.operator import decode_catalog
from dahliashunt.platform.operator import DecodeError
from dahliashunt.platform.standins.settings import config_fields
from dahliashunt.platform.standins.settings import job_route
from dahliashunt.platform.standins.settings import route_fields
from dahliashunt.platform.standins.settings import workspace_fields
from dahliashunt.platform.tests.test_foreign_rows import ANY_JSON
from dahliashunt.platform.tests.test_foreign_rows import config
from dahliashunt.platform.tests.test_foreign_rows import damaged
from dahliashunt.platform.tests.test_foreign_rows import DEEP
from dahliashunt.platform.tests.test_foreign_rows import STEADY

KEY = "sk-7f3a91"


def read(fields):
    return read_config(json.dumps(fields, indent=1).encode())


def findings(fields, **kwargs):
    return check_config(read(fields), **kwargs).findings


def codes(fields):
    return {(each.code, each.path) for each in findings(fields)}


def with_workspaces(*workspaces):
    return config_fields([route_fields()], workspaces=workspaces)


def with_service(**changed):
    fields = config_fields([route_fields()])
    fields["services"][0].update(changed)
    return fields


def printed(file, other=None):
    report = check_config(file, other)
    baseline = other and Baseline("old", 1)
    as_json = json.dumps(json_report("f", report, baseline))
    return "\n".join([*text_report("f", report, baseline), as_json])


def assert_same_as_nodes(data):
    """Assert that the check has an error just where a node has one."""
    found = read_config(data)
    printed(found)
    refused = {e.path for e in found.errors if e.code != "left-out"}
    try:
        decode_catalog(data.decode())
    except (DecodeError, UnicodeDecodeError):
        assert refused and found.decoded is None
        return
    assert not refused
    records = decode_records(json.loads(data))
    broken = {
        (name, at)
        for name, listed in (
            ("routes", records.routes),
            ("tenants", records.workspaces or ()),
        )
        for at, each in enumerate(listed)
        if hasattr(each, "reason")
    }
    assert {each.path[:2] for each in found.errors} == broken


@STEADY
@given(
    st.binary()
    | st.text(max_size=20).map(lambda text: text.encode(errors="replace"))
    | ANY_JSON.map(lambda value: json.dumps(value).encode())
    | damaged(config()).map(str.encode)
    | damaged(config()).flatmap(
        lambda text: damaged(json.loads(text)).map(str.encode)
    )
)
def test_errors_are_those_of_a_node(data):
    # Guards against tracebacks, and against two copies of a rule.
    assert_same_as_nodes(data)


@pytest.mark.parametrize(
    "data", [DEEP.encode(), b"\xff", b"\xef\xbb\xbf{}", b"[1" + b"0" * 9_999]
)
def test_a_file_that_is_no_text_of_a_configuration_is_an_error(data):
    # Guards against tracebacks on what no JSON value stands for.
    assert_same_as_nodes(data)


def test_a_file_longer_than_nodes_read_is_an_error():
    # Guards against a configuration that no node ever reads.
    (error,) = read_config(b" " * (MAX_FILE_BYTES + 1)).errors
    assert error.code == "too-long"


@STEADY
@given(damaged(with_workspaces(workspace_fields("w", KEY))), st.data())
def test_no_report_contains_a_key(text, data):
    # Guards against keys in messages, names or numbers, wherever they stand.
    places = ['"w"', '"/a/"', '"r-1"', "5000", '"llm"']
    place = data.draw(st.sampled_from(places))
    new, old = text.replace(place, f'"{KEY}"'), with_workspaces()
    assume(f'"api-keys": ["{KEY}"]' in new)
    files = read_config(new.encode()), read(old)
    texts = [printed(files[0])]
    if files[0].decoded is not None:
        texts += [printed(*files), printed(files[1], files[0])]
    assert not any(KEY[:5] in each for each in texts)


@pytest.mark.parametrize(
    ("path", "value"),
    [("timeout-ms", "x"), ("priority", 2**40), ("kind", []), ("host", None)],
)
def test_an_error_has_path_line_and_name(path, value):
    # Guards against errors that an operator has to search for.
    broken = route_fields(**{"name": "x", path: value})
    fields = config_fields([route_fields(), broken, 7])
    first, second = findings(fields)
    assert (first.path, first.name) == (("routes", 1, path), "x")
    lines = json.dumps(fields, indent=1).splitlines()
    assert first.line == 1 + max(
        at for at, line in enumerate(lines) if f'"{path}":' in line
    )
    assert lines[second.line - 1].strip() == "7"


def test_all_errors_of_a_file_are_reported_at_once():
    # Guards against a check that has to be run once for each error.
    split = [{"service": 5, "weight": 1}, {"weight": "a"}, 3]
    unused = {"traffic-split": [{"weight": 0}], "kind": "stream"}
    bare = {"name": "b", "host": "h", "prefix": "/b/", **unused}
    fields = {
        "version": "1",
        "routes": [
            7,
            route_fields(**{"traffic-split": split, "cap": "x"}),
            {**bare, "timeout-ms": "x"},
        ],
        "services": [{"name": 3, "engine": {"kv-capacity": "x"}}],
        "limits": {"idle-timeout-ms": -1},
        "tenants": [workspace_fields("", KEY, 5, burst=-1, priority="x")],
    }
    shares = ("routes", 1, "traffic-split")
    service, workspace = ("services", 0), ("tenants", 0)
    assert {each.path for each in findings(fields)} == {
        ("version",),
        ("routes", 0),
        (*shares, 0, "service"),
        (*shares, 1, "weight"),
        (*shares, 1, "service"),
        (*shares, 2),
        ("routes", 1, "cap"),
        ("routes", 2, "service"),
        ("routes", 2, "timeout-ms"),
        (*service, "name"),
        (*service, "health-path"),
        (*service, "engine", "slots"),
        (*service, "engine", "kv-capacity"),
        ("limits", "idle-timeout-ms"),
        (*workspace, "api-keys", 1),
        (*workspace, "name"),
        (*workspace, "burst"),
        (*workspace, "priority"),
    }


def test_a_sound_configuration_has_no_finding():
    # Guards against warnings that operators learn to overlook.
    routes = [route_fields(), job_route("/j/", 30_000, 3)]
    limited = {"rate-per-s": 5, "burst": 10}
    workspaces = [workspace_fields("w", KEY, **limited)]
    assert not findings(config_fields(routes, workspaces=workspaces))


SPLIT = {"service": "llm", "weight": 1}


@pytest.mark.parametrize(
    ("fields", "code", "path"),
    [
        (
            config_fields(
                [route_fields(), route_fields(name="r", host="A.EXAMPLE")]
            ),
            "hidden-route",
            ("routes", 1),
        ),
        (
            config_fields([route_fields(prefix="/a")]),
            "unmatchable-prefix",
            ("routes", 0, "prefix"),
        ),
        (
            config_fields([route_fields(prefix="a/")]),
            "unmatchable-prefix",
            ("routes", 0, "prefix"),
        ),
        (
            config_fields([route_fields(host="http://a")]),
            "unmatchable-host",
            ("routes", 0, "host"),
        ),
        (
            config_fields([route_fields(service="x")]),
            "unknown-service",
            ("routes", 0),
        ),
        (config_fields([]), "unused-service", ("services", 0)),
        (
            config_fields([route_fields(), route_fields(prefix="/b/")]),
            "duplicate-name",
            ("routes", 1, "name"),
        ),
        (
            {**with_service(), "services": 2 * with_service()["services"]},
            "duplicate-name",
            ("services", 0, "name"),
        ),
        (
            with_workspaces(workspace_fields("w", KEY), workspace_fields("w")),
            "duplicate-name",
            ("tenants", 0, "name"),
        ),
        (
            with_workspaces(workspace_fields("w")),
            "no-usable-key",
            ("tenants", 0),
        ),
        (
            with_workspaces(workspace_fields("w", "")),
            "unusable-key",
            ("tenants", 0, "api-keys", 0),
        ),
        (
            with_workspaces(
                workspace_fields("w", KEY), workspace_fields("v", "k", KEY)
            ),
            "shared-key",
            ("tenants", 0, "api-keys", 0),
        ),
        *(
            (
                config_fields([route_fields(**{"traffic-split": split})]),
                "unselected-share",
                ("routes", 0, "traffic-split", 0),
            )
            for split in (
                [{"service": "x", "weight": 0}],
                [{"service": "x", "weight": -1}],
                [SPLIT, SPLIT],
                [{"service": "x", "weight": 1e-30}, SPLIT],
            )
        ),
        (
            config_fields(
                [route_fields(service="x", **{"traffic-split": [SPLIT]})]
            ),
            "unselected-service",
            ("routes", 0, "service"),
        ),
        (
            with_workspaces(
                workspace_fields("w", KEY, burst=0.5, **{"rate-per-s": 1})
            ),
            "burst-below-request",
            ("tenants", 0, "burst"),
        ),
        (
            with_workspaces(workspace_fields("w", KEY, burst=3)),
            "burst-without-rate",
            ("tenants", 0, "burst"),
        ),
        (
            config_fields([route_fields(**{"goal-ms": 6000})]),
            "time-too-short",
            ("routes", 0, "timeout-ms"),
        ),
        (
            config_fields([job_route("/j/", 90_000, 1)]),
            "time-too-short",
            ("routes", 0, "max-wait-s"),
        ),
        (
            config_fields([route_fields(**{"timeout-ms": -1})]),
            "no-time",
            ("routes", 0, "timeout-ms"),
        ),
        (
            config_fields([route_fields(**{"max-attempts": 18})]),
            "attempts-too-many",
            ("routes", 0, "max-attempts"),
        ),
        (
            config_fields([route_fields(resumable=False)]),
            "attempts-unused",
            ("routes", 0, "max-attempts"),
        ),
        (
            config_fields([{**job_route("/j/", 30_000, 3), "cap": 100}]),
            "cap-below-item",
            ("routes", 0, "cap"),
        ),
        (
            with_service(**{"max-conns": 1}),
            "connections-below-slots",
            ("services", 0, "max-conns"),
        ),
        (
            with_service(engine={"slots": 0}),
            "no-slots",
            ("services", 0, "engine", "slots"),
        ),
        (
            {**config_fields([]), "limits": {"max-header-bytes": 0}},
            "no-request-fits",
            ("limits", "max-header-bytes"),
        ),
        (
            config_fields([route_fields(kind="novel")]),
            "unknown-kind",
            ("routes", 0, "kind"),
        ),
        (
            config_fields([route_fields(public="no")]),
            "not-a-flag",
            ("routes", 0, "public"),
        ),
    ],
)
def test_entries_without_effect_and_contradictions_are_warnings(
    fields, code, path
):
    # Guards against each such entry reaching the nodes unnoticed.
    found = [each for each in findings(fields) if each.code == code]
    assert path in {each.path for each in found}
    assert {each.severity for each in found} == {Severity.WARNING}


@pytest.mark.parametrize(
    ("field", "path"),
    [
        ("version", ()),
        ("idle-timeout-ms", ("limits",)),
        ("timeout-ms", ("routes", 0)),
        ("weight", ("routes", 0, "traffic-split", 0)),
        ("slots", ("services", 0, "engine")),
        ("burst", ("tenants", 0)),
    ],
)
def test_a_field_that_stands_twice_is_a_warning(field, path):
    # Guards against values that every reader drops without an error.
    text = json.dumps(config())
    doubled = text.replace(f'"{field}"', f'"{field}": 0, "{field}"')
    found = [
        check_config(read_config(each.encode())).findings
        for each in (doubled, text)
    ]
    assert [
        [each.path for each in report if each.code == "repeated-field"]
        for report in found
    ] == [[path], []]


def test_a_service_of_a_route_that_is_left_out_counts_as_used():
    # Guards against a second report of what the route's error explains.
    fields = config_fields([route_fields(host=None)])
    assert {code for code, _ in codes(fields)} == {"left-out"}


def texts_of_differences(old, new):
    found = differences(read(old).decoded, read(new).decoded)
    return {
        (
            each.change.value,
            each.entry,
            each.name,
            each.effect or tuple((f.field, f.effect) for f in each.fields),
        )
        for each in found
    }


def test_differences_are_by_name_with_their_effect():
    # Guards against reordered entries that look changed.
    limit = {"rate-per-s": 2_000_000}
    stays = route_fields(name="stays", prefix="/s/")
    old = config_fields(
        [stays, route_fields(), route_fields(name="gone")],
        workspaces=[workspace_fields("w", KEY), workspace_fields("v", "k")],
    )
    new = config_fields(
        [route_fields(name="new", cap=1), route_fields(public=True), stays],
        version=2,
        slots=3,
        workspaces=[workspace_fields("v", "k", **limit), {"name": "w"}],
    )
    assert texts_of_differences(old, new) == {
        ("changed", "service", "llm", (("engine", "wider"),)),
        ("added", "route", "new", "served"),
        ("removed", "route", "gone", "refused"),
        ("changed", "route", "r-1", (("public", "opened"),)),
        ("changed", "workspace", "v", (("rate-per-s", "limited"),)),
        ("changed", "workspace", "w", "refused"),
    }
    assert "rate-per-s 0 to 2000000 limited" in printed(read(new), read(old))


def test_a_file_does_not_differ_from_itself():
    # Guards against differences of values that are equal in effect.
    fields = {**config(), "routes": [route_fields(), {"name": "broken"}]}
    assert texts_of_differences(fields, fields) == set()
    assert isinstance(read(fields).decoded.records.routes[1], BrokenRoute)


@pytest.mark.parametrize(
    ("version", "changed", "severity"),
    [
        (1, {}, None),
        (1, {"rank": 1, "priority": 1}, "by-use"),
        (0, {}, "by-use"),
        (2, {"priority": 1}, None),
    ],
)
@pytest.mark.parametrize("is_in_force", [False, True])
def test_a_version_that_nodes_ignore_is_reported(
    version, changed, severity, is_in_force
):
    # Guards against a change that is sent and never comes into force.
    other = read(config_fields([route_fields()]))
    fields = config_fields([route_fields(**changed)], version=version)
    found = findings(fields, other=other, is_in_force=is_in_force)
    worst = Severity.ERROR if is_in_force else Severity.WARNING
    expected = [("version-not-newer", worst)] if severity else []
    assert [(each.code, each.severity) for each in found] == expected
