"""Slot protocol between entries and agents, over datagrams.

Nothing is imported here: an entry needs `client` and an agent `server`, and
each of them starts faster without the other.
"""
