"""
=======================
Stream an online answer
=======================

Ask for a repair note with the official ``openai`` client and print it as it
comes. Run ``dahliashunt-local`` first, then this.

Parameters are taken from the command line: the base URL, by default
``http://127.0.0.1:8080``, and the key, by default ``local``.
"""

import asyncio
import sys

from openai import AsyncOpenAI


async def stream(url, key="local", write=print):
    """Stream one answer.

    Parameters
    ----------
    url : str
        Of an entry.
    key : str
        The caller's key.
    write : callable
        Gets each piece of text.

    Returns
    -------
    text : str
        The whole answer.
    """
    pieces = []
    async with AsyncOpenAI(base_url=f"{url}/v1", api_key=key) as client:
        answer = await client.chat.completions.create(
            model="repair-notes",
            messages=[{"role": "user", "content": "A cracked bisque face."}],
            max_tokens=20,
            stream=True,
        )
        async for event in answer:
            text = event.choices[0].delta.content if event.choices else None
            if text:
                write(text)
                pieces.append(text)
    return "".join(pieces)


if __name__ == "__main__":
    asyncio.run(stream(*(sys.argv[1:] or ["http://127.0.0.1:8080"])))
