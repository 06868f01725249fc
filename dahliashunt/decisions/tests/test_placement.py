import pytest

from dahliashunt.decisions.placement import EndpointModels
from dahliashunt.decisions.placement import Placement
from dahliashunt.decisions.placement import PlacementKind
from dahliashunt.decisions.replica_targets import ModelDemand
from dahliashunt.decisions.replica_targets import PlacementPolicy
from dahliashunt.ports.engine import LoadedModel

GB = 1 << 30
SIZES = {"note": 20 * GB, "lot": 40 * GB}
RATE = 1 * GB
MINUTE = 60_000
NOTE = LoadedModel("note", "1")
NOTE_2 = LoadedModel("note", "2")


def fleet(*loaded, capacity=30 * GB):
    """Return endpoints with these models in three data centres."""
    return tuple(
        EndpointModels(
            f"e{n}",
            f"dc{n % 3}",
            loaded=models,
            capacity_bytes=capacity,
        )
        for n, models in enumerate(loaded)
    )


def orders_of_kind(orders, kind):
    return [order for order in orders if order.kind is kind]


def load_minutes(placement, endpoints, demands):
    """Plan once a minute; return the minutes with a load order."""
    minutes = []
    for minute, demand in enumerate(demands):
        wanted = (ModelDemand(NOTE, 2, 5, demand),)
        orders = placement.plan(
            minute * MINUTE, endpoints, wanted, RATE, SIZES
        )
        if orders_of_kind(orders, PlacementKind.LOAD):
            minutes.append(minute)
    return minutes


@pytest.fixture
def placement():
    return Placement(PlacementPolicy())


def test_burst_of_minutes_loads_no_replica(placement):
    endpoints = fleet((NOTE,), (NOTE,), (), (), ())
    demands = [1.3] * 40 + [6.0] * 8 + [1.3] * 40
    assert load_minutes(placement, endpoints, demands) == []


def test_sustained_demand_adds_a_replica(placement):
    endpoints = fleet((NOTE,), (NOTE,), (), (), ())
    demands = [1.3] * 40 + [2.6] * 40
    minutes = load_minutes(placement, endpoints, demands)
    assert minutes and 50 <= minutes[0] <= 60


def test_falling_demand_drains_before_unloading(placement):
    endpoints = fleet((NOTE,), (NOTE,), (NOTE,))
    wanted = (ModelDemand(NOTE, 1, 5, 0.2),)
    drained = []
    for minute in range(40):
        orders = placement.plan(
            minute * MINUTE, endpoints, wanted, RATE, SIZES
        )
        assert not orders_of_kind(orders, PlacementKind.UNLOAD)
        drained += orders_of_kind(orders, PlacementKind.DRAIN)
    assert drained


def test_drained_replica_unloads_once_idle(placement):
    busy = EndpointModels(
        "e9",
        "dc0",
        loaded=(NOTE,),
        draining=frozenset(["note"]),
        busy=frozenset(["note"]),
    )
    idle = EndpointModels(
        "e8", "dc1", loaded=(NOTE,), draining=frozenset(["note"])
    )
    wanted = (ModelDemand(NOTE, 2, 5, 1.0),)
    endpoints = (*fleet((NOTE,), (NOTE,)), busy, idle)
    orders = placement.plan(0, endpoints, wanted, RATE, SIZES)
    unloads = orders_of_kind(orders, PlacementKind.UNLOAD)
    assert [order.endpoint_id for order in unloads] == ["e8"]


def test_rollout_never_goes_below_the_floor(placement):
    # Draining all old replicas at once would leave no endpoint; memory
    # holds one model only.
    model_on = {f"e{n}": NOTE for n in range(3)}
    loading: dict[str, int] = {}
    wanted = (ModelDemand(NOTE_2, 2, 3, 2.0),)
    min_serving = 3
    draining: set[str] = set()
    for tick in range(400):
        now = tick * 5_000
        endpoints = tuple(
            EndpointModels(
                e,
                f"dc{n}",
                loaded=(model_on[e],) if model_on[e] else (),
                loading=(NOTE_2,) if e in loading else (),
                draining=frozenset(["note"] if e in draining else []),
                capacity_bytes=30 * GB,
            )
            for n, e in enumerate(model_on)
        )
        serving = sum(1 for e in model_on if model_on[e] and e not in draining)
        min_serving = min(min_serving, serving)
        for order in placement.plan(now, endpoints, wanted, RATE, SIZES):
            endpoint_id = order.endpoint_id
            if order.kind is PlacementKind.DRAIN:
                draining.add(endpoint_id)
            elif order.kind is PlacementKind.UNLOAD:
                model_on[endpoint_id] = None
                draining.discard(endpoint_id)
            else:
                loading[endpoint_id] = now + 60_000
        for endpoint_id in [e for e, at in loading.items() if at <= now]:
            model_on[endpoint_id] = NOTE_2
            del loading[endpoint_id]
    assert min_serving == 2
    assert list(model_on.values()) == [NOTE_2] * 3


def test_loads_after_a_rack_loss_stay_below_the_store_rate(placement):
    # Concurrent loads would share the store's rate and all finish late.
    endpoints = fleet(*[()] * 10)
    wanted = (ModelDemand(NOTE, 10, 10, 5.0),)
    ordered_bytes = 0
    for second in range(0, 200, 5):
        orders = placement.plan(second * 1000, endpoints, wanted, RATE, SIZES)
        loads = orders_of_kind(orders, PlacementKind.LOAD)
        assert len(loads) <= PlacementPolicy().most_loads
        ordered_bytes += len(loads) * SIZES["note"]
        # One load may overdraw the bucket beyond its burst.
        most = RATE * (second + 60) + SIZES["note"]
        assert ordered_bytes <= most
        done = {order.endpoint_id for order in loads}
        endpoints = tuple(
            EndpointModels(
                e.endpoint_id,
                e.data_centre,
                loaded=(NOTE,) if e.endpoint_id in done else e.loaded,
                capacity_bytes=e.capacity_bytes,
            )
            for e in endpoints
        )
    assert all(e.loaded for e in endpoints)


def test_model_below_its_floor_loads_first():
    placement = Placement(PlacementPolicy(most_loads=1))
    endpoints = fleet((NOTE,), (NOTE,), (), ())
    wanted = (
        ModelDemand(NOTE, 3, 5, 2.0),
        ModelDemand(LoadedModel("lot", "1"), 2, 2, 0.1),
    )
    endpoints = fleet((NOTE,), (NOTE,), (), (), capacity=50 * GB)
    orders = placement.plan(0, endpoints, wanted, RATE, SIZES)
    loads = orders_of_kind(orders, PlacementKind.LOAD)
    assert [order.model.model for order in loads] == ["lot"]


def test_replicas_spread_over_data_centres(placement):
    endpoints = fleet((NOTE,), (), (), (), ())
    wanted = (ModelDemand(NOTE, 3, 3, 1.0),)
    orders = placement.plan(0, endpoints, wanted, RATE, SIZES)
    loads = orders_of_kind(orders, PlacementKind.LOAD)
    assert {order.endpoint_id for order in loads} == {"e1", "e2"}
