"""
======================================
Resend a call that may run only once
======================================

Send a non-idempotent call with a key, and send it again as a client does
that heard nothing. Both get the answer of the one run. Under the same key
another call is refused. A refusal that says when to come back is obeyed: the
call did not run. Run ``dahliashunt-local`` first, then this.
"""

import asyncio
import sys

import aiohttp

TRIES = 5


async def send(session, url, key, prompt):
    """Send the call; return status, request id and answer.

    Parameters
    ----------
    session : aiohttp.ClientSession
    url : str
        Of an entry.
    key : str
        The idempotency key.
    prompt : str
        What is asked.

    Returns
    -------
    status : int
    body : dict
    """
    body = {"model": "repair-notes", "prompt": prompt, "max_tokens": 5}
    headers = {"Idempotency-Key": key, "Dahliashunt-Idempotent": "false"}
    for _ in range(TRIES):
        async with session.post(
            f"{url}/v1/completions", json=body, headers=headers
        ) as answer:
            status, found = answer.status, await answer.json()
            after_s = answer.headers.get("Retry-After")
        if status == 200 or found["error"]["ran"] != "no" or not after_s:
            break
        await asyncio.sleep(int(after_s))
    return status, found


async def run(url, key="local"):
    """Send once, again, and once more with another prompt.

    Returns
    -------
    answers : list of tuple
        Status and body of each.
    """
    headers = {"Authorization": f"Bearer {key}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        return [
            await send(session, url, "title-4711", prompt)
            for prompt in ("Release 4711.", "Release 4711.", "Release 4712.")
        ]


if __name__ == "__main__":
    url = (sys.argv[1:] or ["http://127.0.0.1:8080"])[0]
    for answered in asyncio.run(run(url)):
        print(*answered)
