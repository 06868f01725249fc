"""Tests of ``dahliashunt-platform config check`` as operators call it."""

import asyncio
import io
import json
import types

import pytest

from dahliashunt.platform import __main__ as program
from dahliashunt.platform.program import run
from dahliashunt.platform.standins import settings_fields
from dahliashunt.platform.standins import StoreStandin
from dahliashunt.platform.standins.settings import config_fields
from dahliashunt.platform.standins.settings import route_fields
from dahliashunt.platform.standins.settings import workspace_fields

SOUND = config_fields([route_fields()])
WARNED = config_fields([route_fields(prefix="/a")], version=2)
WRONG = config_fields([route_fields(host=3)])


@pytest.fixture
def write(tmp_path):
    """Return a function that writes a JSON file and returns its path."""

    def written(fields, name="config.json"):
        path = tmp_path / name
        path.write_text(json.dumps(fields))
        return str(path)

    return written


def check(*words):
    return program.main(["config", "check", *words])


@pytest.mark.parametrize(
    ("fields", "words", "code"),
    [
        (SOUND, (), 0),
        (SOUND, ("--strict",), 0),
        (WARNED, (), 0),
        (WARNED, ("--strict",), 1),
        (WRONG, ("--strict", "--json"), 2),
        (SOUND, ("--against", "/nowhere/config.json"), 3),
        (SOUND, ("--against", "\0"), 3),
        (SOUND, ("--in-force",), 3),
        (SOUND, ("--in-force", "--against", "x"), 3),
        (SOUND, ("--stric=x",), 3),
    ],
)
def test_exit_codes_tell_the_kinds_of_results(
    write, monkeypatch, fields, words, code
):
    # Guards against a pipeline that sends a faulty file on.
    monkeypatch.delenv("DAHLIASHUNT_CONFIG", raising=False)
    assert check(write(fields), *words) == code


def test_a_file_that_nodes_refuse_is_nothing_to_compare_with(write, capsys):
    # Guards against differences from what was never in force.
    refused = write({}, "old.json")
    assert check(write(SOUND), "--against", refused) == 3
    assert "nodes refuse it" in capsys.readouterr().err


def test_standard_input_is_read_once(write, monkeypatch, capsys):
    # Guards against a file that is compared with an empty rest.
    data = io.BytesIO(json.dumps(WARNED).encode())
    monkeypatch.setattr("sys.stdin", types.SimpleNamespace(buffer=data))
    assert check("-", "--against", write(SOUND), "--json") == 0
    report = json.loads(capsys.readouterr().out)
    assert [each["code"] for each in report["warnings"]] == [
        "unmatchable-prefix"
    ]
    assert report["baseline"]["version"] == 1
    (difference,) = report["differences"]
    assert (difference["change"], difference["name"]) == ("changed", "r-1")
    assert check("-", "--against", "-") == 3
    assert "only once" in capsys.readouterr().err


def test_a_reader_that_leaves_ends_the_check_without_a_traceback(
    write, monkeypatch
):
    # Guards against a traceback where the report is piped to head.
    def leave(*_):
        raise BrokenPipeError

    monkeypatch.setattr("builtins.print", leave)
    monkeypatch.setattr("os.dup2", lambda *_: None)
    monkeypatch.setattr("sys.stdout", types.SimpleNamespace(fileno=lambda: 1))
    assert check(write(SOUND)) == 3


def check_in_force(write, monkeypatch, prepare, fields):
    """Check `fields` against the store that `prepare` has filled."""

    async def scenario():
        store = StoreStandin()
        address = await store.start()
        prepare(store)
        settings = write(settings_fields(address), "settings.json")
        monkeypatch.setenv("DAHLIASHUNT_CONFIG", settings)
        words = ["config", "check", write(fields), "--in-force"]
        try:
            return await asyncio.to_thread(run, program.__doc__, words)
        finally:
            await store.stop()

    return asyncio.run(scenario())


def test_the_version_in_force_is_read_with_its_age(write, monkeypatch, capsys):
    # Guards against a comparison with another version than the platform's.
    def prepare(store):
        store.configure(SOUND)
        store.put("servers", "i-1", {})
        store.put("servers", "i-2", {})

    fields = config_fields([route_fields(name="new")], version=2)
    assert check_in_force(write, monkeypatch, prepare, fields) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[0] == (
        "compared with the version in force, version 1,"
        " store writes since then: 2"
    )
    assert set(lines[1:3]) == {
        "removed route r-1: refused",
        "added route new: served",
    }


@pytest.mark.parametrize(
    ("prepare", "code"),
    [
        (lambda store: store.configure({**SOUND, "version": 7}), 2),
        (lambda store: store.configure(SOUND), 0),
        (lambda store: store.configure(b"\xff"), 3),
        (lambda store: None, 3),
        (lambda store: setattr(store.trouble, "status", 503), 3),
        (lambda store: setattr(store.trouble, "silent", True), 3),
    ],
    ids=["newer", "same", "unreadable", "none", "refusing", "silent"],
)
def test_what_is_in_force_decides(write, monkeypatch, prepare, code):
    # Guards against a version that nodes ignore, and a store that is out.
    assert check_in_force(write, monkeypatch, prepare, SOUND) == code


def test_a_key_in_the_version_in_force_is_not_printed(
    write, monkeypatch, capsys
):
    # Guards against keys in the report on a store that operators may read.
    named = config_fields([], workspaces=[workspace_fields("sk-9", "sk-9")])
    check_in_force(write, monkeypatch, lambda s: s.configure(named), SOUND)
    printed = capsys.readouterr()
    assert "removed workspace (a key): refused" in printed.out
    assert "sk-9" not in printed.out + printed.err
