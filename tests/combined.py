"""Random faults of all kinds over a mixed load, checked by its history.

Usage:
  combined.py [--seeds=LIST] [--seconds=N]

Options:
  --seeds=LIST   Seeds, separated by commas; the fixed list if not given.
  --seconds=N    How long faults go on [default: 20].

A seed fixes the load and the order of faults, not the interleaving of the
processes, so a fault may need more than one run of its seed to show.
"""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import json
import pathlib
import random
import sys
import tempfile
import time
import uuid

from docopt import docopt

from tests.harness.fleet import Fleet
from tests.lang import verbs  # noqa: F401  registers the verbs
from tests.lang.parser import parse
from tests.lang.run import STEPS
from tests.lang.steps_requests import expected_answer
from tests.lang.world import World

SEEDS = (1, 2, 3, 4, 5)
"""Played by `make proofs`."""

FAULTY_SEEDS = ()
"""Seeds that have shown a fault; they stay, and are played too."""

ENTRIES = ("entry-1", "entry-2")
START = (
    "fleet engines=3 services=1 entries=2 engine.base_ms=10 "
    "service.delay_ms=50 relays=entry-1>agent-1,entry-2>agent-2,"
    "agent-3>engine-3,entry-1>table"
)
RELAYS = (
    ("entry-1", "agent-1"),
    ("entry-2", "agent-2"),
    ("agent-3", "engine-3"),
    ("entry-1", "table"),
)
PROCESSES = ("agent-1", "agent-2", "agent-4", "entry-2", "engine-1")
FREEZABLE = (*PROCESSES, "entry-1", "engine-2", "agent-3")


@dataclass
class Asked:
    """One request and what became of it."""

    kind: str
    body: str
    key: str
    reply: object


@dataclass
class History:
    """All that was sent, and all that engines and services counted."""

    asked: list[Asked] = field(default_factory=list)
    faults: int = 0
    jobs: int = 0
    items: int = 0
    origin_starts: dict[str, int] = field(default_factory=dict)
    stamps: dict[str, int] = field(default_factory=dict)
    lost: list[str] = field(default_factory=list)
    doubled: list[str] = field(default_factory=list)
    false_not_run: list[str] = field(default_factory=list)
    run_twice: list[str] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)

    @property
    def violations(self):
        return (
            self.lost
            + self.doubled
            + self.false_not_run
            + self.run_twice
            + self.wrong
        )

    def line(self, seed):
        """Return one line of counts."""
        whole = sum(each.reply.is_whole for each in self.asked)
        return (
            f"seed {seed}: requests {len(self.asked)} (whole {whole}), "
            f"jobs {self.jobs}, items {self.items}, faults {self.faults}, "
            f"lost {len(self.lost)}, doubled {len(self.doubled)}, "
            f'falsely "not run" {len(self.false_not_run)}, '
            f"run twice {len(self.run_twice)}, wrong or cut with a clean "
            f"end {len(self.wrong)}"
        )


class Combined:
    """One run.

    Parameters
    ----------
    seed : int
    seconds : float
    folder : pathlib.Path
    """

    def __init__(self, seed, seconds, folder):
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._world = World(folder)
        self._stopped = False
        self.history = History()

    @property
    def _fleet(self) -> Fleet:
        return self._world.fleet

    async def run(self):
        """Play load and faults, heal, settle, and check."""
        try:
            await self._do(START)
            load = [
                asyncio.create_task(task)
                for task in (
                    *[self._ask_on(random.Random(n)) for n in range(6)],
                    self._submit_on(),
                )
            ]
            await self._inject_until(time.monotonic() + self._seconds)
            self._stopped = True
            await self._heal()
            await asyncio.gather(*load)
            await self._settle_jobs()
            await self._take_counts()
            self._check_online()
        finally:
            await self._world.close()
        return self.history

    async def _do(self, text):
        for step in parse(text, "combined"):
            await STEPS.get(step.verb)(self._world, step)

    # The load.

    async def _ask_on(self, rng):
        while not self._stopped:
            kind = rng.choice(("completion", "stream", "service", "chat"))
            key = uuid.UUID(int=rng.getrandbits(128)).hex
            entry = rng.choice(ENTRIES)
            each = await self._ask(kind, key, entry)
            if kind == "service" and not each.reply.is_whole:
                other = ENTRIES[1 - ENTRIES.index(entry)]
                await self._ask(kind, key, other)

    async def _ask(self, kind, key, entry):
        headers = {}
        if kind == "service":
            path, body = f"/services/title/stamp/{key}", key
            headers["Idempotency-Key"] = key
        else:
            path, body = _model_request(kind, key)
        url = self._fleet.url(entry) + path
        reply = self._fleet.caller.send("POST", url, body, headers)
        each = Asked(kind, body, key, reply)
        self.history.asked.append(each)
        await reply.task
        if reply.status is None:
            # A refused connection must not make the load spin.
            await asyncio.sleep(0.05)
        return each

    async def _submit_on(self):
        while not self._stopped:
            name = f"lot{self.history.jobs}"
            entry = self._rng.choice(ENTRIES)
            try:
                await self._do(
                    f"submit {name} items=30 tokens=20 bad=1 to={entry}"
                )
                self.history.jobs += 1
                self.history.items += 30
            except (AssertionError, OSError, ValueError):
                # Not accepted; if it was, the key finds it again later.
                await asyncio.sleep(0.2)
                if name in self._world.job_by_name:
                    self.history.jobs += 1
                    self.history.items += 30
            except Exception as error:
                if "aiohttp" not in type(error).__module__:
                    raise
                await asyncio.sleep(0.2)
                if name in self._world.job_by_name:
                    self.history.jobs += 1
                    self.history.items += 30
            await asyncio.sleep(1.0)

    # The faults.

    async def _inject_until(self, end):
        faults = (
            self._kill,
            self._freeze,
            self._cut,
            self._silence,
            self._outage,
            self._slow,
            self._drop_answers,
        )
        while time.monotonic() < end:
            chosen = self._rng.sample(faults, self._rng.choice((1, 1, 2)))
            self.history.faults += len(chosen)
            await asyncio.gather(*[fault() for fault in chosen])
            await asyncio.sleep(self._rng.uniform(0.1, 0.8))

    async def _kill(self):
        name = self._rng.choice(PROCESSES)
        if not self._fleet.process_by_name[name].is_running:
            return
        await self._fleet.process_by_name[name].kill()
        await asyncio.sleep(self._rng.uniform(0, 1.0))
        await self._fleet.restart(name)

    async def _freeze(self):
        name = self._rng.choice(FREEZABLE)
        self._fleet.process_by_name[name].freeze()
        await asyncio.sleep(self._rng.uniform(0.2, 3.0))
        self._fleet.process_by_name[name].thaw()

    async def _cut(self):
        self._fleet.relay_by_pair[self._rng.choice(RELAYS)].cut()

    async def _silence(self):
        self._fleet.relay_by_pair[self._rng.choice(RELAYS)].silence()

    async def _outage(self):
        name = self._rng.choice(("table", "objects"))
        await self._fleet.faults(name, outage=True)
        await asyncio.sleep(self._rng.uniform(0.2, 3.0))
        await self._fleet.faults(name, outage=False)

    async def _slow(self):
        await self._fleet.faults("table", slow_ms=300)
        await asyncio.sleep(self._rng.uniform(0.2, 2.0))
        await self._fleet.faults("table", slow_ms=0)

    async def _drop_answers(self):
        await self._fleet.faults("table", drop_answers=2)

    # Settling and checking.

    async def _heal(self):
        for process in self._fleet.process_by_name.values():
            process.thaw()
        for name in ("table", "objects"):
            await self._fleet.faults(
                name, outage=False, slow_ms=0, drop_answers=0
            )
        for name in ENTRIES:
            await self._do(f"wait-until status {name} /readyz == 200")

    async def _settle_jobs(self):
        for name, job in list(self._world.job_by_name.items()):
            try:
                if job["id"] is None:
                    await self._do(f"accept {name}")
                await self._do(
                    f"wait-until terminal {name} entry-1 == 1\n"
                    f"results {name} entry-1 entry-2"
                )
            except AssertionError as error:
                text = str(error)
                doubled = "doubled ['" in text
                kept = self.history.doubled if doubled else self.history.lost
                kept.append(f"{name}: {text[:500]}")

    async def _take_counts(self):
        # A killed engine's counts are gone: what it ran is not counted,
        # so a false "not run" about it could go unseen; the others' are
        # complete.
        self.history.origin_starts = await self._fleet.origin_starts()
        counts = await self._fleet.counts("service-1")
        self.history.stamps = counts["stamps"]

    def _check_online(self):
        history = self.history
        for each in history.asked:
            reply = each.reply
            if reply.is_whole and each.kind != "service":
                wanted = expected_answer(each.kind, json.loads(each.body))
                if reply.text != wanted:
                    history.wrong.append(f"{each.key}: {reply.text[:200]}")
            elif reply.is_whole and not history.stamps.get(each.key):
                history.wrong.append(f"{each.key}: stamped, it says")
            elif reply.status == 200 and not _is_seen_as_cut(reply):
                history.wrong.append(f"{each.key}: {reply.body[-200:]}")
            self._check_not_run(each)
        for key, times in history.stamps.items():
            if times > 1:
                history.run_twice.append(f"{key}: {times}")

    def _check_not_run(self, each):
        reply = each.reply
        error = reply.error if reply.status not in (None, 200) else None
        if error is None or error["ran"] != "no":
            return
        started = self.history.origin_starts.get(
            reply.headers.get("x-request-id"), 0
        )
        if each.kind == "service":
            # "Not run" is of this request; an earlier one under the key
            # may have run, and then a resend is never told "no".
            started = self.history.stamps.get(each.key, 0) and not any(
                other.key == each.key and other is not each
                for other in self.history.asked
            )
        if started:
            self.history.false_not_run.append(f"{each.key}: {error}")


def _model_request(kind, key):
    body = {"model": "repair-notes", "max_tokens": 24, "seed": 1}
    if kind == "chat":
        body["messages"] = [{"role": "user", "content": f"note {key}"}]
        return "/v1/chat/completions", json.dumps(body)
    body |= {"prompt": f"note {key}", "stream": kind == "stream"}
    return "/v1/completions", json.dumps(body)


def _is_seen_as_cut(reply):
    return reply.is_whole or reply.cut is not None or reply.error is not None


async def play(seed, seconds):
    """Play one seed; return its history."""
    with tempfile.TemporaryDirectory() as folder:
        return await Combined(seed, seconds, pathlib.Path(folder)).run()


def main():
    options = docopt(__doc__)
    seeds = options["--seeds"]
    seeds = map(int, seeds.split(",")) if seeds else SEEDS + FAULTY_SEEDS
    bad = 0
    for seed in seeds:
        history = asyncio.run(play(seed, float(options["--seconds"])))
        print(history.line(seed), flush=True)
        for violation in history.violations:
            print(f"  {violation}", flush=True)
        bad += bool(history.violations)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
