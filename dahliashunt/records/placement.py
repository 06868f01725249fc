"""Which endpoint is to have which models loaded.

Notes
-----
Named endpoints are as the record says. Counted replicas are placed by
rendezvous hashing in each data centre: every node works out the same
places from the same records and endpoints without talking to others, and
the loss of an endpoint moves only what was there (D. G. Thaler and
C. V. Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998). Of two deployments that
want one endpoint, the earlier by name has it as long as another endpoint
is free for the second.
"""

from collections.abc import Iterable
import hashlib

from dahliashunt.ids import DataCentreId
from dahliashunt.ids import EndpointId
from dahliashunt.ports.engine import LoadedModel
from dahliashunt.records.fleet import Deployment

__all__ = ["wanted_models"]


def wanted_models(
    deployments: Iterable[Deployment],
    data_centre_by_endpoint: dict[EndpointId, DataCentreId],
    drained: frozenset[EndpointId] = frozenset(),
) -> dict[EndpointId, tuple[LoadedModel, ...]]:
    """Return the models wanted on each endpoint.

    Parameters
    ----------
    deployments : iterable of Deployment
    data_centre_by_endpoint : dict
        The endpoints that can hold models.
    drained : frozenset of EndpointId
        Endpoints that no counted replica is placed on.

    Examples
    --------
    >>> one = Deployment("d", "m", "1", (), frozenset({"e1"}), (),
    ...                  False, 0, 0)
    >>> wanted_models([one], {"e1": "leiden-a", "e2": "leiden-a"})["e1"]
    (LoadedModel(model='m', version='1', adapters=()),)
    """
    wanted_by_endpoint = {endpoint: [] for endpoint in data_centre_by_endpoint}
    for deployment in sorted(deployments, key=lambda d: d.name):
        model = LoadedModel(
            deployment.model, deployment.version, deployment.adapters
        )
        places = set(deployment.endpoints)
        for centre, replicas in deployment.replicas_by_data_centre:
            free = [
                endpoint
                for endpoint, where in data_centre_by_endpoint.items()
                if where == centre and endpoint not in drained
            ]
            ranked = sorted(
                free,
                key=lambda e: (
                    len(wanted_by_endpoint[e]),
                    _rank(deployment.name, e),
                ),
            )
            places.update(ranked[:replicas])
        for endpoint in places & wanted_by_endpoint.keys():
            wanted_by_endpoint[endpoint].append(model)
    return {e: tuple(models) for e, models in wanted_by_endpoint.items()}


def _rank(deployment, endpoint):
    text = f"{deployment}\0{endpoint}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
