"""Counters and latency histograms of one process, as text.

Latencies are kept by `hdrhistogram`, whose encoded form can be merged over
instances without loss of percentiles.
"""

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics", "merge_encoded", "new_histogram"]

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
SIGNIFICANT = 2

PERCENTILES = (50, 90, 95, 99)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of milliseconds, up to an hour."""
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT)


def merge_encoded(encoded: list[bytes]) -> HdrHistogram:
    """Return the sum of encoded histograms.

    Examples
    --------
    >>> one, other = new_histogram(), new_histogram()
    >>> _ = one.record_value(10), other.record_value(1000)
    >>> both = merge_encoded([one.encode(), other.encode()])
    >>> both.get_total_count()
    2
    """
    merged = new_histogram()
    for data in encoded:
        merged.decode_and_add(data)
    return merged


class Metrics:
    """Counters and histograms by name and labels.

    Examples
    --------
    >>> metrics = Metrics("entry-1")
    >>> metrics.count("requests", model="m")
    >>> metrics.observe_ms("first_token", 12, model="m")
    >>> print(metrics.text().splitlines()[0])
    dahliashunt_requests_total{node="entry-1",model="m"} 1
    """

    def __init__(self, node_id: str):
        self.node_id = node_id
        self.counts_by_name: dict[tuple, int] = {}
        self.histograms_by_name: dict[tuple, HdrHistogram] = {}
        self.gauges_by_name: dict[tuple, float] = {}

    def count(self, name: str, by: int = 1, **labels) -> None:
        """Add to a counter."""
        key = (name, tuple(labels.items()))
        self.counts_by_name[key] = self.counts_by_name.get(key, 0) + by

    def observe_ms(self, name: str, value_ms: int, **labels) -> None:
        """Record a latency."""
        key = (name, tuple(labels.items()))
        histogram = self.histograms_by_name.get(key)
        if histogram is None:
            histogram = self.histograms_by_name[key] = new_histogram()
        histogram.record_value(min(max(value_ms, LOWEST_MS), HIGHEST_MS))

    def gauge(self, name: str, value: float, **labels) -> None:
        """Set a gauge."""
        self.gauges_by_name[name, tuple(labels.items())] = value

    def encoded_by_name(self) -> dict[str, list[bytes]]:
        """Return histograms in the form that `merge_encoded` takes."""
        found = {}
        for (name, _), histogram in self.histograms_by_name.items():
            found.setdefault(name, []).append(histogram.encode())
        return found

    def text(self) -> str:
        """Return everything in the usual text format of metrics."""
        lines = [
            f"dahliashunt_{name}_total{self._labels(labels)} {value}"
            for (name, labels), value in sorted(self.counts_by_name.items())
        ]
        lines += [
            f"dahliashunt_{name}{self._labels(labels)} {value}"
            for (name, labels), value in sorted(self.gauges_by_name.items())
        ]
        for (name, labels), histogram in sorted(
            self.histograms_by_name.items(), key=lambda item: item[0]
        ):
            lines += self._summary(name, labels, histogram)
        return "\n".join(lines) + "\n"

    def _summary(self, name, labels, histogram):
        full = f"dahliashunt_{name}_milliseconds"
        lines = [
            f"{full}{self._labels((*labels, ('quantile', str(p / 100))))} "
            f"{histogram.get_value_at_percentile(p)}"
            for p in PERCENTILES
        ]
        count = histogram.get_total_count()
        lines.append(f"{full}_count{self._labels(labels)} {count}")
        return lines

    def _labels(self, labels):
        pairs = (("node", self.node_id), *labels)
        inside = ",".join(f'{k}="{_escaped(v)}"' for k, v in pairs)
        return "{" + inside + "}"


def _escaped(value):
    text = str(value).replace("\\", "\\\\").replace('"', '\\"')
    return text.replace("\n", "\\n")
