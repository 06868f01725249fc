"""Cut an uploaded file into chunks, holding one of them at a time."""

from collections.abc import Iterator
import json

from dahliashunt.batch.policy import BatchPolicy
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.ids import ModelId

__all__ = ["Cutter"]


class Cutter:
    """Cuts a byte stream into chunks of whole lines; skips blank lines.

    Parameters
    ----------
    policy : BatchPolicy

    Attributes
    ----------
    lines : list of int
        Lines by chunk.
    size : int
        Bytes of the chunks.
    """

    def __init__(self, policy: BatchPolicy):
        self._policy = policy
        self._rest = b""
        self._chunk = []
        self._chunk_bytes = 0
        self._first = None
        self._first_number = 0
        self._read = 0
        self.size = 0
        self.lines: list[int] = []

    def feed(self, piece: bytes) -> Iterator[bytes]:
        """Yield the chunks that are full with the next piece of a file.

        Raises
        ------
        RequestError
            The file or one of its lines is too large.
        """
        self._read += len(piece)
        self._refuse(self._read > self._policy.max_file_bytes, "file")
        *lines, self._rest = (self._rest + piece).split(b"\n")
        self._refuse(len(self._rest) > self._policy.max_line_bytes, "line")
        yield from self._add(lines)

    def rest(self) -> Iterator[bytes]:
        """Yield what is left; refuse a file without any line."""
        yield from self._add([self._rest])
        if self._chunk:
            yield self._take()
        if not self.lines:
            raise RequestError(
                ErrorKind.BAD_REQUEST, "the file has no lines", param="file"
            )

    @property
    def model(self) -> ModelId:
        """The model that the first line names, or ''.

        Raises
        ------
        RequestError
            The first line is not JSON; the text names line and reason.
        """
        return ModelId(_model(self._first, self._first_number))

    def _add(self, lines):
        for line in lines:
            line = line.strip()
            if self._first is None:
                self._first_number += 1
            if not line:
                continue
            self._refuse(len(line) > self._policy.max_line_bytes, "line")
            if self._first is None:
                self._first = line
            if self._chunk_bytes + len(line) > self._policy.chunk_bytes:
                yield from self._full()
            self._chunk.append(line)
            self._chunk_bytes += len(line) + 1
            if len(self._chunk) >= self._policy.chunk_lines:
                yield from self._full()

    def _full(self):
        if self._chunk:
            yield self._take()
        self._refuse(len(self.lines) >= self._policy.max_chunks, "file")

    def _take(self):
        chunk = b"\n".join([*self._chunk, b""])
        self.lines.append(len(self._chunk))
        self.size += len(chunk)
        self._chunk, self._chunk_bytes = [], 0
        return chunk

    def _refuse(self, too_large, what):
        if too_large:
            raise RequestError(
                ErrorKind.TOO_LARGE, f"the {what} is too large", param="file"
            )


def _model(line, number):
    """Return the model that an input line names, or ''."""
    try:
        fields = json.loads(line)
    except (ValueError, RecursionError) as error:
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            f"line {number} of the file is not JSON: {error}",
            param="file",
        ) from None
    try:
        model = fields["body"]["model"]
    except (KeyError, TypeError):
        return ""
    return model if isinstance(model, str) else ""
