"""Tasks that watch the back end and the instance list for the core."""

from dahliashunt.agent.messages import LeaveNotice
from dahliashunt.agent.messages import LoadSeen
from dahliashunt.agent.messages import StateSeen
from dahliashunt.errors import EngineError
from dahliashunt.errors import PlatformError
from dahliashunt.ports.instances import InstanceState

__all__ = ["watch_engine", "watch_instances"]


async def watch_engine(engine, clock, owner, period_ms):
    """Send the engine's load and state to `owner`, every `period_ms`.

    An engine that cannot be reached is reported as having no models, so
    that nothing is routed to it; the core learns of a crash from the calls
    that it cuts.
    """
    while True:
        try:
            owner.put(StateSeen(await engine.state()))
            owner.put(LoadSeen(await engine.load()))
        except EngineError:
            owner.put(StateSeen(None))
        await clock.sleep_ms(period_ms)


async def watch_instances(instances, instance_id, clock, owner, period_ms):
    """Tell `owner` once the list says that this instance is leaving."""
    while True:
        try:
            listed = await instances.read()
        except PlatformError:
            listed = ()
        for instance in listed:
            if instance.instance_id != instance_id:
                continue
            if instance.state is InstanceState.LEAVING:
                owner.put(LeaveNotice("the instance list says so"))
                return
        await clock.sleep_ms(period_ms)
