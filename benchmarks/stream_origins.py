"""Compare ways to know the version of a stream that a caller takes up.

Usage:
  benchmarks.stream_origins [--streams=N] [--seed=N]

Options:
  --streams=N  Streams whose entry dies while they run [default: 20000].
  --seed=N     [default: 1].

Plays a rollout from one version to another over a minute, in which entries
read the list of replicas up to two seconds late, a share of the agents' hosts
is replaced, and one datagram in a hundred is lost. Prints a row for each way:
datagrams and bytes that an entry sends each second, and of the streams whose
entry dies the shares that are refused (version unknown) and that are joined
from two versions.
"""

import random

from docopt import docopt
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import serialize

from dahliashunt.adapters.wire.gen.link.ttypes import SlotFrame
from dahliashunt.adapters.wire.gen.link.ttypes import StreamNote
from dahliashunt.decisions.hash_ring import HashRing
from dahliashunt.decisions.link_choice import rendezvous_rank
from dahliashunt.decisions.stream_origins import origin_key
from dahliashunt.decisions.stream_origins import stream_key

ENTRIES = 500
AGENTS = 7_000
STREAMS_PER_S = 10_000
ROLLOUT_S = 60.0
LONGEST_S = 10.0
LAG_S = 2.0
LOST_SHARE = 0.01
REPLACED_SHARE = 0.1
UDP_IP_BYTES = 28
ASKED = 4
VERSIONS = ("v1", "v2")


def note_bytes():
    """Return the size of one note on the network."""
    note = StreamNote(stream_key("a1b2c3d4e5f60718"), origin_key("s", "v1"))
    frame = SlotFrame(stream_note=note)
    factory = TCompactProtocolAcceleratedFactory()
    return UDP_IP_BYTES + len(serialize(frame, protocol_factory=factory))


class Rollout:
    """Hosts of agents and share of the new version over time."""

    def __init__(self, rng):
        self._rng = rng
        names = [f"10.{n // 250}.{n % 250}" for n in range(AGENTS)]
        leaving = rng.sample(names, int(REPLACED_SHARE * AGENTS))
        self.gone_s_by_host = {h: rng.uniform(0, ROLLOUT_S) for h in leaving}
        self._names = names
        self._ring_by_second = {}

    def ring(self, at_s):
        """Return the ring as an entry sees it at a time."""
        second = int(max(0, at_s))
        if second not in self._ring_by_second:
            hosts = (
                f"{host}-new"
                if self.gone_s_by_host.get(host, second) < second
                else host
                for host in self._names
            )
            self._ring_by_second[second] = HashRing(hosts)
        return self._ring_by_second[second]

    def version(self, at_s):
        """Return the version of a replica picked at a time."""
        share = min(1, max(0, at_s / ROLLOUT_S))
        return VERSIONS[self._rng.random() < share]

    def seen_versions(self, at_s):
        """Return the versions listed at a time."""
        if at_s <= 0:
            return VERSIONS[:1]
        return VERSIONS if at_s < ROLLOUT_S else VERSIONS[1:]

    def is_gone(self, host, at_s):
        """Tell whether a host has been replaced."""
        return self.gone_s_by_host.get(host, at_s) < at_s


def computed(request_id, versions):
    """Return the version that a hash of the request prefers."""
    return max(versions, key=lambda one: rendezvous_rank(request_id, one))


def play(streams, seed, agents, tells_all):
    """Return notes for each stream, refused share and joined share."""
    rng = random.Random(seed)
    rollout = Rollout(rng)
    noted = refused = joined = 0
    for number in range(streams):
        request_id = f"r{number}"
        began_s = rng.uniform(0, ROLLOUT_S)
        died_s = began_s + rng.uniform(0, LONGEST_S)
        first_view_s = began_s - rng.uniform(0, LAG_S)
        next_view_s = died_s - rng.uniform(0, LAG_S)
        version = rollout.version(first_view_s)
        seen = rollout.seen_versions(first_view_s)
        holders = set()
        if tells_all or computed(request_id, seen) != version:
            noted += 1
            owners = rollout.ring(first_view_s).owners(
                stream_key(request_id), agents
            )
            holders = {h for h in owners if rng.random() >= LOST_SHARE}
        asked = rollout.ring(next_view_s).owners(stream_key(request_id), ASKED)
        if any(h in holders and not rollout.is_gone(h, died_s) for h in asked):
            continue
        if tells_all:
            refused += 1
        else:
            seen = rollout.seen_versions(next_view_s)
            joined += computed(request_id, seen) != version
    return agents * noted / streams, refused / streams, joined / streams


def main(argv=None):
    """Print the table."""
    options = docopt(__doc__, argv)
    streams, seed = int(options["--streams"]), int(options["--seed"])
    per_entry = STREAMS_PER_S / ENTRIES
    size = note_bytes()
    print(f"a note has {size} bytes; {per_entry:.0f} streams a second")
    print("way                      datagrams/s  bytes/s  refused  joined")
    for name, agents, tells_all in (
        ("noted at 1 agent", 1, True),
        ("noted at 2 agents", 2, True),
        ("noted at 3 agents", 3, True),
        ("hash, exceptions at 2", 2, False),
        ("hash, exceptions at 3", 3, False),
    ):
        notes, refused, joined = play(streams, seed, agents, tells_all)
        rate = notes * per_entry
        print(
            f"{name:24} {rate:11.1f} {rate * size:8.0f}"
            f" {refused:8.4f} {joined:7.4f}"
        )


if __name__ == "__main__":
    main()
