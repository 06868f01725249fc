"""Load scenarios for the simulated fleet.

Five engines serve about 61 typical calls a second: 400 prompt tokens, 100
answer tokens on average, first token within a second.
"""

from collections import Counter
import random

from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.events import AttemptEnd
from dahliashunt.decisions.tests.fleet_simulation import Call
from dahliashunt.decisions.tests.fleet_simulation import FleetSimulation
from dahliashunt.decisions.tests.fleet_simulation import goodput
from dahliashunt.decisions.tests.fleet_simulation import late_share
from dahliashunt.decisions.tests.fleet_simulation import poisson
from dahliashunt.decisions.tests.fleet_simulation import quantile

CAPACITY = 61


def typical_call(rng, callers=50, **fields):
    """Return a factory of typical calls."""

    def make(at):
        output = max(1, int(rng.expovariate(1 / 100)))
        caller = f"c{rng.randrange(callers)}"
        return Call(caller, at, output=output, **fields)

    return make


def first_tokens(calls, start, stop):
    """Return the times to first token of calls sent in the window."""
    return [
        c.first_ms
        for c in calls
        if start <= c.at < stop and c.first_ms is not None
    ]


def saturation(policy: EntryPolicy, times: float, entries=1, seed=1):
    """Load with a multiple of the capacity for 40 s."""
    sim = FleetSimulation(policy, entries=entries, seed=seed)
    rng = random.Random(seed)
    sim.send(poisson(rng, times * CAPACITY, 0, 40_000, typical_call(rng)))
    sim.run(60_000)
    calls = sim.calls
    return {
        "goodput": goodput(calls, 10_000, 40_000),
        "late": late_share(calls, 10_000, 40_000),
        "p95": quantile(first_tokens(calls, 10_000, 40_000), 0.95),
    }


def burst(policy: EntryPolicy, resend=None, seed=1):
    """Load at half the capacity, with a burst of four times it for 2 s."""
    sim = FleetSimulation(policy, seed=seed)
    sim.resend = resend or sim.resend
    rng = random.Random(seed)
    make = typical_call(rng)
    sim.send(poisson(rng, 30, 0, 60_000, make))
    sim.send(poisson(rng, 210, 20_000, 22_000, make))
    sim.run(90_000)
    calls = sim.calls
    bad = [c for c in calls if c.first_at >= 22_000 and not c.good]
    good = [c for c in calls if 20_000 <= c.first_at < 22_000 and c.good]
    return {
        "good": len(good),
        "p95": quantile(first_tokens(calls, 20_000, 22_000), 0.95),
        "bad_after": len(bad),
        "recovery_ms": max((c.first_at for c in bad), default=22_000) - 22_000,
        "sends": sum(c.sends for c in calls),
    }


def hot_callers(policy: EntryPolicy, seed=1):
    """Two callers send 150 a second each, twenty send 1 a second each."""
    sim = FleetSimulation(policy, seed=seed)
    rng = random.Random(seed)
    for i in range(22):
        rate = 150 if i < 2 else 1
        make = typical_call(rng, 1)
        for call in poisson(rng, rate, 0, 40_000, make):
            call.caller = f"hot{i}" if i < 2 else f"c{i}"
            sim.send([call])
    sim.run(60_000)
    calls = [c for c in sim.calls if c.at >= 10_000]
    got = Counter(c.caller for c in calls if c.good)
    sent = Counter(c.caller for c in calls)
    small = [got[c] / sent[c] for c in sent if not c.startswith("hot")]
    return {
        "small_mean": sum(small) / len(small),
        "small_least": min(small),
        "hot": (got["hot0"] + got["hot1"]) / 30,
    }


def long_among_short(policy: EntryPolicy, seed=1):
    """One caller sends long prompts and answers among short ones."""
    sim = FleetSimulation(policy, seed=seed)
    rng = random.Random(seed)
    sim.send(poisson(rng, 45, 0, 40_000, typical_call(rng)))

    def long_call(at):
        return Call("long", at, prompt=6_000, output=800, budget_ms=5_000)

    sim.send(poisson(rng, 3, 0, 40_000, long_call))
    sim.run(80_000)
    short = [c for c in sim.calls if c.caller != "long" and c.at >= 10_000]
    long_ones = [c for c in sim.calls if c.caller == "long"]
    times = [c.first_ms for c in short if c.first_ms is not None]
    return {
        "short_good": sum(c.good for c in short) / len(short),
        "short_p95": quantile(times, 0.95),
        "long_good": sum(c.good for c in long_ones) / len(long_ones),
    }


def slow_endpoint(policy: EntryPolicy, seed=1):
    """One of five engines is eight times slower from 10 s to 30 s."""
    sim = FleetSimulation(policy, seed=seed)
    rng = random.Random(seed)
    sim.send(poisson(rng, 40, 0, 50_000, typical_call(rng)))
    slow = sim.engines[0]
    sim.at(10_000, setattr, slow, "slow", 8.0)
    sim.at(30_000, setattr, slow, "slow", 1.0)
    before = {}
    sim.at(40_000, lambda: before.update(p=slow.prompt_tokens))
    sim.run(80_000)
    times = first_tokens(sim.calls, 10_000, 30_000)
    calls = [c for c in sim.calls if 10_000 <= c.at < 30_000]
    back = (slow.prompt_tokens - before["p"]) / 400 / 10
    return {
        "good": sum(c.good for c in calls) / len(calls),
        "p95": quantile(times, 0.95),
        "back_rate": back,
    }


def failing_endpoint(policy: EntryPolicy, seed=1):
    """One of five engines fails all requests from 10 s to 20 s."""
    sim = FleetSimulation(policy, seed=seed)
    rng = random.Random(seed)
    sim.send(poisson(rng, 30, 0, 40_000, typical_call(rng)))
    bad = sim.engines[0]
    sim.at(10_000, setattr, bad, "fails", True)
    sim.at(20_000, setattr, bad, "fails", False)
    before = {}
    sim.at(30_000, lambda: before.update(p=bad.prompt_tokens))
    sim.run(60_000)
    calls = [c for c in sim.calls if 10_000 <= c.at < 20_000]
    return {
        "good": sum(c.good for c in calls) / len(calls),
        "runs": sum(c.runs for c in calls) / len(calls),
        "back_rate": (bad.prompt_tokens - before["p"]) / 400 / 10,
    }


def lost_data_centre(policy: EntryPolicy, seed=1):
    """Lose a data centre with two of six engines at 75% load."""
    sim = FleetSimulation(policy, engines=6, entries=3, seed=seed)
    rng = random.Random(seed)
    sim.send(poisson(rng, 55, 0, 60_000, typical_call(rng)))
    for engine in sim.engines:
        if engine.data_centre == "b":
            sim.at(20_000, engine.crash, AttemptEnd.UNKNOWN, 20_000)
    sim.run(90_000)
    calls = [c for c in sim.calls if 21_000 <= c.at < 40_000]
    after = [c for c in sim.calls if 45_000 <= c.at < 60_000]
    return {
        "goodput": goodput(sim.calls, 21_000, 40_000),
        "late": late_share(sim.calls, 21_000, 40_000),
        "p95": quantile(first_tokens(calls, 0, 90_000), 0.95),
        "good_after": sum(c.good for c in after) / len(after),
    }


def stale_reports(policy: EntryPolicy, missing: tuple[int, ...], seed=1):
    """Stop the reports of some engines after 5 s, with three entries."""
    sim = FleetSimulation(policy, entries=3, seed=seed)
    rng = random.Random(seed)
    sim.send(poisson(rng, 50, 0, 40_000, typical_call(rng)))
    for i in missing:
        sim.at(5_000, setattr, sim.engines[i], "reports", False)
    sim.run(60_000)
    calls = [c for c in sim.calls if c.at >= 10_000]
    return {
        "good": sum(c.good for c in calls) / len(calls),
        "p95": quantile(first_tokens(calls, 0, 90_000), 0.95),
    }


def prefixes(policy: EntryPolicy, hot=0.0, seed=1, rate=35):
    """Conversations with long shared prefixes; share `hot` uses one key."""
    sim = FleetSimulation(policy, entries=3, seed=seed)
    rng = random.Random(seed)

    def make(at):
        talk = 0 if rng.random() < hot else rng.randrange(1, 150)
        system = talk % 5
        keys = (1_000_000 + system, *(talk * 100 + i for i in range(4)))

        return Call(
            f"c{talk % 40}",
            at,
            prompt=1_500,
            output=max(1, int(rng.expovariate(1 / 80))),
            keys=keys,
        )

    sim.send(poisson(rng, rate, 0, 60_000, make))
    sim.run(90_000)
    calls = [c for c in sim.calls if c.at >= 10_000]
    cached = sum(e.cached_tokens for e in sim.engines)
    return {
        "hits": cached / sum(e.prompt_tokens for e in sim.engines),
        "good": sum(c.good for c in calls) / len(calls),
        "p95": quantile(first_tokens(calls, 0, 90_000), 0.95),
    }


def poison(policy: EntryPolicy, entries=3, resend=None, seed=1):
    """Resend a request that crashes each engine that runs it."""
    sim = FleetSimulation(policy, engines=6, entries=entries, seed=seed)
    sim.resend = resend or sim.resend
    rng = random.Random(seed)
    sim.send(poisson(rng, 30, 0, 60_000, typical_call(rng)))
    for engine in sim.engines:
        engine.poison = "bad"
    bad = [
        Call("clumsy", at, body="bad") for at in range(20_000, 50_000, 1_500)
    ]
    sim.send(bad)
    sim.run(90_000)
    rest = [c for c in sim.calls if not c.body and c.at >= 20_000]
    return {
        "crashes": sim.crashes,
        "bad_answers": Counter(
            c.refusals[-1].kind.value for c in bad if c.refusals
        ),
        "others_good": sum(c.good for c in rest) / len(rest),
        "others_done": sum(c.done_ms is not None for c in rest) / len(rest),
        "others_convicted": sum(
            r.kind.value == "convicted" for c in rest for r in c.refusals
        ),
    }


def one_kind(policy: EntryPolicy, rate, seed=1, stop=40_000, **fields):
    """Load with one kind of call; results cover calls sent after 10 s."""
    sim = FleetSimulation(policy, seed=seed)
    rng = random.Random(seed)

    def make(at):
        return Call(f"c{rng.randrange(50)}", at, **fields)

    sim.send(poisson(rng, rate, 0, stop, make))
    sim.run(stop + 60_000)
    calls = [c for c in sim.calls if c.at >= 10_000]
    return {
        "good": sum(c.good for c in calls) / len(calls),
        "p95": quantile(first_tokens(calls, 0, 10**9), 0.95),
        "limit": min(e.limit for e in sim.entries[0].status().endpoints),
    }


def cold_start(policy: EntryPolicy, seed=1):
    """Load at 90% of the capacity from the start."""
    sim = FleetSimulation(policy, seed=seed)
    rng = random.Random(seed)
    sim.send(poisson(rng, 55, 0, 10_000, typical_call(rng)))
    sim.run(40_000)
    bad = [c.at for c in sim.calls if not c.good]
    return {"bad": len(bad), "last_bad_ms": max(bad, default=0)}


def hot_and_long(policy: EntryPolicy, entries=1, small=40, seed=1):
    """Two callers send 20 long calls a second each among small callers."""
    sim = FleetSimulation(policy, entries=entries, seed=seed)
    rng = random.Random(seed)
    sim.send(poisson(rng, small, 0, 60_000, typical_call(rng, 40)))
    for name in ("hot0", "hot1"):

        def long_call(at, name=name):
            return Call(name, at, output=600, budget_ms=5_000)

        sim.send(poisson(rng, 20, 0, 60_000, long_call))
    sim.run(120_000)
    calls = [c for c in sim.calls if c.at >= 15_000]
    others = [c.good for c in calls if not c.caller.startswith("hot")]
    done = [c.good * c.output for c in calls if c.caller.startswith("hot")]
    return {
        "small": sum(others) / len(others),
        "hot_tokens": sum(done) / 45,
    }
