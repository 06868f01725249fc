"""The list of replicas after failed reads, at an entry."""

import asyncio

from dahliashunt.platform.standins.settings import replica_fields

DROP_S = 0.5
"""Time within which an entry stops using a replica whose row it has seen
removed; the feed pauses for 150 ms after a change."""


def row(p, replica):
    return replica_fields(replica.address, slots=2)


def is_used(p, replica):
    used = p.entries[0].node.registry.of_service("llm")
    return replica.replica_id in {each.replica_id for each in used}


async def fail_one_read(p):
    """Let a read of the list fail once."""
    p.store.trouble.status = 503
    # Ends the feed call in progress.
    p.store.list_replica("i-0", row(p, p.replicas[0]))
    registry = p.entries[0].node.registry
    heard = p.entries[0]._followers[1]
    await p.until(lambda: heard._failures)
    p.store.trouble.status = None
    await p.until(lambda: not heard._failures)
    assert registry.all()


def test_a_removal_after_one_failed_read_takes_effect_at_once(platform):
    # Guards against requests for a removed replica, since a reset connection
    # of this entry is taken for an outage in which its row lapsed.
    async def scenario(p):
        for leaver in p.replicas[1:]:
            await fail_one_read(p)
            await asyncio.sleep(0.3)
            p.store.unlist_replica(leaver.replica_id)
            began_s = p.now_s()
            await p.until(lambda leaver=leaver: not is_used(p, leaver))
            assert p.now_s() - began_s < DROP_S

    platform(scenario, replicas=4)


def test_rows_that_lapsed_in_an_outage_stay_until_they_are_back(platform):
    # Guards against an empty list after the store's absence, whether most
    # rows have lapsed or a few, while the replicas live.
    async def scenario(p):
        for lapsed in (p.replicas[:1], p.replicas[:3]):
            p.store.trouble.status = 503
            p.store.list_replica("i-3", row(p, p.replicas[3]))
            await asyncio.sleep(2.5)
            for replica in lapsed:
                p.store.unlist_replica(replica.replica_id)
            p.store.trouble.status = None
            returned_s = p.now_s()
            while p.now_s() < returned_s + 1.5:
                assert all(is_used(p, replica) for replica in p.replicas)
                await asyncio.sleep(0.02)
            for replica in lapsed:
                p.store.list_replica(replica.replica_id, row(p, replica))
            await asyncio.sleep(1.5)
            assert all(is_used(p, replica) for replica in p.replicas)

    platform(scenario, replicas=4)


def test_rows_that_do_not_come_back_are_dropped(platform):
    # Guards against requests for replicas that ended with the store.
    async def scenario(p):
        p.store.trouble.status = 503
        p.store.list_replica("i-1", row(p, p.replicas[1]))
        await asyncio.sleep(2.5)
        p.store.unlist_replica(p.replicas[0].replica_id)
        p.store.trouble.status = None
        returned_s = p.now_s()
        await p.until(lambda: not is_used(p, p.replicas[0]))
        assert 1.5 < p.now_s() - returned_s < 3

    platform(scenario, replicas=2)
