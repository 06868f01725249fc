"""Starting an example fleet: its ports, and when it counts as ready."""

import asyncio

import aiohttp
from aiohttp import web
import yaml

from examples.fleet import copy_with_free_ports
from examples.fleet import HERE
from examples.fleet import is_ready


def ports_of(folder):
    plan = yaml.safe_load((folder / "fleet.yaml").read_text())
    entry = yaml.safe_load((folder / "entry-1.yaml").read_text())
    standin = {e["name"]: e["port"] for e in plan["processes"] if "port" in e}
    return standin["table"], entry["platform"]["table_url"], plan


def test_a_fleet_takes_free_ports_that_still_belong_together(tmp_path):
    # A demo beside another program that holds one of its fixed ports does
    # not start, and neither do two demos on one machine.
    folders = [tmp_path / "a", tmp_path / "b"]
    for folder in folders:
        folder.mkdir()
        copy_with_free_ports(HERE / "poppenhersteld", folder)
    (first, url, plan), (second, _, _) = map(ports_of, folders)
    assert first != second
    assert url == f"http://127.0.0.1:{first}"
    named = [each["port"] for each in plan["instances"]]
    named += [each["port"] for each in plan["processes"] if "port" in each]
    assert len(set(named)) == len(named)
    assert all(str(port).isdigit() for port in named)


async def _ready(status):
    """Ask an entry whose links are up and that answers `status`."""

    async def endpoints(request):
        return web.json_response({"endpoints": [{"state": "up"}]})

    async def readyz(request):
        return web.Response(status=status)

    app = web.Application()
    app.router.add_get("/operator/endpoints", endpoints)
    app.router.add_get("/readyz", readyz)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0]
    try:
        async with aiohttp.ClientSession() as session:
            return await is_ready(session, f"http://{host}:{port}", 1)
    finally:
        await runner.cleanup()


def test_an_entry_without_records_is_not_ready():
    # The demo's first request was answered "this entry has no
    # configuration yet": all links were up, the records were still on
    # their way, and only the links were looked at.
    assert not asyncio.run(_ready(503))
    assert asyncio.run(_ready(200))
