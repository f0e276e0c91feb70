"""An instance's address goes to another keyed service while the store is down."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

import standin
from standin import Instance
from standin import Node

OUTAGE_S = 4.5  # the site has platform_down, reset, of 8 s
MAX_OVERLAP_S = 0.5  # OWNER: "for over half a second, with requests or without"


def shared_keys(a, b):
    for x in a.key_range_holds():
        for y in b.key_range_holds():
            first, last = max(x[0], y[0]), min(x[1], y[1])
            if first <= last:
                return first, last
    return None


async def watch_holders(world):
    """Reports instances of one service that are up and hold the same keys for too long."""
    since, reported = {}, set()
    while True:
        await asyncio.sleep(0.02)
        now = time.monotonic()
        up = [i for i in world.instances if i.alive and i.keyed]
        for at, a in enumerate(up):
            for b in up[at + 1:]:
                pair = (a.name, b.name)
                shared = shared_keys(a, b) if a.service == b.service else None
                if shared is None:
                    since.pop(pair, None)
                elif now - since.setdefault(pair, now) > MAX_OVERLAP_S and pair not in reported:
                    reported.add(pair)
                    world.record.violation(
                        f"OWNER {a.name} and {b.name} of {a.service} are up and have both held "
                        f"keys {shared[0]} to {shared[1]} for {now - since[pair]:.2f} s")


async def traffic(world, stop):
    rnd = random.Random(1)
    while not stop.is_set():
        await asyncio.sleep(0.03)
        for path in ("/alpha/x", "/beta/x"):
            node = rnd.choice(world.nodes)
            world.spawn(world.request(node, "GET", path, key=rnd.randrange(65536)))


async def scenario(world, trouble):
    await world.store.start()
    world.spawn(world.store.expire())
    routes = {"r-a": standin.route("/alpha/", "safe", "alpha"),
              "r-b": standin.route("/beta/", "safe", "beta")}
    services = {name: standin.service(sharded=True) for name in ("alpha", "beta")}
    world.store.put("op", "config", standin.manifest(1, routes, services))
    alpha = [Instance(world, f"i-alpha{n}", "alpha", keyed=True) for n in range(6)]
    beta = [Instance(world, f"i-beta{n}", "beta", keyed=True) for n in range(6)]
    for instance in alpha + beta:
        await instance.start()
    world.nodes = [Node(world, f"node-{n}") for n in range(3)]
    for node in world.nodes:
        node.start()
    await world.wait_ready()
    world.spawn(watch_holders(world))
    stop = asyncio.Event()
    world.spawn(traffic(world, stop))
    await asyncio.sleep(8)
    if trouble:
        world.store.set_mode("reset")
        await asyncio.sleep(0.2)
        alpha[2].crash()
        await asyncio.sleep(standin.REUSE_AFTER_S + 0.1)
        await Instance(world, "i-beta6", "beta", keyed=True).start(alpha[2].address)
        await asyncio.sleep(OUTAGE_S - standin.REUSE_AFTER_S - 0.3)
        world.store.set_mode("up")
    else:
        await asyncio.sleep(OUTAGE_S)
    await asyncio.sleep(8)
    stop.set()
    await asyncio.sleep(1)


standin.main(HERE, scenario)
