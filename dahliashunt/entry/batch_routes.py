"""Files and batches in the OpenAI HTTP dialect."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import replace
import functools
from typing import Protocol

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response
from blacksheep import StreamedContent
from blacksheep.server.responses import json as json_response
import structlog

from dahliashunt.batch.front import JobView
from dahliashunt.batch.front import NewJob
from dahliashunt.batch.front import window_ms
from dahliashunt.batch.job import JobCounts
from dahliashunt.batch.service import BatchService
from dahliashunt.entry.answers import answered
from dahliashunt.entry.batch_objects import batch_object
from dahliashunt.entry.batch_objects import file_object
from dahliashunt.entry.batch_objects import page_object
from dahliashunt.entry.batch_objects import parse_result_id
from dahliashunt.entry.batch_objects import result_file_object
from dahliashunt.entry.batch_upload import BodyReader
from dahliashunt.entry.batch_upload import read_json
from dahliashunt.entry.batch_upload import upload_parts
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.ids import CallerId
from dahliashunt.ids import JobId
from dahliashunt.ids import ModelId
from dahliashunt.ids import Revision

__all__ = ["BatchContext", "add_batch_routes"]

_LOG = structlog.get_logger(__name__)
_ENDPOINTS = ("/v1/chat/completions", "/v1/completions")
_PURPOSE = "batch"
_MAX_PAGE = 100
_MAX_METADATA = 16
_MAX_KEY = 64
_MAX_VALUE = 512
_MAX_FIELD = 1024
_RETRY_AFTER_MS = 5_000
_FORM_BYTES = 64 * 1024

Handler = Callable[[Request], Awaitable[Response]]


class BatchContext(Protocol):
    """What the routes need of the entry.

    Attributes
    ----------
    batch : BatchService
    """

    batch: BatchService

    async def authenticate(self, request: Request) -> CallerId:
        """Return who sent a request, or raise `RequestError`."""

    async def accepts(self, caller: CallerId, model: ModelId) -> Revision:
        """Raise `RequestError` unless the caller may run such a job.

        Returns the revision of the records that permit it.
        """


def add_batch_routes(app: Application, context: BatchContext) -> None:
    """Add the routes of files and batches to an application."""
    routes = _Routes(context)
    add = app.router.add
    add("POST", "/v1/files", answered(routes.upload))
    add("GET", "/v1/files", answered(routes.list_files))
    add("GET", "/v1/files/{file_id}", answered(routes.get_file))
    add("DELETE", "/v1/files/{file_id}", answered(routes.delete_file))
    add("GET", "/v1/files/{file_id}/content", answered(routes.content))
    add("POST", "/v1/batches", answered(routes.submit))
    add("GET", "/v1/batches", answered(routes.list_batches))
    add("GET", "/v1/batches/{batch_id}", answered(routes.get_batch))
    add("POST", "/v1/batches/{batch_id}/cancel", answered(routes.cancel))


class _Routes:
    """The handlers; each authenticates before it reads anything else."""

    def __init__(self, context: BatchContext):
        self._context = context
        self._batch = context.batch
        self._policy = context.batch.policy

    async def upload(self, request: Request) -> Response:
        caller = await self._context.authenticate(request)
        reader = BodyReader(request, self._policy.max_file_bytes + _FORM_BYTES)
        record = None
        try:
            async for part in upload_parts(request, reader):
                if part.name == "purpose":
                    _check_purpose(await _field(part))
                elif part.name == "file" and record is None:
                    record = await self._batch.files.upload(
                        caller,
                        part.file_name or "",
                        _PURPOSE,
                        _pieces(part, reader),
                    )
        except RequestError:
            if record is not None:
                await self._batch.files.delete(caller, record.file_id)
            raise
        if record is None:
            raise _bad("file", "the form has no file")
        return json_response(file_object(record))

    async def list_files(self, request: Request) -> Response:
        caller = await self._context.authenticate(request)
        after, limit = _paging(request)
        if request.query.get("purpose", [_PURPOSE]) != [_PURPOSE]:
            return json_response(page_object([], limit))
        records = await self._batch.files.page(caller, after, limit + 1)
        return json_response(
            page_object([file_object(record) for record in records], limit)
        )

    async def get_file(self, request: Request) -> Response:
        caller = await self._context.authenticate(request)
        file_id = request.route_values["file_id"]
        result = parse_result_id(file_id)
        if result is None:
            record = await self._batch.files.get(caller, file_id)
            return json_response(file_object(record))
        job = await self._job_of(caller, file_id, result)
        size = await self._batch.result_size(job, result[1])
        return json_response(result_file_object(job, result[1], size))

    async def delete_file(self, request: Request) -> Response:
        caller = await self._context.authenticate(request)
        file_id = request.route_values["file_id"]
        result = parse_result_id(file_id)
        if result is not None:
            await self._job_of(caller, file_id, result)
            raise RequestError(
                ErrorKind.CONFLICT, "results of a batch are kept"
            )
        await self._batch.files.delete(caller, file_id)
        return json_response(
            {"id": file_id, "object": "file", "deleted": True}
        )

    async def content(self, request: Request) -> Response:
        caller = await self._context.authenticate(request)
        file_id = request.route_values["file_id"]
        result = parse_result_id(file_id)
        if result is None:
            record = await self._batch.files.get(caller, file_id)
            pieces = self._batch.files.content(record)
        else:
            job = await self._job_of(caller, file_id, result)
            pieces = self._batch.results(job, result[1])
        # The first piece is read before the answer begins, so that a
        # store that is out gives an error and not an empty file.
        first = await anext(pieces, b"")
        body = functools.partial(_chain, first, pieces)
        return Response(
            200, content=StreamedContent(b"application/jsonl", body)
        )

    async def submit(self, request: Request) -> Response:
        caller = await self._context.authenticate(request)
        new = _new_job(caller, request, await read_json(request))
        job = await self._batch.find(new)
        if job is None:
            file = await self._batch.files.get(caller, new.file_id)
            revision = await self._context.accepts(caller, file.model)
            new = replace(new, revision=revision)
            job = await self._batch.submit(new)
        view = JobView(job, JobCounts(job.total, job.completed, job.failed))
        return self._answer(view)

    async def list_batches(self, request: Request) -> Response:
        caller = await self._context.authenticate(request)
        after, limit = _paging(request)
        views = await self._batch.list(
            caller, None if after is None else JobId(after), limit + 1
        )
        objects = [batch_object(v, self._policy.overrun_ms) for v in views]
        return json_response(page_object(objects, limit))

    async def get_batch(self, request: Request) -> Response:
        caller = await self._context.authenticate(request)
        job_id = JobId(request.route_values["batch_id"])
        return self._answer(await self._batch.get(caller, job_id))

    async def cancel(self, request: Request) -> Response:
        caller = await self._context.authenticate(request)
        job_id = JobId(request.route_values["batch_id"])
        return self._answer(await self._batch.cancel(caller, job_id))

    def _answer(self, view):
        return json_response(batch_object(view, self._policy.overrun_ms))

    async def _job_of(self, caller, file_id, result):
        """Return the caller's job that a result file belongs to."""
        try:
            view = await self._batch.get(caller, result[0])
        except RequestError as error:
            if error.kind is not ErrorKind.NOT_FOUND:
                raise
            raise RequestError(
                ErrorKind.NOT_FOUND, f"no file {file_id!r}", param="file_id"
            ) from None
        return view.job


async def _pieces(part, reader):
    async for piece in part.stream():
        reader.parsed()
        yield piece


async def _chain(first, pieces):
    """Yield the rest after `first`; a failure cuts the answer visibly."""
    if first:
        yield first
    async for piece in pieces:
        if piece:
            yield piece


async def _field(part):
    value = b""
    async for piece in part.stream():
        value += piece
        if len(value) > _MAX_FIELD:
            raise _bad(part.name, "the field is too long")
    return value.decode(errors="replace")


def _check_purpose(purpose):
    if purpose != _PURPOSE:
        raise _bad("purpose", "purpose must be batch")


def _paging(request):
    """Return the cursor and page size that a listing asks for."""
    limit = request.query.get("limit", ["20"])[0]
    if not limit.isdecimal() or not int(limit):
        raise _bad("limit", "limit must be a positive number")
    if request.query.get("order", ["desc"]) != ["desc"]:
        raise _bad("order", "order must be desc")
    after = request.query.get("after", [None])[0]
    return after, min(int(limit), _MAX_PAGE)


def _new_job(caller, request, fields):
    for name in ("input_file_id", "endpoint", "completion_window"):
        if not isinstance(fields.get(name), str) or not fields[name]:
            raise _bad(name, f"{name} must be a string")
    if fields["endpoint"] not in _ENDPOINTS:
        raise _bad("endpoint", f"endpoint must be of {', '.join(_ENDPOINTS)}")
    window_ms(fields["completion_window"])
    metadata = _metadata(fields.get("metadata"))
    header = request.get_first_header(b"Idempotency-Key")
    key = header.decode() if header else metadata.get("job_key")
    return NewJob(
        caller,
        fields["input_file_id"],
        fields["endpoint"],
        fields["completion_window"],
        metadata,
        key,
    )


def _metadata(value):
    if value is None:
        return {}
    if not isinstance(value, dict) or len(value) > _MAX_METADATA:
        raise _bad("metadata", f"at most {_MAX_METADATA} pairs of strings")
    for name, text in value.items():
        if not isinstance(text, str) or len(text) > _MAX_VALUE:
            raise _bad("metadata", f"{name!r} must be a short string")
        if len(name) > _MAX_KEY:
            raise _bad("metadata", f"{name!r} is too long")
    return value


def _bad(param, message):
    return RequestError(ErrorKind.BAD_REQUEST, message, param=param)
