"""Time until lost replicas serve again, by how loads are staggered.

Usage:
    lost_rack.py [--replicas N] [--gigabytes N]

Options:
    --replicas N   Replicas that are lost together [default: 10].
    --gigabytes N  Weights of one replica [default: 20].

The weight store gives 1 GB a second, shared by the loads in progress; one
endpoint takes at most a half of that. Time is virtual, a plan is made every
five seconds, and the first row orders all loads at once.
"""

from docopt import docopt

from dahliashunt.decisions.placement import EndpointModels
from dahliashunt.decisions.placement import Placement
from dahliashunt.decisions.placement import PlacementKind
from dahliashunt.decisions.replica_targets import ModelDemand
from dahliashunt.decisions.replica_targets import PlacementPolicy
from dahliashunt.ports.engine import LoadedModel

GB = 1 << 30
RATE = 1 * GB
MODEL = LoadedModel("note", "1")
PLAN_S = 5
UNLIMITED = {"weight_rate_share": 1e9, "most_loads": 10_000}


def refill(policy: PlacementPolicy, count: int, size: int) -> list[int]:
    """Return the second at which each lost replica serves again."""
    placement = Placement(policy)
    left_by_id: dict[str, float] = {}
    served_by_id: dict[str, int] = {}
    names = [f"e{n}" for n in range(count)]
    demand = (ModelDemand(MODEL, count, count, count / 2),)
    for second in range(100_000):
        if len(served_by_id) == count:
            break
        if second % PLAN_S == 0:
            endpoints = tuple(
                EndpointModels(
                    name,
                    f"dc{n % 3}",
                    loaded=(MODEL,) if name in served_by_id else (),
                    loading=(MODEL,) if name in left_by_id else (),
                    capacity_bytes=size,
                )
                for n, name in enumerate(names)
            )
            for order in placement.plan(
                second * 1000, endpoints, demand, RATE, {"note": size}
            ):
                if order.kind is PlacementKind.LOAD:
                    left_by_id[order.endpoint_id] = float(size)
        share = min(RATE / 2, RATE / max(1, len(left_by_id)))
        for name in list(left_by_id):
            left_by_id[name] -= share
            if left_by_id[name] <= 0:
                del left_by_id[name]
                served_by_id[name] = second + 1
    return sorted(served_by_id.values())


def main() -> None:
    """Print one row a setting."""
    options = docopt(__doc__)
    count = int(options["--replicas"])
    size = int(options["--gigabytes"]) * GB
    print("loads at a time  burst s  first  mean  last (s until it serves)")
    rows = [("all", UNLIMITED)]
    rows += [
        (loads, {"most_loads": loads, "load_burst_s": burst})
        for loads in (1, 2, 3, 4)
        for burst in (20.0, 60.0)
    ]
    for name, settings in rows:
        policy = PlacementPolicy(**settings)
        times = refill(policy, count, size)
        mean = sum(times) / len(times)
        burst = policy.load_burst_s
        print(
            f"{name!s:>15} {burst:8.0f} {times[0]:6} {mean:5.0f} {times[-1]:5}"
        )


if __name__ == "__main__":
    main()
