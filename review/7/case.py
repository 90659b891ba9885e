"""A job that runs many times: its progress outgrows a value of the store, and nothing is taken note of any more."""

import asyncio
import collections
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-2"))
import world as stand_ins

TIMED = "5c0e7a21d94b36f8"
STEPS = 64
INTERVAL_MS = 100
# Without the trouble the job runs 40 times, with it 230 times.
TIMES = 230
TIMES_CALM = 40
TRAFFIC_S = 70
FINISH_S = 14
IDLE_S = 3


def other_id(number):
    return f"5c0e7a21d94c{number:04x}"


class World(stand_ins.World):
    def __init__(self, *rest, **more):
        super().__init__(*rest, **more)
        self.done = collections.Counter()
        self.running = collections.Counter()
        self.last_running = {}

    def on_start(self, executor, run):
        super().on_start(executor, run)
        self.running[run.task.split(".")[0]] += 1

    def on_end(self, executor, run, how):
        super().on_end(executor, run, how)
        name = run.task.split(".")[0]
        self.running[name] -= 1
        self.last_running[name] = time.monotonic()
        self.done[name] += how == "done"


async def run(world):
    await world.open(schedulers=2)
    cap = dict(cpu=3000000, mem_mb=5000000, gpu=0)
    tenants = [dict(name=n, api_keys=["key-" + n], weight=62, cap=cap) for n in ("a", "b")]
    routes = [
        dict(name="r-a", prefix="/puxa400/", service="sa"),
        dict(name="r-b", prefix="/tije37/", service="sb"),
    ]
    world.configure(routes, ["sa", "sb"], tenants)
    for number in range(4):
        await world.add_executor(f"i-a{number}", "sa", rack=f"r1-{number}")
    for number in range(2):
        await world.add_executor(f"i-b{number}", "sb", rack=f"r2-{number}")
    if not await world.ready("/puxa400/"):
        return False
    await asyncio.sleep(3)
    step = dict(count=1, cpu=100, mem_mb=10, estimate_ms=100)
    body = dict(
        task_spec="x",
        steps=[step] * STEPS,
        times=TIMES if world.trouble else TIMES_CALM,
        start_at_ms=int(time.time() * 1000),
        interval_ms=INTERVAL_MS,
    )
    await world.submit("/puxa400/", TIMED, body, [dict(ms=100, cpu=100)] * STEPS, key="key-a")

    # The other tenant's jobs, on another queue and other executors: two steps of 16 tasks.
    began, count = time.monotonic(), 0
    steps = [dict(count=16, cpu=500, mem_mb=10, estimate_ms=100)]
    steps.append(dict(steps[0], after=[0]))
    while time.monotonic() - began < TRAFFIC_S:
        name = other_id(count)
        count += 1
        body = dict(task_spec="y", steps=steps)
        await world.submit("/tije37/", name, body, [dict(ms=100, cpu=500)] * 2, key="key-b", quiet=True)
        if count % 20 == 0:
            world.record.line(
                f"{count} other jobs handed in, {len(world.ends)} ends of tasks, {len(world.acks)} "
                f"taken note of; the store refused {world.store.refused} transactions"
            )
        await asyncio.sleep(0.25)
    world.record.line("the traffic ends")
    await asyncio.sleep(FINISH_S + IDLE_S)

    now = time.monotonic()
    names = [name for name, job in world.jobs.items() if job["accepted"] and name != TIMED]
    states = {name: await world.state("/tije37/", name, key="key-b") for name in names}
    world.record.line(f"client: states of the other jobs {dict(collections.Counter(states.values()))}")
    world.record.line(f"client: state of the job that runs many times: {await world.state('/puxa400/', TIMED, key='key-a')}")
    for executor in world.executors:
        world.record.line(
            f"executor {executor.name}: {len(executor.runs)} runs, {len(executor.ends)} ends that "
            f"were not taken note of"
        )
    used = sum(e.used() for e in world.executors if e.service == "sb")
    idle = [
        name
        for name in names
        if world.done[name] < 32
        and world.running[name] == 0
        and now - world.last_running.get(name, world.jobs[name]["accepted"]) > IDLE_S
    ]
    world.record.line(f"service sb: {used} of 128000 thousandths of a core in use")
    if idle and used < 32000:
        world.break_rule(
            f"LOST: {len(idle)} accepted jobs of the other tenant have had nothing running for "
            f"{IDLE_S} s, {FINISH_S} s after the end of the traffic, while their tasks' turn has come and "
            f"there is room; the first is {idle[0]}, {world.done[idle[0]]} of 32 tasks done, shown as "
            f"{states[idle[0]]}"
        )
    ended = [name for name in names if world.done[name] == 32 and states[name] != "completed"]
    world.record.line(f"{len(ended)} more jobs whose tasks are all done are not shown as completed")


if __name__ == "__main__":
    stand_ins.main(FOLDER, run, limit_s=118, world_class=World)
