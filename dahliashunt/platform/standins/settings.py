"""Settings and configuration in the platform's format."""

__all__ = [
    "UNREADABLE_REPLICAS",
    "agent_fields",
    "at_most_once_route",
    "config_fields",
    "entry_fields",
    "job_route",
    "replica_fields",
    "route_fields",
    "settings_fields",
    "stream_route",
    "workspace_fields",
]

UNREADABLE_REPLICAS = (b"\xff{", "[]", {"address": 7}, {"state": "ready"})
"""Malformed entries of the list of replicas."""


def settings_fields(store: tuple[str, int], **changed) -> dict:
    """Return the fields of a settings file, updated with `changed`."""
    fields = {
        "node-name": "front-1",
        "zone": "north",
        "ip": "127.0.0.1",
        "listen": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"},
        "port-range": [0, 1],
        "limits": {"cpu-share": 0.5, "cores": 2, "memory-mb": 200},
        "bounds": {
            "grace-s": 8,
            "drain-ms": 2000,
            "config-apply-ms": 2000,
            "cancel-ms": 3000,
            "status-s": 120,
        },
        "platform": {
            "address": f"{store[0]}:{store[1]}",
            "row-bytes": 65536,
            "blob-bytes": 8388608,
        },
    }
    return {**fields, **changed}


def route_fields(**changed) -> dict:
    """Return a route of the operator's configuration."""
    fields = {
        "name": "r-1",
        "host": "a.example",
        "prefix": "/a/",
        "kind": "stream",
        "timeout-ms": 5000,
        "goal-ms": 300,
        "gap-aim-ms": 400,
        "service": "llm",
        "max-attempts": 2,
        "resumable": True,
    }
    return {**fields, **changed}


def workspace_fields(name: str, *keys: str, **changed) -> dict:
    """Return a workspace of the operator's configuration."""
    fields = {"name": name, "api-keys": list(keys)}
    return {**fields, **changed}


def config_fields(
    routes,
    version: int = 1,
    engine: bool = True,
    slots: int = 2,
    workspaces=None,
) -> dict:
    """Return a configuration with one service called llm.

    Callers need API keys if `workspaces` is given.
    """
    service = {"name": "llm", "health-path": "/health", "max-conns": 100}
    if engine:
        service["engine"] = {"slots": slots, "kv-capacity": 100_000}
    fields = {
        "version": version,
        "routes": list(routes),
        "services": [service],
    }
    if workspaces is not None:
        fields["tenants"] = list(workspaces)
    return fields


def replica_fields(address: tuple[str, int], **changed) -> dict:
    """Return an entry of the list of replicas."""
    fields = {
        "service": "llm",
        "address": f"{address[0]}:{address[1]}",
        "zone": "north",
        "slots": 2,
        "version": "v1",
        "state": "ready",
        "cold-left-ms": 0,
        "seq": 1,
    }
    return {**fields, **changed}


def entry_fields(store, name, host, ports, callers, readiness) -> dict:
    """Return an entry's settings.

    Parameters
    ----------
    store : (str, int)
    name, host : str
    ports : (int, int)
        First and last port for traffic between nodes.
    callers, readiness : int
        Ports of the caller-facing and the readiness listener.
    """
    listen = {
        "front": f"{host}:{callers}",
        "ready": f"{host}:{readiness}",
    }
    return _node_fields(store, name, host, ports, listen=listen)


def agent_fields(store, name, host, ports, replica) -> dict:
    """Return an agent's settings; its replica listens on port `replica`."""
    app = f"{host}:{replica}"
    return _node_fields(store, name, host, ports, listen={}, app=app)


def _node_fields(store, name, host, ports, **changed):
    fields = {"node-name": name, "ip": host, "port-range": list(ports)}
    return settings_fields(store, **fields, **changed)


def stream_route(prefix: str, budget_ms: int, most_runs: int) -> dict:
    """Return a route of streams that another replica can resume."""
    times = {"timeout-ms": budget_ms, "max-attempts": most_runs}
    return route_fields(prefix=prefix, **times)


def at_most_once_route(prefix: str, budget_ms: int) -> dict:
    """Return a route of non-idempotent requests, never retried."""
    times = {"timeout-ms": budget_ms, "max-attempts": 1}
    return route_fields(
        name="once",
        prefix=prefix,
        kind="non_idempotent",
        resumable=False,
        **times,
    )


def job_route(prefix: str, due_ms: int, most_runs: int) -> dict:
    """Return a route of batch jobs that are due after `due_ms`."""
    times = {
        "goal-ms": 400,
        "completion-target-ms": due_ms,
        "max-wait-s": 60,
        "max-attempts": most_runs,
        "cap": 100_000,
    }
    return route_fields(name="jobs", prefix=prefix, kind="batch", **times)
