"""Verbs that send many requests: bursts, and a load that goes on."""

import asyncio
from dataclasses import replace
import json

from tests.harness.client import NOT_SENT
from tests.lang.run import STEPS
from tests.lang.steps_requests import expected_answer
from tests.lang.steps_requests import request_of
from tests.lang.steps_requests import send

NEXT_ENTRY_S = 0.02


@STEPS.register("burst")
async def burst(world, step):
    """Send count=N requests at once: NAME KIND [to=ENTRY,ENTRY...].

    They are called NAME-1, NAME-2 and so on; entries take turns.
    """
    name, kind = step.word(0, "name"), step.word(1, "kind")
    entries = step.options.get("to", "entry-1").split(",")
    for at in range(1, int(step.options["count"]) + 1):
        each = f"{name}-{at}"
        options = {**step.options, "to": entries[at % len(entries)]}
        options.setdefault("prompt", f"note for {each}")
        await send(world, replace(step, words=(each, kind), options=options))


class Load:
    """Callers that send one request after the other, as a balancer would.

    A request goes to the entries in turn, but only to one that says it is
    ready and accepts the connection, as behind the platform's balancer.
    Every end but the whole right answer counts as failed.
    """

    def __init__(self, world, name, kind, options):
        self._world = world
        self._name = name
        self._kind = kind
        self._options = options
        self._entries = options.get("to", "entry-1").split(",")
        self._stopped = False
        self.answered = 0
        self.failed = []
        at_once = int(options.get("at_once", 4))
        self._tasks = [
            asyncio.create_task(self._work(number))
            for number in range(at_once)
        ]

    async def _work(self, number):
        count = 0
        while not self._stopped:
            count += 1
            name = f"{self._name}-{number}-{count}"
            await self._ask(name, number + count)

    async def _ask(self, name, turn):
        options = {"prompt": f"note for {name}", **self._options}
        path, body = request_of(self._kind, name, options)
        while True:
            entry = self._entries[turn % len(self._entries)]
            if await self._is_ready(entry):
                reply = self._world.fleet.caller.send(
                    "POST", self._world.fleet.url(entry) + path, body
                )
                await reply.task
                if reply.cut != NOT_SENT:
                    break
            turn += 1
            await asyncio.sleep(NEXT_ENTRY_S)
        if reply.is_whole and (
            reply.text == expected_answer(self._kind, json.loads(body))
        ):
            self.answered += 1
        else:
            self.failed.append(
                (name, entry, reply.status, reply.cut, reply.body[-300:])
            )

    async def _is_ready(self, entry):
        url = self._world.fleet.url(entry) + "/readyz"
        reply = self._world.fleet.caller.send("GET", url)
        await reply.task
        return reply.status == 200

    async def stop(self):
        """Let the requests in progress end."""
        self._stopped = True
        await asyncio.gather(*self._tasks)

    def cancel(self):
        for task in self._tasks:
            task.cancel()


@STEPS.register("load")
async def load(world, step):
    """Begin a load: NAME KIND [at_once=N] [to=ENTRY,ENTRY...]."""
    name, kind = step.word(0, "name"), step.word(1, "kind")
    world.load_by_name[name] = Load(world, name, kind, step.options)


@STEPS.register("unload")
async def unload(world, step):
    """End a load; none of its requests failed, at least least=N came."""
    each = world.load_by_name.pop(step.word(0, "load"))
    await each.stop()
    if each.failed:
        step.fail(f"{len(each.failed)} failed, first: {each.failed[:3]}")
    if each.answered < int(step.options.get("least", 1)):
        step.fail(f"only {each.answered} were answered")
