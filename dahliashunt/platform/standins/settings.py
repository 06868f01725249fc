"""Settings and configuration as the platform writes them."""

__all__ = [
    "config_fields",
    "replica_fields",
    "route_fields",
    "settings_fields",
]


def settings_fields(store: tuple[str, int], **changed) -> dict:
    """Return the fields of a settings file, with `changed` on top."""
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


def config_fields(routes, version: int = 1, engine: bool = True) -> dict:
    """Return a configuration with one service called llm."""
    service = {"name": "llm", "health-path": "/health", "max-conns": 100}
    if engine:
        service["engine"] = {"slots": 2, "kv-capacity": 100_000}
    return {"version": version, "routes": list(routes), "services": [service]}


def replica_fields(address: tuple[str, int], **changed) -> dict:
    """Return an entry of the list of replicas."""
    fields = {
        "service": "llm",
        "address": f"{address[0]}:{address[1]}",
        "zone": "north",
        "slots": 2,
        "state": "ready",
        "cold-left-ms": 0,
        "seq": 1,
    }
    return {**fields, **changed}
