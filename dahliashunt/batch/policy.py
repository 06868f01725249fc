"""Bounds and periods of the batch part, with the reason for each."""

from dataclasses import dataclass

__all__ = ["BatchPolicy"]

_MIB = 1024 * 1024
_HOUR_MS = 3_600_000


@dataclass(frozen=True, slots=True)
class BatchPolicy:
    """Numbers that bound memory, table writes and recovery.

    Attributes
    ----------
    chunk_lines, chunk_bytes : int
        A chunk of an input file ends at the first of the two.
    max_line_bytes, max_chunks, max_file_bytes : int
        An upload beyond one of them is refused as too large.
    group_chunks : int
        Chunks under one claim, so that several nodes share a large job.
    max_claims : int
        Claims that one node works on at once.
    loaded_chunks : int
        Input chunks held in memory at once.
    held_bytes : int
        Results not yet committed; at this bound no new item starts.
    max_result_bytes : int
        A larger answer ends its item as failed.
    commit_items, commit_bytes, commit_age_ms : int
        A commit is due at the first of the three.
    commits_at_once : int
        Commits and loads in flight from one node.
    max_attempts : int
        Tries that may have run, before an item ends as failed.
    retry_base_ms, retry_max_ms : int
        Backoff between tries, with full jitter.
    lease_term_ms, renew_ms : int
        Lease of a node's claims and the period of its renewal.
    watch_ms, scan_ms : int
        Period of reading the stop markers, and of the scan of claims.
    takeover_rank_ms : int
        How long a node waits for each better ranked one.
    takeovers_a_scan : int
        Claims that one node takes from lapsed nodes in one scan.
    tick_ms : int
        Period at which deadlines, retries and room are looked at.
    drain_ms : int
        How long a node that leaves waits for its running items.
    overrun_ms : int
        How long a job may go on beyond its deadline before it expires.
    """

    chunk_lines: int = 500
    chunk_bytes: int = _MIB
    max_line_bytes: int = _MIB
    max_chunks: int = 2048
    max_file_bytes: int = 512 * _MIB
    group_chunks: int = 16
    max_claims: int = 512
    loaded_chunks: int = 6
    held_bytes: int = 8 * _MIB
    max_result_bytes: int = 256 * 1024
    commit_items: int = 64
    commit_bytes: int = _MIB
    commit_age_ms: int = 5_000
    commits_at_once: int = 8
    max_attempts: int = 3
    retry_base_ms: int = 200
    retry_max_ms: int = 10_000
    lease_term_ms: int = 15_000
    renew_ms: int = 4_000
    watch_ms: int = 1_000
    scan_ms: int = 3_000
    takeover_rank_ms: int = 1_000
    takeovers_a_scan: int = 8
    tick_ms: int = 100
    drain_ms: int = 20_000
    overrun_ms: int = 24 * _HOUR_MS
