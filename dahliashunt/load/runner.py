"""Run a plan: an open loop of requests, with batch jobs beside."""

import asyncio
import time

import aiohttp

from dahliashunt.adapters.table.bounded_connector import BoundedConnector
from dahliashunt.load.beside import BatchLoad
from dahliashunt.load.client import send
from dahliashunt.load.mix import asks
from dahliashunt.load.plan import Plan
from dahliashunt.load.result import Result

__all__ = ["run_plan"]


async def run_plan(plan: Plan) -> Result:
    """Run a plan against running entries and return its result.

    Notes
    -----
    Each request is sent at its intended time whether or not others have
    been answered. A sender that falls behind shows in ``sent_late_ms``.
    """
    result = Result(plan)
    connector = BoundedConnector(limit=0, keepalive_timeout=30)
    timeout = aiohttp.ClientTimeout(total=plan.give_up_s)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        if plan.batch is None:
            await _online(session, plan, result)
        else:
            await _beside_batch(session, plan, result)
    return result


async def _beside_batch(session, plan, result):
    batch = BatchLoad(session, plan)
    await batch.submit()
    watch = asyncio.create_task(batch.watch())
    try:
        await asyncio.sleep(plan.batch.lead_s)
        first = time.perf_counter()
        await _online(session, plan, result)
        await asyncio.sleep(max(0, first + plan.seconds - time.perf_counter()))
        last = min(time.perf_counter(), first + plan.seconds)
        if watch.done():
            watch.result()
    finally:
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
        await batch.cancel()
    result.batch_rate = batch.rate(first, last)
    result.submit_refusals = batch.submit_refusals


async def _online(session, plan, result):
    start_ns = time.perf_counter_ns()
    tasks = set()

    def ended(task):
        tasks.discard(task)
        result.add(task.result())

    for ask in asks(plan):
        due_ns = start_ns + int(ask.at_s * 1e9)
        early = due_ns - time.perf_counter_ns()
        if early > 0:
            await asyncio.sleep(early / 1e9)
        url = plan.entries[ask.number % len(plan.entries)]
        task = asyncio.create_task(send(session, url, plan, ask, due_ns))
        tasks.add(task)
        task.add_done_callback(ended)
    while tasks:
        await asyncio.wait(set(tasks))
