"""Memory of a replica under long requests, reports and restarts."""

import random

import pytest

from dahliashunt.decisions.replica_memory import MemoryReport
from dahliashunt.decisions.slot_allocator import SlotAllocator
from dahliashunt.decisions.slot_messages import Revoked
from dahliashunt.decisions.slot_messages import SlotDecision
from dahliashunt.decisions.slot_messages import SlotReply
from dahliashunt.decisions.slot_messages import SlotRequest
from dahliashunt.decisions.slot_messages import Use

TOTAL = 147_261
NO_RUNS = frozenset()


def request(name, prompt, output=100, use=Use.ONLINE, wait_ms=0, slack_ms=0):
    return SlotRequest(
        name,
        name,
        "e1",
        use,
        wait_ms,
        slack_ms,
        prompt_tokens=prompt,
        output_tokens=output,
    )


def item(name, prompt, slack_ms=1_000):
    return request(name, prompt, use=Use.BATCH, slack_ms=slack_ms)


def outcomes(effects):
    return [
        (each.attempt_id, each.verdict)
        if isinstance(each, SlotReply)
        else (each.attempt_id, Revoked)
        for each in effects
    ]


@pytest.fixture
def allocator():
    """Return an allocator of 8 slots and 1,000 tokens of memory."""
    allocator = SlotAllocator(8)
    allocator.report(NO_RUNS, 0, 0, MemoryReport(1_000))
    return allocator


def test_a_request_without_memory_waits_and_smaller_ones_pass(allocator):
    """Guards against a crash, and against a queue behind one long request."""
    allocator.ask(request("a", 500), 0)
    waits = allocator.ask(request("long", 700, wait_ms=400), 0)
    assert outcomes(waits) == [("long", SlotDecision.QUEUED)]
    at_once = allocator.ask(request("long-2", 700), 0)
    assert outcomes(at_once) == [("long-2", SlotDecision.FULL)]
    small = allocator.ask(request("small", 50), 0)
    assert outcomes(small) == [("small", SlotDecision.GRANTED)]
    assert outcomes(allocator.release("a", 10)) == [
        ("long", SlotDecision.GRANTED)
    ]
    assert allocator.short_of_memory == 2


def test_the_fewest_items_make_room(allocator):
    """Guards against a long request that revokes every item."""
    for name, prompt in (("a", 200), ("b", 350), ("c", 100)):
        allocator.ask(item(name, prompt, slack_ms=prompt), 0)
    effects = allocator.ask(request("long", 300), 10)
    assert outcomes(effects) == [
        ("b", Revoked),
        ("long", SlotDecision.GRANTED),
    ]
    too_long = allocator.ask(request("longer", 600), 20)
    assert outcomes(too_long) == [("longer", SlotDecision.FULL)]
    assert allocator.state().batch == 2


def test_a_waiting_request_takes_the_memory_of_items(allocator):
    allocator.ask(request("a", 400), 0)
    allocator.ask(item("i", 200), 0)
    allocator.ask(request("long", 800, wait_ms=400), 0)
    assert outcomes(allocator.release("a", 100)) == [
        ("i", Revoked),
        ("long", SlotDecision.GRANTED),
    ]


def test_an_item_waits_for_memory(allocator):
    allocator.ask(request("a", 500), 0)
    effects = allocator.ask(item("i", 400), 0)
    assert outcomes(effects) == [("i", SlotDecision.FULL)]


def test_a_request_larger_than_the_memory_is_refused_at_once(allocator):
    """Guards against a wait that cannot end in a grant."""
    effects = allocator.ask(request("a", 950, wait_ms=1_000), 0)
    assert outcomes(effects) == [("a", SlotDecision.FULL)]


def test_a_report_that_shows_more_than_was_stated_counts(allocator):
    allocator.ask(request("a", 100), 0)
    report = MemoryReport(1_000, {"a": 700, "unheld": 150})
    allocator.report(frozenset({"a", "unheld"}), 0, 100, report)
    assert allocator.state().free_tokens == 147
    allocator.release("a", 150)
    assert allocator.state().free_tokens == 847


def test_requests_of_unknown_size_are_served_as_without_memory():
    """Guards against other decisions for services that state no sizes."""
    rng = random.Random(3)
    sized, unsized = SlotAllocator(4), SlotAllocator(4)
    for number in range(400):
        unsized.report(NO_RUNS, 9, number, MemoryReport(1_000))
        sized.report(NO_RUNS, 9, number)
        name = str(rng.randrange(40))
        if rng.random() < 0.4:
            found = [each.release(name, number) for each in (sized, unsized)]
        else:
            use = rng.choice(list(Use))
            wait_ms = rng.choice((0, 500, 1_000))
            found = [
                each.ask(request(name, prompt, 0, use, wait_ms), number)
                for each, prompt in ((sized, 900), (unsized, 0))
            ]
        assert outcomes(found[0]) == outcomes(found[1])


class LongRequests:
    """A replica that writes one token a step for each of its requests."""

    def __init__(self, seed, knows_memory):
        self.rng = random.Random(seed)
        self.total = TOTAL if knows_memory else 0
        self.allocator = SlotAllocator(8)
        self.runs = {}
        self.served = 0
        self.most_held = 0

    def run(self, duration_ms):
        for now_ms in range(0, duration_ms, 4):
            if now_ms % 100 == 0:
                self.report(now_ms)
            if now_ms % 300 == 0:
                self.ask(now_ms)
            self.step(now_ms)

    def ask(self, now_ms):
        prompt = self.rng.choice((400, 2_000, 8_000, 32_000, 60_000))
        ask = request(f"r{now_ms}", prompt, 1_000, wait_ms=1_000)
        self.apply(self.allocator.ask(ask, now_ms), {ask.attempt_id: prompt})

    def apply(self, effects, prompts):
        for effect in effects:
            if effect.verdict is SlotDecision.QUEUED:
                self.runs[effect.attempt_id] = (prompts, None)
            elif effect.verdict is SlotDecision.GRANTED:
                prompts, _ = self.runs.get(effect.attempt_id, (prompts, None))
                self.runs[effect.attempt_id] = (prompts, 0)

    def held(self):
        return {
            name: prompts[name] + written
            for name, (prompts, written) in self.runs.items()
            if written is not None
        }

    def report(self, now_ms):
        held = self.held()
        memory = MemoryReport(self.total, held)
        self.apply(
            self.allocator.report(frozenset(held), 0, now_ms, memory), {}
        )
        self.allocator.renew(held, "e1", now_ms)

    def step(self, now_ms):
        for name, (prompts, written) in list(self.runs.items()):
            if written == 1_000:
                del self.runs[name]
                self.served += 1
                self.apply(self.allocator.release(name, now_ms), {})
            elif written is not None:
                self.runs[name] = (prompts, written + 1)
        self.most_held = max(self.most_held, sum(self.held().values()))


def test_long_requests_stay_within_the_memory():
    """Guards against a crash by eight slots of long requests."""
    counted = [LongRequests(seed, True) for seed in range(3)]
    former = [LongRequests(seed, False) for seed in range(3)]
    for replica in counted + former:
        replica.run(60_000)
    assert max(replica.most_held for replica in counted) <= TOTAL
    assert min(replica.most_held for replica in former) > TOTAL
    assert min(replica.served for replica in counted) > 0


def test_an_agent_that_starts_anew_counts_what_runs():
    """Guards against a grant beside runs that the agent has forgotten."""
    replica = LongRequests(1, True)
    replica.run(30_000)
    held = sum(replica.held().values())
    replica.allocator = SlotAllocator(8)
    replica.report(30_000)
    left = TOTAL - held
    assert left - TOTAL // 100 <= replica.allocator.state().free_tokens <= left
