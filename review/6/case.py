"""Ended jobs whose removal from the store failed are run again after the store drops its history."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-2"))
import world as stand_ins

# Only this bound is shorter than on the sites (120), so that the case fits into its time.
STATUS_S = 15
# The site file has `platform_down` for 4.5 s; `platform_compact` keeps watches from hearing for 1 s.
DOWN_S = 4.5
QUIET_S = 1.0
# Ended jobs are removed about every 20 s, at most 10 % earlier or later. The outage begins this
# long after a removal that the store has seen, so that it covers the next one.
NEXT_REMOVAL_S = 17.8
TASKS = 2


def job_id(number):
    return f"5c0e7a21d94b00{number:02x}"


async def run(world):
    store = world.store
    await world.open(schedulers=2)
    tenant = dict(name="ta", api_keys=["key-a"], weight=62, cap=dict(cpu=3000000, mem_mb=5000000, gpu=0))
    route = dict(name="r-a", prefix="/puxa400/", service="sa")
    world.configure([route], ["sa"], [tenant])
    for number in range(3):
        await world.add_executor(f"i-{number}", "sa", rack=f"r1-{number}")
    if not await world.ready("/puxa400/"):
        return False
    await asyncio.sleep(3)

    count = 0

    async def hand_in():
        nonlocal count
        name = job_id(count)
        count += 1
        body = dict(task_spec="x", steps=[dict(count=TASKS, cpu=1000, mem_mb=64, estimate_ms=300)])
        status = await world.submit("/puxa400/", name, body, [dict(ms=300, cpu=1000)])
        return status

    # A job each second until the first removal of ended jobs.
    until = time.monotonic() + 60
    while store.deletes == 0 and time.monotonic() < until:
        await hand_in()
        await asyncio.sleep(1)
    removed = time.monotonic()
    world.record.line(f"store: {store.deletes} keys of ended jobs are removed")
    if store.deletes == 0:
        return False
    await asyncio.sleep(2)
    states = [await world.state("/puxa400/", job_id(n)) for n in range(count)]
    world.record.line(f"client: states {states}")
    if set(states) - {"completed", "410"}:
        world.record.line("the jobs did not complete as they should: the case could not run")
        return False

    await asyncio.sleep(max(0.0, removed + NEXT_REMOVAL_S - time.monotonic()))
    if world.trouble:
        store.set_down(True)
    await asyncio.sleep(DOWN_S)
    if world.trouble:
        store.set_down(False)
    await asyncio.sleep(6)
    done = {task: at for at, task, _, _, how in world.acks if how == "done"}
    starts_before = len(world.starts)
    if world.trouble:
        store.watches_hear = False
        world.record.line("store: watches hear nothing for a second")
    at = time.monotonic()
    await hand_in()
    await asyncio.sleep(max(0.0, at + QUIET_S - time.monotonic()))
    if world.trouble:
        store.compact()
    await asyncio.sleep(6)

    states = [await world.state("/puxa400/", job_id(n)) for n in range(count)]
    world.record.line(f"client: states at the end {states}")
    for at, task, number, executor in world.starts[starts_before:]:
        world.record.line(f"executor {executor.name}: started {task} run {number}")
        if task in done and at > done[task] + 1.0:
            world.break_rule(
                f"TWICE: {task} run {number} started {at - done[task]:.1f} s after the end of a run "
                f"that was done had been taken note of"
            )


if __name__ == "__main__":
    stand_ins.main(FOLDER, run, limit_s=118, status_s=STATUS_S)
