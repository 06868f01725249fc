"""A compact index of callers by API key.

Notes
-----
An entry of the letter's size holds 44,000 callers beside everything else
in 64 MB. A dictionary of objects takes over 400 bytes a caller, so the
index is flat: the first 16 bytes of each key's SHA-256 in order, the
caller's slot beside each, and by slot the name and a number of a profile.
A profile is what callers have in common, since most differ in name and
keys only. A lookup is a binary search over slices; 16 bytes of a hash of
a long random key are as safe from chance as the key itself.

A change moves memory behind its place and never builds the index anew.
The name of a deleted caller stays until the process is replaced.
"""

from array import array
from dataclasses import dataclass

from dahliashunt.decisions.events import CallerLimits
from dahliashunt.ids import CallerId
from dahliashunt.ids import ModelId
from dahliashunt.key_digest import DIGEST_BYTES
from dahliashunt.key_digest import key_digest
from dahliashunt.records.record import canonical_json

__all__ = ["BatchLimits", "Caller", "CallerIndex", "CallerProfile"]

ALL = "*"


@dataclass(frozen=True, slots=True)
class BatchLimits:
    """Bounds of a caller's batch work; None is no bound."""

    max_jobs: int | None = None
    max_items: int | None = None
    tokens_a_second: int | None = None


@dataclass(frozen=True, slots=True)
class CallerProfile:
    """What callers with the same limits and permissions share."""

    limits: CallerLimits
    models: frozenset[str]
    services: frozenset[str]
    batch: bool
    batch_limits: BatchLimits

    def may_use(self, model: ModelId) -> bool:
        """Return whether the model is permitted."""
        return ALL in self.models or model in self.models

    def may_call(self, service: str) -> bool:
        """Return whether the service is permitted."""
        return ALL in self.services or service in self.services


@dataclass(frozen=True, slots=True)
class Caller:
    """An authenticated caller."""

    caller_id: CallerId
    profile: CallerProfile


def profile_of(spec: dict) -> CallerProfile:
    """Return the profile of a version 2 spec."""
    limits = spec.get("limits", {})
    permissions = spec.get("permissions", {})
    batch = limits.get("batch", {})
    return CallerProfile(
        limits=CallerLimits(
            weight=float(limits.get("weight", 1.0)),
            tokens_a_second=limits.get("tokens_a_second"),
            burst_s=float(limits.get("burst_s", 10.0)),
        ),
        models=frozenset(permissions.get("models", ())),
        services=frozenset(permissions.get("services", ())),
        batch=permissions.get("batch", False),
        batch_limits=BatchLimits(
            batch.get("max_jobs"),
            batch.get("max_items"),
            batch.get("tokens_a_second"),
        ),
    )


class CallerIndex:
    """Callers by API key.

    Examples
    --------
    >>> import hashlib
    >>> index = CallerIndex()
    >>> digest = hashlib.sha256(b"secret").hexdigest()
    >>> spec = {"keys": [{"id": "a", "sha256": digest}]}
    >>> index.put("bench", None, spec)
    >>> index.by_key("secret").caller_id
    'bench'
    >>> index.put("bench", spec, None)
    >>> index.by_key("secret") is None
    True
    """

    def __init__(self):
        self._digests = bytearray()
        self._slots = array("I")
        self._names = bytearray()
        self._name_ends = array("I", [0])
        self._profile_numbers = array("I")
        self._free_slots = array("I")
        self._profiles = _Profiles()

    def __len__(self):
        return len(self._profile_numbers) - len(self._free_slots)

    @property
    def nbytes(self) -> int:
        """Return the bytes of the flat parts."""
        arrays = (self._slots, self._name_ends, self._profile_numbers)
        flat = sum(part.itemsize * len(part) for part in arrays)
        return flat + len(self._digests) + len(self._names)

    @property
    def profiles(self) -> int:
        """Return how many different profiles are held."""
        return len(self._profiles)

    def by_key(self, key: str) -> Caller | None:
        """Return the caller whose key this is, or None.

        Notes
        -----
        Two callers may have one key by an operator's mistake. The first
        by name is taken, on every node alike, whatever the order in
        which the records came.
        """
        digest = key_digest(key)
        names_slots = [
            (self._name(self._slots[place]), self._slots[place])
            for place in self._places(digest)
        ]
        if not names_slots:
            return None
        name, slot = min(names_slots)
        profile = self._profiles.get(self._profile_numbers[slot])
        return Caller(CallerId(name), profile)

    def put(self, name: str, before: dict | None, after: dict | None) -> None:
        """Replace a caller's version 2 spec; None stands for no caller."""
        old = [] if before is None else _digests(before)
        new = [] if after is None else _digests(after)
        slots = {self._take_out(digest, name) for digest in {*old, *new}}
        for slot in slots - {None}:
            self._profiles.release(self._profile_numbers[slot])
            self._free_slots.append(slot)
        if new:
            slot = self._new_slot(name, self._profiles.take(after))
            for digest in new:
                self._put_in(digest, slot)

    def _take_out(self, digest, name):
        for place in self._places(digest):
            slot = self._slots[place]
            if self._name(slot) == name:
                del self._slots[place]
                start = place * DIGEST_BYTES
                del self._digests[start : start + DIGEST_BYTES]
                return slot
        return None

    def _put_in(self, digest, slot):
        place = self._place(digest)
        start = place * DIGEST_BYTES
        self._digests[start:start] = digest
        self._slots.insert(place, slot)

    def _places(self, digest):
        """Return the places of a digest, nearly always none or one."""
        first = last = self._place(digest)
        while self._digest(last) == digest:
            last += 1
        return range(first, last)

    def _place(self, digest):
        low, high = 0, len(self._slots)
        while low < high:
            middle = (low + high) // 2
            if self._digest(middle) < digest:
                low = middle + 1
            else:
                high = middle
        return low

    def _digest(self, place):
        start = place * DIGEST_BYTES
        return self._digests[start : start + DIGEST_BYTES]

    def _new_slot(self, name, number):
        """Return a slot; the one just freed, if it has this name."""
        free = self._free_slots
        if free and self._name(free[-1]) == name:
            slot = free.pop()
            self._profile_numbers[slot] = number
            return slot
        self._names += name.encode()
        self._name_ends.append(len(self._names))
        self._profile_numbers.append(number)
        return len(self._profile_numbers) - 1

    def _name(self, slot):
        start, end = self._name_ends[slot], self._name_ends[slot + 1]
        return self._names[start:end].decode()


class _Profiles:
    """Profiles by number, each held as long as a caller has it."""

    def __init__(self):
        self._by_number: dict[int, CallerProfile] = {}
        self._text_by_number: dict[int, str] = {}
        self._number_by_text: dict[str, int] = {}
        self._uses_by_number: dict[int, int] = {}
        self._next = 0

    def __len__(self):
        return len(self._by_number)

    def get(self, number):
        return self._by_number[number]

    def take(self, spec):
        text = canonical_json(
            [spec.get("limits", {}), spec.get("permissions", {})]
        )
        number = self._number_by_text.get(text)
        if number is None:
            number = self._next
            self._next += 1
            self._by_number[number] = profile_of(spec)
            self._text_by_number[number] = text
            self._number_by_text[text] = number
            self._uses_by_number[number] = 0
        self._uses_by_number[number] += 1
        return number

    def release(self, number):
        self._uses_by_number[number] -= 1
        if not self._uses_by_number[number]:
            del self._uses_by_number[number]
            del self._by_number[number]
            del self._number_by_text[self._text_by_number.pop(number)]


def _digests(spec):
    """Return the digests of a spec's keys, each once."""
    return {
        bytes.fromhex(key["sha256"])[:DIGEST_BYTES]
        for key in spec.get("keys", ())
    }
