"""Submissions of jobs for crowds."""

import base64
import json
import random

from tests.crowds.clients import head

__all__ = ["ITEMS", "job_body", "submission"]

ITEMS = 100


def job_body(size, items=ITEMS, path="/j/held"):
    """Return a submission of about `size` bytes."""
    body = base64.b64encode(random.randbytes(size // items * 3 // 4 - 100))
    requests = [
        {
            "id": f"i{number}",
            "path": path,
            "headers": {},
            "body": body.decode(),
            "tokens": 1,
        }
        for number in range(items)
    ]
    return json.dumps({"requests": requests}).encode()


def submission(job_id, body):
    """Return the request that submits a job."""
    return head("/j/x", len(body), request_id=job_id) + body
