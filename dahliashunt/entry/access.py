"""Who a caller is and what it may do, from the records in force."""

from blacksheep import Request

from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.ids import CallerId
from dahliashunt.ids import ModelId
from dahliashunt.ids import Revision
from dahliashunt.records.callers import Caller
from dahliashunt.records.catalog import Catalog

__all__ = ["Access", "bearer_key"]

BEARER = "bearer "
NO_RECORDS_RETRY_MS = 2_000


def bearer_key(request: Request) -> str:
    """Return the key of an Authorization header.

    Raises
    ------
    RequestError
        UNAUTHENTICATED: there is none.
    """
    value = request.headers.get_first(b"authorization")
    text = "" if value is None else value.decode("latin-1")
    if not text.lower().startswith(BEARER):
        raise RequestError(ErrorKind.UNAUTHENTICATED, "a bearer key is wanted")
    return text[len(BEARER) :].strip(" \t")


class Access:
    """Checks of callers against the catalog in force.

    Parameters
    ----------
    catalog : Catalog
    """

    def __init__(self, catalog: Catalog):
        self._catalog = catalog

    @property
    def revision(self) -> Revision:
        """Revision of the records in force."""
        return self._catalog.revision

    def caller(self, request: Request) -> Caller:
        """Return who sends a request.

        Raises
        ------
        RequestError
            UNAUTHENTICATED, or NO_ENDPOINT while this entry has no
            records yet and so cannot tell.
        """
        key = bearer_key(request)
        if self._catalog.revision == 0:
            raise RequestError(
                ErrorKind.NO_ENDPOINT,
                "this entry has no configuration yet",
                retry_after_ms=NO_RECORDS_RETRY_MS,
            )
        caller = self._catalog.caller_by_key(key)
        if caller is None:
            raise RequestError(ErrorKind.UNAUTHENTICATED, "unknown key")
        return caller

    def models(self, caller: Caller) -> list[ModelId]:
        """Return the models that a caller may use."""
        return [
            model.model_id
            for model in self._catalog.models_for(caller.profile)
        ]

    def check_model(self, caller: Caller, model: ModelId) -> None:
        """Raise UNKNOWN_MODEL or NOT_PERMITTED unless it may be used."""
        if model not in self._catalog.models_by_id:
            raise RequestError(
                ErrorKind.UNKNOWN_MODEL,
                f"no model {model!r}",
                param="model",
            )
        if not caller.profile.may_use(model):
            raise RequestError(
                ErrorKind.NOT_PERMITTED,
                f"model {model!r} is not permitted",
                param="model",
            )

    def check_service(
        self, caller: Caller, name: str, method: str, path: str
    ) -> bool:
        """Return whether a call of a plain service is idempotent.

        Raises
        ------
        RequestError
            NOT_FOUND or NOT_PERMITTED.
        """
        service = self._catalog.services_by_name.get(name)
        if service is None:
            raise RequestError(ErrorKind.NOT_FOUND, f"no service {name!r}")
        if not caller.profile.may_call(name):
            raise RequestError(
                ErrorKind.NOT_PERMITTED, f"service {name!r} is not permitted"
            )
        return service.may_repeat(method, path.partition("?")[0])

    def accepts_batch(self, caller_id: CallerId, model: ModelId) -> None:
        """Raise unless a batch item for `model` is accepted."""
        profile = self._catalog.caller(caller_id)
        if profile is None or not profile.batch:
            raise RequestError(
                ErrorKind.NOT_PERMITTED, "batch jobs are not permitted"
            )
        self.check_model(Caller(caller_id, profile), model)
