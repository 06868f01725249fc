"""Show a fleet at work: online beside batch, a cancel, and a kill.

Starts ``examples/poppenhersteld`` as separate processes, streams one
answer, runs an archive lot under an online burst, cancels another lot,
kills one agent and its engine, and prints what callers got. Exits non-zero
if anything was lost, doubled or wrong.
"""

import asyncio
import collections
from dataclasses import dataclass
from dataclasses import field
import json
import sys
import time

import openai

from dahliashunt.standins import expected_text
from examples.fleet import ExampleFleet

MODEL = "repair-notes"
LOT_ITEMS = 2000
CANCELLED_ITEMS = 400
BURST = 120
RATE_A_S = 20
TOKENS = 12


@dataclass
class Got:
    """What the callers of one phase got."""

    name: str
    asked: int = 0
    answered: int = 0
    wrong: int = 0
    errors: collections.Counter = field(default_factory=collections.Counter)
    first_token_ms: list = field(default_factory=list)

    def percentile(self, part):
        """Return a percentile of the time to the first token."""
        ordered = sorted(self.first_token_ms)
        if not ordered:
            return float("nan")
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def _client(url, caller):
    return openai.AsyncOpenAI(
        base_url=f"{url}/v1", api_key=f"example-{caller}", max_retries=0
    )


async def _ask(client, prompt, got):
    """Stream one answer and check it against its question."""
    got.asked += 1
    started = time.monotonic()
    text = ""
    try:
        stream = await client.completions.create(
            model=MODEL, prompt=prompt, max_tokens=TOKENS, seed=1, stream=True
        )
        async for event in stream:
            if not text:
                got.first_token_ms.append((time.monotonic() - started) * 1000)
            text += event.choices[0].text
    except openai.APIError as error:
        got.errors[getattr(error, "code", None) or str(error)] += 1
        return
    got.answered += 1
    got.wrong += text != expected_text(MODEL, prompt, 1, TOKENS)


async def _burst(clients, name, between=None):
    """Send an open-loop burst; run `between` when half is sent."""
    got = Got(name)
    tasks = []
    for at in range(BURST):
        client = clients[at % len(clients)]
        prompt = f"{name}: how long must glue {at} set?"
        tasks.append(asyncio.create_task(_ask(client, prompt, got)))
        if between is not None and at == BURST // 2:
            tasks.append(asyncio.create_task(between()))
        await asyncio.sleep(1 / RATE_A_S)
    await asyncio.gather(*tasks)
    return got


def _lot(name, items):
    lines = [
        {
            "custom_id": f"{name}-{at}",
            "method": "POST",
            "url": "/v1/completions",
            "body": {
                "model": MODEL,
                "prompt": f"catalogue {name}, entry {at}",
                "max_tokens": TOKENS,
                "seed": 1,
            },
        }
        for at in range(items)
    ]
    return "\n".join(json.dumps(line) for line in lines).encode()


async def _submit(client, name, items):
    file = await client.files.create(
        file=(f"{name}.jsonl", _lot(name, items)), purpose="batch"
    )
    return await client.batches.create(
        input_file_id=file.id,
        endpoint="/v1/completions",
        completion_window="24h",
        metadata={"job_key": name},
    )


async def _until_ended(client, batch_id):
    while True:
        batch = await client.batches.retrieve(batch_id)
        if batch.status in ("completed", "cancelled", "expired"):
            return batch
        await asyncio.sleep(0.2)


async def _timed(client, batch_id):
    """Return an ended batch and the seconds from now to its end."""
    started = time.monotonic()
    batch = await _until_ended(client, batch_id)
    return batch, time.monotonic() - started


async def _check_lot(client, batch, name):
    """Return how many results were lost, doubled or wrong."""
    lines = []
    for file_id in (batch.output_file_id, batch.error_file_id):
        if file_id:
            content = await client.files.content(file_id)
            lines += [json.loads(line) for line in content.iter_lines()]
    count_by_id = collections.Counter(line["custom_id"] for line in lines)
    wanted = {f"{name}-{at}" for at in range(LOT_ITEMS)}
    doubled = sum(count - 1 for count in count_by_id.values())
    wrong = sum(_is_wrong(line) for line in lines)
    return len(wanted - set(count_by_id)), doubled, wrong


def _is_wrong(line):
    name, at = line["custom_id"].rsplit("-", 1)
    prompt = f"catalogue {name}, entry {at}"
    if line["response"] is None:
        return True
    text = line["response"]["body"]["choices"][0]["text"]
    return text != expected_text(MODEL, prompt, 1, TOKENS)


async def _show_one_answer(client):
    print("A restorer asks at the bench:")
    stream = await client.chat.completions.create(
        model=MODEL,
        messages=[{"role": "user", "content": "A cracked bisque face."}],
        max_tokens=TOKENS,
        stream=True,
    )
    async for event in stream:
        print(event.choices[0].delta.content or "", end="", flush=True)
    print("\n")


async def _run(fleet):
    bench = [_client(url, "bench") for url in fleet.entries]
    museum = _client(fleet.entries[0], "museum")
    await _show_one_answer(bench[0])
    alone = await _burst(bench, "no batch")

    lot = await _submit(museum, "archive", LOT_ITEMS)
    watched = asyncio.create_task(_timed(museum, lot.id))
    beside = await _burst(bench, "beside an archive lot")

    async def kill():
        await fleet.kill("agent-2")
        await fleet.kill("engine-2")

    killed = await _burst(bench, "one endpoint killed", kill)
    lot, seconds = await watched
    lost, doubled, wrong = await _check_lot(museum, lot, "archive")

    other = await _submit(museum, "mistake", CANCELLED_ITEMS)
    await museum.batches.cancel(other.id)
    other = await _until_ended(museum, other.id)
    _print_table([alone, beside, killed])
    rate = LOT_ITEMS / seconds
    print(
        f"archive lot: {lot.status}, {LOT_ITEMS} items, lost {lost}, "
        f"doubled {doubled}, wrong {wrong}, {rate:.0f} items a second"
    )
    counts = other.request_counts
    print(
        f"cancelled lot: {other.status}, {counts.completed} of "
        f"{counts.total} items were done before the cancel"
    )
    return _verdict([alone, beside, killed], lost + doubled + wrong)


def _print_table(phases):
    print(
        f"{'online requests':24}{'asked':>6}{'whole':>6}{'errors':>7}"
        f"{'wrong':>6}{'p50 ms':>8}{'p95 ms':>8}"
    )
    for got in phases:
        print(
            f"{got.name:24}{got.asked:6}{got.answered:6}"
            f"{sum(got.errors.values()):7}{got.wrong:6}"
            f"{got.percentile(0.5):8.0f}{got.percentile(0.95):8.0f}"
        )
    for got in phases:
        for kind, count in got.errors.items():
            print(f"  {got.name}: {count} ended with {kind!r}")


def _verdict(phases, batch_faults):
    """Return 1 if anything was lost, doubled or wrong.

    A stream that an endpoint's death cuts ends in a visible error: it is
    counted, and is the only error that may be seen.
    """
    wrong = sum(got.wrong for got in phases)
    lost = sum(
        got.asked - got.answered - sum(got.errors.values()) for got in phases
    )
    undisturbed = sum(sum(got.errors.values()) for got in phases[:2])
    faults = wrong + lost + undisturbed + batch_faults
    print("nothing lost, doubled or wrong" if not faults else "FAILED")
    return 1 if faults else 0


async def _main():
    async with ExampleFleet("poppenhersteld") as fleet:
        return await _run(fleet)


if __name__ == "__main__":
    sys.exit(asyncio.run(_main()))
