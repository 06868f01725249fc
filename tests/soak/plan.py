"""Which faults a seed plays, and when.

Each kind is a coroutine function of the fleet and a source of luck that
causes a fault, waits, and heals it. `FAULTS` registers them by name.
"""

import asyncio
import signal

from dahliashunt.decisions.registry import Registry
from dahliashunt.platform.standins.replica import Step
from dahliashunt.platform.standins.settings import UNREADABLE_REPLICAS
from tests.soak.proxy import Link
from tests.soak.replica import EVENTS
from tests.soak.replica import VERSIONS

__all__ = ["FAULTS", "draw"]

OFTEN = {
    "entries_killed_in_series",
    "entry_killed",
    "replica_cut",
    "replica_fails",
    "store_lands_late",
    "version_rolled_out",
}
"""Drawn twice as often as the others: what they break shows in few of the
requests that they meet."""

FAULTS = Registry("soak fault")


def draw(rng, faults, for_s):
    """Return when each of `faults` faults begins, and its name."""
    names = [*FAULTS, *(name for name in FAULTS if name in OFTEN)]
    plan = [(rng.uniform(0, for_s), rng.choice(names)) for _ in range(faults)]
    return sorted(plan)


async def _last(rng, least_ms=300, most_ms=2_500):
    await asyncio.sleep(rng.uniform(least_ms, most_ms) / 1_000)


@FAULTS.register("entry_killed")
async def _entry_killed(fleet, rng):
    await _killed(rng.choice(fleet.entries), rng)


@FAULTS.register("agent_killed")
async def _agent_killed(fleet, rng):
    await _killed(rng.choice(fleet.agents), rng)


async def _killed(machine, rng, least_ms=300, most_ms=2_500):
    await machine.kill()
    await _last(rng, least_ms, most_ms)
    if not machine.is_up:
        await machine.start()


@FAULTS.register("entries_killed_in_series")
async def _entries_killed_in_series(fleet, rng):
    """Kill each owner of a job soon after it has taken the job over."""
    for _ in range(rng.randint(2, 5)):
        await _killed(rng.choice(fleet.entries), rng, 100, 1_500)


@FAULTS.register("entries_leave_in_series")
async def _entries_leave_in_series(fleet, rng):
    """Replace the entries one after another, each before the last is gone."""
    async with asyncio.TaskGroup() as group:
        for machine in rng.sample(fleet.entries, len(fleet.entries)):
            group.create_task(_leaves(fleet, machine))
            await _last(rng, 200, 1_500)


@FAULTS.register("entry_leaves_and_is_killed")
async def _entry_leaves_and_is_killed(fleet, rng):
    machine = rng.choice(fleet.entries)
    machine.send(signal.SIGTERM)
    await _last(rng, 0, 3_000)
    await _killed(machine, rng)


@FAULTS.register("settings_changed_in_series")
async def _settings_changed_in_series(fleet, rng):
    for _ in range(rng.randint(2, 6)):
        machine = rng.choice([*fleet.entries, *fleet.agents])
        if machine.has_started():
            # Python itself ends by SIGHUP until the program ignores it.
            machine.send(signal.SIGHUP)
        fleet.configure()
        await _last(rng, 20, 400)


@FAULTS.register("all_killed")
async def _all_killed(fleet, rng):
    machines = [*fleet.entries, *fleet.agents]
    await asyncio.gather(*(machine.kill() for machine in machines))
    await _last(rng, 0, 300)
    for machine in machines:
        if not machine.is_up:
            await machine.start()


@FAULTS.register("entry_paused")
async def _entry_paused(fleet, rng):
    await _paused(rng.choice(fleet.entries), rng)


@FAULTS.register("agent_paused")
async def _agent_paused(fleet, rng):
    await _paused(rng.choice(fleet.agents), rng)


async def _paused(machine, rng):
    machine.send(signal.SIGSTOP)
    await _last(rng)
    machine.send(signal.SIGCONT)


@FAULTS.register("entry_leaves")
async def _entry_leaves(fleet, rng):
    await _leaves(fleet, rng.choice(fleet.entries))


@FAULTS.register("agent_leaves")
async def _agent_leaves(fleet, rng):
    await _leaves(fleet, rng.choice(fleet.agents))


async def _leaves(fleet, machine):
    process = machine.process
    if not machine.is_up:
        return
    code = await machine.leave()
    if machine.process is not process:
        # Another fault has started it anew meanwhile.
        return
    if code != -signal.SIGTERM or machine.has_started():
        # Python itself ends by the signal until the program listens to
        # it; nothing was taken by then.
        fleet.exits.append((machine.name, code))
    await machine.kill()
    await machine.start()


@FAULTS.register("clock_jumps")
async def _clock_jumps(fleet, rng):
    machine = rng.choice([*fleet.entries, *fleet.agents])
    if machine.has_started():
        # The signal ends a process whose clock is not yet replaced.
        machine.send(signal.SIGUSR1)


@FAULTS.register("store_silent")
async def _store_silent(fleet, rng):
    await _store_trouble(fleet, rng, "silent", True, False)


@FAULTS.register("store_refuses")
async def _store_refuses(fleet, rng):
    await _store_trouble(fleet, rng, "status", 503, None)


@FAULTS.register("store_slow")
async def _store_slow(fleet, rng):
    await _store_trouble(fleet, rng, "delay_ms", 150, 0)


async def _store_trouble(fleet, rng, name, bad, good):
    setattr(fleet.store.trouble, name, bad)
    await _last(rng)
    setattr(fleet.store.trouble, name, good)


@FAULTS.register("store_loses_answers")
async def _store_loses_answers(fleet, rng):
    fleet.store.trouble.lose_answers += rng.randint(1, 8)


@FAULTS.register("store_lands_late")
async def _store_lands_late(fleet, rng):
    fleet.store.trouble.late_ms = rng.randint(100, 4_000)
    fleet.store.trouble.late_writes += rng.randint(1, 8)


@FAULTS.register("store_forgets_history")
async def _store_forgets_history(fleet, rng):
    fleet.store.forget_history()


@FAULTS.register("store_cut")
async def _store_cut(fleet, rng):
    links = list(fleet.store_link_by_name.values())
    await _broken(rng.choice(links), rng)


@FAULTS.register("replica_cut")
async def _replica_cut(fleet, rng):
    await _broken(rng.choice(fleet.replica_links), rng)


async def _broken(link, rng):
    """Cut one way, swallow both, refuse, delay, or reset at once."""
    how = rng.choice(("up", "down", "both", "refuse", "delay", "reset"))
    if how == "reset":
        link.reset_all()
        return
    link.link = Link(
        delay_ms=200 if how == "delay" else 0,
        up=how not in ("up", "both"),
        down=how not in ("down", "both"),
        refuse=how == "refuse",
    )
    await _last(rng)
    link.link = Link()
    if how != "delay":
        # Bytes were swallowed: what goes on here would have a hole, and
        # no real network delivers that.
        link.reset_all()


@FAULTS.register("callers_cut")
async def _callers_cut(fleet, rng):
    rng.choice(fleet.caller_links).reset_all()


@FAULTS.register("callers_bunched")
async def _callers_bunched(fleet, rng):
    """Give most new connections to one entry."""
    fleet.bunched_entry = rng.randrange(len(fleet.entries))
    await _last(rng, 1_000, 4_000)
    fleet.bunched_entry = None


@FAULTS.register("callers_slow")
async def _callers_slow(fleet, rng):
    link = rng.choice(fleet.caller_links)
    link.link = Link(delay_ms=rng.randint(5, 60))
    await _last(rng)
    link.link = Link()


@FAULTS.register("replica_fails")
async def _replica_fails(fleet, rng):
    """A share of its requests is cut, fails, or falls silent."""
    replica = rng.choice(fleet.replicas)
    step = rng.choice(
        (
            Step(events=EVENTS, cut_after=rng.randrange(EVENTS)),
            Step(events=EVENTS, silent_after=rng.randrange(EVENTS)),
            Step(reset_unanswered=True, head_ms=rng.choice((0, 45))),
            Step(status=500, body=b"broken"),
            Step(status=503, not_run=True, body=b""),
            Step(body=b"short", cut_body_at=2),
        )
    )
    replica.step_by_chance = [(rng.choice((0.3, 1.0)), step)]
    await _last(rng, 800, 4_000)
    replica.step_by_chance = []


@FAULTS.register("crashing_requests_together")
async def _crashing_requests_together(fleet, rng):
    """Send them to all entries, and again when the replicas are back."""
    for _ in range(rng.randint(2, 4)):
        await fleet.send_crashes()
        await _last(rng, 1_500, 4_000)


@FAULTS.register("replicas_crash_in_series")
async def _replicas_crash_in_series(fleet, rng):
    """Crash replicas in bursts that no request has caused."""
    for _ in range(rng.randint(3, 6)):
        count = rng.randint(1, len(fleet.replicas))
        for replica in rng.sample(fleet.replicas, count):
            replica.go_down()
        await _last(rng, 300, 900)


@FAULTS.register("replica_unlisted")
async def _replica_unlisted(fleet, rng):
    number = rng.randrange(len(fleet.replicas))
    fleet.store.unlist_replica(fleet.replicas[number].replica_id)
    await _last(rng)
    fleet.list_replica(number)


@FAULTS.register("version_rolled_out")
async def _version_rolled_out(fleet, rng):
    """Replace replicas one after another while their streams run."""
    version = rng.choice(VERSIONS)
    count = rng.randint(1, len(fleet.replicas))
    for number in rng.sample(range(len(fleet.replicas)), count):
        await fleet.replace_replica(number, version, rng.uniform(0.1, 0.8))


@FAULTS.register("list_unreadable")
async def _list_unreadable(fleet, rng):
    fleet.store.list_replica("i-broken", rng.choice(UNREADABLE_REPLICAS))
    await _last(rng)
    fleet.store.unlist_replica("i-broken")


@FAULTS.register("configured")
async def _configured(fleet, rng):
    for _ in range(rng.randint(1, 6)):
        fleet.configure()
        await asyncio.sleep(0.05)
