"""Random faults against the real programs, and the promises held meanwhile.

Entries and agents run as separate processes between a store, replicas and
callers of this process; every connection goes through a proxy that can
delay, reset, cut one way or swallow it. A seed draws the faults. See
``python -m tests.soak --help``.
"""
