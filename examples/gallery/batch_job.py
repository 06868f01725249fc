"""
============================
Submit and watch a batch job
============================

Upload a file of items, submit a job under a key of our own, submit it again
as a client does that heard nothing, and read the results. Both submits give
the same job. Run ``dahliashunt-local`` first, then this.
"""

import asyncio
import json
import sys

from openai import AsyncOpenAI

PATH = "/v1/chat/completions"
ENDS = ("completed", "cancelled", "expired", "failed")


def item(number):
    """Return one line of the file."""
    body = {
        "model": "repair-notes",
        "messages": [{"role": "user", "content": f"Describe doll {number}."}],
        "max_tokens": 10,
    }
    line = {
        "custom_id": f"doll-{number}",
        "method": "POST",
        "url": PATH,
        "body": body,
    }
    return json.dumps(line)


async def run(url, key="local", items=5):
    """Run a job to its end.

    Parameters
    ----------
    url : str
        Of an entry.
    key : str
        The caller's key.
    items : int
        How many.

    Returns
    -------
    answer_by_id : dict
        The answer's text by ``custom_id``.
    """
    async with AsyncOpenAI(base_url=f"{url}/v1", api_key=key) as client:
        data = "\n".join(item(number) for number in range(items)).encode()
        file = await client.files.create(
            file=("lot.jsonl", data), purpose="batch"
        )
        first, again = [
            await client.batches.create(
                input_file_id=file.id,
                endpoint=PATH,
                completion_window="24h",
                metadata={"job_key": "lot-17"},
            )
            for _ in range(2)
        ]
        assert first.id == again.id, "a resend finds the first job"
        job = first
        while job.status not in ENDS:
            await asyncio.sleep(0.1)
            job = await client.batches.retrieve(job.id)
        content = await client.files.content(job.output_file_id)
        lines = map(json.loads, content.text.splitlines())
        return {
            line["custom_id"]: line["response"]["body"]["choices"][0][
                "message"
            ]["content"]
            for line in lines
        }


if __name__ == "__main__":
    found = asyncio.run(run(*(sys.argv[1:] or ["http://127.0.0.1:8080"])))
    for name, text in sorted(found.items()):
        print(f"{name}: {text}")
