"""Tests of route matching and of undecodable routes."""

import json

import pytest
import structlog

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.catalog import BrokenRoute
from dahliashunt.forwarding.node import Node
from dahliashunt.metrics import Metrics
from dahliashunt.platform.operator import decode_catalog
from dahliashunt.platform.standins.settings import config_fields
from dahliashunt.platform.standins.settings import route_fields


def catalog_of(*routes, version=1):
    return decode_catalog(json.dumps(config_fields(routes, version)))


def test_the_longest_prefix_is_found_among_thousands():
    routes = [
        route_fields(name=f"r{n}", prefix=f"/a/{n}/") for n in range(3_000)
    ]
    routes.append(route_fields(name="short", prefix="/a/"))
    catalog = catalog_of(*routes)
    for number in (0, 17, 2_999):
        found = catalog.match("a.example", f"/a/{number}/x/y")
        assert found.name == f"r{number}"
    assert catalog.match("a.example", "/a/none/x").name == "short"
    assert catalog.match("A.Example", "/a/17/").name == "r17"
    assert catalog.match("a.example", "/a") is None
    assert catalog.match("b.example", "/a/17/") is None


def test_of_two_routes_with_one_prefix_the_first_counts():
    twice = [route_fields(name=name) for name in ("first", "second")]
    assert catalog_of(*twice).match("a.example", "/a/x").name == "first"


@pytest.fixture
def node():
    """Return a node whose configuration was read just now."""
    clock = VirtualClock()
    node = Node(
        clock, None, Metrics("front"), structlog.get_logger(), registry=None
    )
    node.config_read_ms = clock.now_ms
    return node


def test_a_broken_route_harms_only_itself(node):
    # Guards against one undecodable route that blocks a configuration, or
    # whose requests match a shorter prefix.
    broken = route_fields(name="odd", prefix="/a/odd/")
    broken["timeout-ms"] = "soon"
    whole = route_fields(name="whole")
    node.adopt(catalog_of(broken, whole))
    assert node.route("a.example", "/a/x").name == "whole"
    with pytest.raises(RequestError) as caught:
        node.route("a.example", "/a/odd/x")
    assert caught.value.kind is ErrorKind.STORE_UNAVAILABLE
    assert "odd" in caught.value.message


@pytest.mark.parametrize("route", [7, None, {}, {"name": "x", "host": 3}])
def test_a_malformed_route_is_listed_as_broken(route):
    catalog = catalog_of(route, route_fields())
    assert [type(each) for each in catalog.broken] == [BrokenRoute]
    assert len(catalog.routes) == 1
