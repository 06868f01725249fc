"""Tests of the settings file, the command line and decoded rows."""

import asyncio
import json

import pytest
import structlog

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.adapters.http1 import encode_request
from dahliashunt.adapters.http1 import exchange_whole
from dahliashunt.adapters.http1 import open_connection
from dahliashunt.adapters.http_server import HttpServer
from dahliashunt.errors import SettingsError
from dahliashunt.metrics import Metrics
from dahliashunt.platform.__main__ import main
from dahliashunt.platform.metrics_page import MetricsPage
from dahliashunt.platform.operator import decode_catalog
from dahliashunt.platform.operator import decode_replica
from dahliashunt.platform.operator import DecodeError
from dahliashunt.platform.reload import SettingsWatch
from dahliashunt.platform.settings import load_settings
from dahliashunt.platform.standins.settings import config_fields
from dahliashunt.platform.standins.settings import replica_fields
from dahliashunt.platform.standins.settings import route_fields
from dahliashunt.platform.standins.settings import settings_fields

STORE = ("10.0.0.1", 80)


@pytest.fixture
def write(tmp_path):
    """Return a function that writes a settings file and returns its path."""
    path = tmp_path / "settings.json"

    def written(text=None, **changed):
        fields = settings_fields(STORE, **changed)
        path.write_text(json.dumps(fields) if text is None else text)
        return str(path)

    return written


def test_settings_are_read_and_unknown_keys_left_alone(write):
    settings = load_settings(write(**{"port-range": [7, 9], "new-key": {}}))
    assert settings.store.address == STORE
    assert (settings.first_port, settings.last_port) == (7, 9)
    assert settings.bounds.termination_grace_ms == 8000
    assert settings.replica is None


@pytest.mark.parametrize(
    ("changed", "named"),
    [
        ({"zone": 3}, "zone"),
        ({"port-range": [9, 7]}, "port-range"),
        ({"listen": None}, "listen"),
        ({"limits": {"cpu-share": 1, "cores": 1}}, "limits.memory-mb"),
        ({"bounds": {"grace-s": "8"}}, "bounds.grace-s"),
        ({"platform": {"address": "10.0.0.1"}}, "platform.address"),
    ],
)
def test_a_wrong_key_is_named(write, changed, named):
    with pytest.raises(SettingsError, match=f"json: {named}: "):
        load_settings(write(**changed))


def test_a_file_without_an_object_is_refused(write):
    for text in ("{", "[]"):
        with pytest.raises(SettingsError):
            load_settings(write(text))


def test_a_broken_file_changes_nothing(write):
    # Guards against a half-written file that replaces valid settings.
    path = write()
    taken = []
    watch = SettingsWatch(
        path,
        load_settings(path),
        taken.append,
        VirtualClock(),
        structlog.get_logger(),
    )
    write('{"node-name": ')
    watch.reload_settings()
    assert taken == []
    write(**{"zone": "south"})
    watch.reload_settings()
    assert [settings.data_centre for settings in taken] == ["south"]


@pytest.mark.parametrize(
    "changed",
    [
        {"address": None},
        {"address": "nowhere"},
        {"slots": "8"},
        {"slots": 0},
        {"state": "asleep"},
        {"service": 7},
        {"born": "yesterday"},
    ],
)
def test_an_invalid_replica_row_is_refused(changed):
    text = json.dumps({**replica_fields(STORE), **changed})
    with pytest.raises(DecodeError):
        decode_replica("i-1", text)


def test_incarnations_of_a_replica_differ():
    incarnations = {
        decode_replica(
            "i-1", json.dumps(replica_fields(STORE, born=born))
        ).incarnation
        for born in (1000, 2000)
    }
    assert len(incarnations) == 2


def test_a_split_route_sends_by_its_weights():
    route = route_fields()
    del route["service"]
    route["traffic-split"] = [
        {"service": "llm", "weight": 90},
        {"service": "new", "weight": 10},
        {"service": "off", "weight": 0},
    ]
    catalog = decode_catalog(json.dumps(config_fields([route])))
    route = catalog.match("a.example", "/a/x")
    drawn = [route.service_for(f"r{n}") for n in range(2000)]
    assert set(drawn) == {"llm", "new"}
    assert 120 < drawn.count("new") < 280


def test_an_unknown_kind_may_run_once():
    text = json.dumps(config_fields([route_fields(kind="novel")]))
    assert not decode_catalog(text).routes[0].repeatable


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"version": 1}'])
def test_an_invalid_configuration_is_refused(text):
    with pytest.raises(DecodeError):
        decode_catalog(text)


def test_the_command_line_checks_settings(write, monkeypatch, capsys):
    monkeypatch.setenv("DAHLIASHUNT_CONFIG", write(zone=3))
    assert main(["entry", "--check-settings"]) == 2
    assert "zone: expected a non-empty string" in capsys.readouterr().err
    monkeypatch.setenv("DAHLIASHUNT_CONFIG", write())
    assert main(["agent", "--check-settings"]) == 0
    assert main(["entry", "--metrics-port", "x"]) == 2


def test_metrics_are_served_as_text():
    async def run():
        metrics = Metrics("front-1")
        metrics.count("served", kind="stream")
        server = HttpServer(
            MetricsPage(metrics), "127.0.0.1", 0, lifespan=False
        )
        await server.start()
        connection = await open_connection("127.0.0.1", server.port, 1000)
        answer = await exchange_whole(
            connection,
            encode_request("GET", "/metrics", [("Host", "h")]),
            SystemClock(),
            5000,
        )
        await server.stop_now()
        return answer.body.decode()

    line = 'dahliashunt_served_total{node="front-1",kind="stream"} 1'
    assert line in asyncio.run(run())


@pytest.mark.parametrize(
    ("stated", "version"),
    [({"version": "v2"}, "v2"), ({"version": 2}, ""), ({"version": None}, "")],
)
def test_a_replica_without_a_readable_version_has_none(stated, version):
    # Guards against taking rows of other types for one common version.
    text = json.dumps(replica_fields(("10.0.0.1", 80), **stated))
    assert decode_replica("i-1", text).version == version
