"""Questions to nodes, at their metrics addresses."""

from collections.abc import Iterable
import concurrent.futures
import http.client
from typing import Any
import urllib.parse

from dahliashunt.cli.bounded_response import BoundedResponse
from dahliashunt.cli.bounded_response import read_body
from dahliashunt.cli.exits import Exit
from dahliashunt.cli.exits import ReadError
from dahliashunt.row_fields import parse_json

__all__ = ["ask_each", "ask_node", "node_addresses"]

TIMEOUT_S = 5.0
MOST_BYTES = 8_000_000
"""Of one answer: several times a page of routes."""

MOST_AT_ONCE = 16


def node_addresses(args: dict[str, Any]) -> list[str]:
    """Return the addresses given by --node, or an error that says so."""
    found = args["--node"]
    if not found:
        raise ReadError(Exit.USAGE, "name a node with --node=HOST:PORT")
    for address in found:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise ReadError(Exit.USAGE, f"--node {address} is not HOST:PORT")
    return found


def ask_node(
    address: str, path: str, query: dict[str, Any] | None = None
) -> dict[str, Any]:
    """Return a node's answer.

    Raises
    ------
    ReadError
        It gave none; the text names the node.
    """
    host, _, port = address.rpartition(":")
    target = f"{path}?{urllib.parse.urlencode(query or {})}"
    connection = http.client.HTTPConnection(
        host.strip("[]"), int(port), timeout=TIMEOUT_S
    )
    connection.response_class = BoundedResponse
    try:
        connection.request("GET", target)
        answer = connection.getresponse()
        body = read_body(answer, MOST_BYTES)
    except (OSError, http.client.HTTPException) as error:
        raise ReadError(
            Exit.UNAVAILABLE, f"node {address} does not answer: {error}"
        ) from None
    finally:
        connection.close()
    return _decoded(address, answer.status, body)


def _decoded(address, status, body):
    if status == 404:
        raise ReadError(
            Exit.NOT_FOUND,
            f"node {address} has no such page; an agent has no routes",
        )
    try:
        found = parse_json(body)
    except ValueError:
        found = None
    if status != 200 or not isinstance(found, dict):
        text = body[:200].decode(errors="replace")
        raise ReadError(
            Exit.INVALID, f"node {address} answered {status}: {text}"
        )
    return found


def ask_each(
    addresses: Iterable[str], path: str, query: dict[str, Any]
) -> dict[str, dict[str, Any] | ReadError]:
    """Return the answers, or what went wrong, by address, in order."""
    addresses = list(addresses)

    def ask(address):
        try:
            return ask_node(address, path, query)
        except ReadError as error:
            return error

    with concurrent.futures.ThreadPoolExecutor(MOST_AT_ONCE) as pool:
        return dict(zip(addresses, pool.map(ask, addresses), strict=True))
