"""A restart of an executor under its id, while the owner's watch of the executors is silent."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "harness-3"))

import world as w

ZONES = ["north", "south", "west"]
EXECUTORS = 7
# An executor reports about every 1.5 s, so that it has done so once in this time.
CRASH_AFTER_S = 1.6
RESTART_S = 0.5
ROUNDS = 4
ROUND_S = 11.0


async def background(world):
    """Short jobs, as they come all day."""
    while True:
        await world.submit("/jobs/", [{"count": 4, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1500}])
        await asyncio.sleep(0.9)


def silence_watch(world):
    """From now on the one connection to the store on which an entry waits for changes of the
    executors is silent for good."""
    for server in world.store.servers.values():
        for connection in server.open:
            if connection.request.startswith("GET /kv-watch?prefix=servers") and not connection.silent:
                connection.silent = True
                world.record.write(f"the connection of {connection.peer} to the store with "
                                   f"{connection.request} goes silent")
                return
    raise w.CannotRun("nobody watches the executors")


async def restart(world, name):
    executor = world.executors[name]
    executor.crash()
    await asyncio.sleep(RESTART_S)
    return await world.start_executor(name, executor.server.port, **executor.facts)


async def case(world, trouble):
    world.configure(["alpha"], [("/jobs/", "alpha")])
    for i in range(EXECUTORS):
        await world.start_executor(f"i-{i:x}7f3a91c", service="alpha", zone=ZONES[i % 3],
                                   cpu=4000, rack=f"r1-{i // 4}", machine=f"m-{i}")
    for i, zone in enumerate(ZONES):
        await world.start_entry(f"edge-{zone}-1", zone, ZONES)
    await world.wait_ready()
    jobs = asyncio.create_task(background(world))
    try:
        await asyncio.sleep(6)
        for round in range(ROUNDS):
            began = time.monotonic()
            name = list(world.executors)[round]
            if trouble:
                silence_watch(world)
                await asyncio.sleep(CRASH_AFTER_S)
                await restart(world, name)
                await asyncio.sleep(0.2)
            await world.submit("/jobs/", [{
                "count": 7, "cpu": 200, "mem_mb": 256, "estimate_ms": 1500, "long_running": True,
                "may_miss": 1}])
            await asyncio.sleep(max(0.0, ROUND_S - (time.monotonic() - began)))
    finally:
        jobs.cancel()


if __name__ == "__main__":
    w.play(case, HERE)
