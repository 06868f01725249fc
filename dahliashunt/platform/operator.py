"""Decode the operator's configuration and the list of replicas.

Both have other writers. Whatever a row holds, only `DecodeError` is raised.
"""

import re

from dahliashunt.forwarding.catalog import Catalog
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.ids import DataCentreId
from dahliashunt.ids import SoftwareVersion
from dahliashunt.platform.catalog_records import decode_records
from dahliashunt.platform.catalog_records import make_catalog
from dahliashunt.platform.catalog_records import MAX_I32
from dahliashunt.row_fields import FIELD_ERRORS
from dahliashunt.row_fields import header_field
from dahliashunt.row_fields import MAX_WHOLE
from dahliashunt.row_fields import parse_json
from dahliashunt.row_fields import text_field
from dahliashunt.row_fields import text_or_empty
from dahliashunt.row_fields import whole_field

__all__ = [
    "CONFIG_KEY",
    "REPLICAS_PREFIX",
    "DecodeError",
    "decode_catalog",
    "decode_replica",
]

CONFIG_KEY = "op//config"
REPLICAS_PREFIX = "servers//"

MAX_PORT = 65_535

_HOST = re.compile(r"[0-9A-Za-z_:\[\]%-]{1,63}(\.[0-9A-Za-z_-]{1,63})*\.?")
"""Names and addresses that the resolver can encode. Sending a datagram to
another one closes the socket, and with it every agent's replies."""

MAX_HOST_CHARACTERS = 253


class DecodeError(ValueError):
    """A row's value is invalid."""


def decode_catalog(text: str) -> Catalog:
    """Return the configuration in `text`.

    Raises
    ------
    DecodeError
        If the text is not a valid configuration.
    """
    try:
        return make_catalog(decode_records(parse_json(text)))
    except FIELD_ERRORS as error:
        raise DecodeError(f"invalid configuration: {error!r}") from None


def decode_replica(replica_id: str, text: str) -> Replica:
    """Return the replica in `text`, a row of the list.

    Raises
    ------
    DecodeError
        If a field is missing or has an invalid value; the list has other
        writers.
    """
    try:
        return _replica(replica_id, parse_json(text))
    except FIELD_ERRORS as error:
        raise DecodeError(f"replica {replica_id!r}: {error!r}") from None


def _replica(replica_id, fields):
    host, port = _address(fields["address"])
    state = fields["state"]
    if state not in ("ready", "draining"):
        raise ValueError("expected the state ready or draining")
    warm_in_ms = fields.get("cold-left-ms", 0)
    zone = fields.get("zone")
    return Replica(
        replica_id=header_field(replica_id),
        born_ms=whole_field(fields.get("born", 0)),
        service=text_field(fields["service"]),
        host=host,
        port=port,
        data_centre=DataCentreId("" if zone is None else text_field(zone)),
        slots=whole_field(fields.get("slots", 1), 1, MAX_I32),
        leaving=state == "draining",
        # Remaining warm-up time of a started replica.
        warm_in_ms=whole_field(warm_in_ms, -MAX_WHOLE),
        version=SoftwareVersion(text_or_empty(fields.get("version"))),
    )


def _address(value):
    """Return the host and the port of HOST:PORT."""
    host, _, port = text_field(value).rpartition(":")
    if len(host) > MAX_HOST_CHARACTERS or not _HOST.fullmatch(host):
        raise ValueError("expected a host that can be resolved")
    # Digits of other scripts are digits for `str.isdigit`.
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise ValueError("expected a port number")
    return host, whole_field(int(port), 1, MAX_PORT)
