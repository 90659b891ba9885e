"""A wave of upkeep for machines that may not be taken down, in a pool that has lost an executor."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "harness-3"))

import world as w

ZONES = ["north", "south", "west"]
EXECUTORS = {"alpha": 3, "beta": 4}
WAVE_S = 24
FINISH_S = 14
SHORT = [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500}]
LASTING = [{"count": 3, "cpu": 1000, "mem_mb": 256, "estimate_ms": 900, "long_running": True,
            "may_miss": 1, "anti_affinity": 1}]


async def case(world, trouble):
    pools = list(EXECUTORS)
    world.configure(pools, [(f"/{pool}/", pool) for pool in pools])
    services = [pool for pool, count in EXECUTORS.items() for _ in range(count)]
    for i, service in enumerate(services):
        await world.start_executor(f"i-{i:x}7f3a91c", service=service, zone=ZONES[i % 3],
                                   cpu=64000, rack=f"r1-{i // 4}", machine=f"m-{i}")
    for i, zone in enumerate(ZONES):
        await world.start_entry(f"edge-{zone}-1", zone, ZONES)
    await world.wait_ready()
    if not await world.submit("/alpha/", LASTING):
        raise w.CannotRun("the lasting job is not accepted")
    await asyncio.sleep(5)
    alpha = [e for e in world.executors.values() if e.facts["service"] == "alpha"]
    if trouble:
        await alpha[0].leave()
    await asyncio.sleep(3)
    world.order_wave(1, [e.facts["machine"] for e in alpha[1:]], WAVE_S, 2)
    jobs = []
    for _ in range(WAVE_S + 6):
        jobs += [await world.submit(f"/{pool}/", SHORT) for pool in pools]
        await asyncio.sleep(1)
    await asyncio.sleep(FINISH_S)
    stuck = []
    for job in filter(None, jobs):
        status, state = await world.state(job)
        world.record.write(f"client GET {world.accepted[job]}{job}: {status} {state}")
        if status != 200 or "completed" not in state:
            stuck.append(f"{world.accepted[job]}{job} {status} {state}")
    room = sum(e.facts["cpu"] for e in world.executors.values()
               if e.alive and e.facts["service"] == "alpha")
    used = sum(r["cpu"] for e in world.executors.values() for r in e.runs.values()
               if e.facts["service"] == "alpha")
    world.record.write(f"alpha uses {used} of {room} thousandths of a core")
    if stuck and 2 * used < room:
        world.judge.breach(f"LOST: {len(stuck)} accepted jobs of one task have nothing running "
                           f"{FINISH_S} s after the end of the traffic, with {used} of {room} "
                           f"in use; the first is {stuck[0]}")


if __name__ == "__main__":
    w.play(case, HERE)
