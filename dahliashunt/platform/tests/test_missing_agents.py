"""Fleets whose agents do not run, and agents without a replica."""

import json
import os
import subprocess
import sys

from structlog.testing import capture_logs

from dahliashunt.platform.standins.settings import settings_fields
from dahliashunt.process import ExitCode

RUN_S = 20


def test_an_agent_without_a_replica_ends_with_an_error(tmp_path):
    """Guards against an agent that looks for no replica for ever."""
    path = tmp_path / "agent.json"
    path.write_text(json.dumps(settings_fields(("127.0.0.1", 9))))
    found = subprocess.run(
        [sys.executable, "-m", "dahliashunt.platform", "agent"],
        env={**os.environ, "DAHLIASHUNT_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=RUN_S,
    )
    assert found.returncode == ExitCode.SETTINGS
    assert f"{path}: app: expected" in found.stderr


def test_an_entry_tells_that_no_agent_answers(platform):
    """Guards against a fleet that serves on for good without its agents."""

    async def scenario(p):
        p.replicas[0].then(events=2)
        entry = p.entries[0]

        def silent():
            return "dahliashunt_agents_silent" in entry.node.metrics.text()

        with capture_logs() as lines:
            await p.call()
            await p.until(lambda: named(lines, "agents_silent"))
            assert silent()
            async with p.agent():
                entry._slots.probe()
                await p.until(lambda: named(lines, "agents_answer"))
        assert len(named(lines, "agents_silent")) == 1

    platform(scenario, engine=True)


def named(lines, event):
    return [line for line in lines if line["event"] == event]
