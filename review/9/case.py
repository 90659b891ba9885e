"""A job whose occurrences are all due: each owner in turn needs more memory than it may have."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-2"))
import world as stand_ins

TIMED = "5c0e7a21d94b36f8"
OTHER = "5c0e7a21d94c{:04x}"
MACHINES = 3
# Each minute of a year; a job of the site's usual size, `cut-file`: 2 steps of 8 tasks.
TIMES = 525600
INTERVAL_MS = 60000
RESTART_S = 0.5
TRAFFIC_S = 40
FINISH_S = 14
IDLE_S = 3


class World(stand_ins.World):
    def __init__(self, *rest, **more):
        super().__init__(*rest, **more)
        self.done, self.last_running, self.killed = {}, {}, {}

    def on_end(self, executor, run, how):
        super().on_end(executor, run, how)
        name = run.task.split(".")[0]
        self.last_running[name] = time.monotonic()
        if how == "done":
            self.done.setdefault(name, set()).add(run.task)

    async def keep_memory(self, machine):
        """The platform kills a process that exceeds `memory_mb`, and starts it again."""
        while True:
            await asyncio.sleep(0.02)
            used = machine.memory_mb()
            if used > stand_ins.MEMORY_MB:
                machine.kill()
                await machine.process.wait()
                self.killed[machine.name] = self.killed.get(machine.name, 0) + 1
                self.record.line(
                    f"platform: killed {machine.name}, which had {used:.0f} MB of {stand_ins.MEMORY_MB}"
                )
                await asyncio.sleep(RESTART_S)
                await machine.start()


async def run(world):
    await world.open(schedulers=MACHINES)
    keepers = [asyncio.create_task(world.keep_memory(machine)) for machine in world.schedulers]
    cap = dict(cpu=3000000, mem_mb=5000000, gpu=0)
    tenants = [dict(name=n, api_keys=["key-" + n], weight=62, cap=cap) for n in ("a", "b")]
    routes = [
        dict(name="r-a", prefix="/puxa400/", service="sa"),
        dict(name="r-b", prefix="/tije37/", service="sb"),
    ]
    world.configure(routes, ["sa", "sb"], tenants)
    for number in range(3):
        await world.add_executor(f"i-a{number}", "sa", rack=f"r1-{number}")
        await world.add_executor(f"i-b{number}", "sb", rack=f"r2-{number}")
    if not await world.ready("/puxa400/"):
        return False
    await asyncio.sleep(4)
    now_ms = int(time.time() * 1000)
    step = dict(count=8, cpu=770, mem_mb=100, estimate_ms=400)
    body = dict(
        task_spec="x",
        steps=[step, dict(step, after=[0])],
        times=TIMES,
        # Seconds instead of milliseconds, so that all occurrences are due.
        start_at_ms=now_ms // 1000 if world.trouble else now_ms,
        interval_ms=INTERVAL_MS,
    )
    await world.submit("/puxa400/", TIMED, body, [dict(ms=400, cpu=770)] * 2, key="key-a")

    # The other tenant's jobs, on another queue and other executors.
    began, handing = time.monotonic(), []
    while time.monotonic() - began < TRAFFIC_S:
        name = OTHER.format(len(handing))
        body = dict(task_spec="y", steps=[dict(count=4, cpu=500, mem_mb=10, estimate_ms=300)])
        plans = [dict(ms=300, cpu=500)]
        submitting = world.submit("/tije37/", name, body, plans, key="key-b", quiet=True)
        handing.append(asyncio.create_task(submitting))
        await asyncio.sleep(0.5)
    await asyncio.gather(*handing)
    world.record.line("the traffic ends")
    await asyncio.sleep(FINISH_S)

    now = time.monotonic()
    names = [n for n, job in world.jobs.items() if job["accepted"] and n != TIMED]
    running = {run.task.split(".")[0] for e in world.executors for run in e.runs.values()}
    idle = [
        name
        for name in names
        if len(world.done.get(name, ())) < 4
        and name not in running
        and now - world.last_running.get(name, world.jobs[name]["accepted"]) > IDLE_S
    ]
    world.record.line(f"platform: killed for memory {world.killed}")
    world.record.line(f"clients: {len(names)} other jobs accepted, {len(idle)} of them idle and not done")
    often = [name for name, count in world.killed.items() if count >= 3]
    if len(often) >= 2:
        world.break_rule(
            f"Fault: the processes of {len(often)} of {MACHINES} machines ended three times and more for "
            f"want of memory, with no disruption there: {world.killed}"
        )
    if idle:
        world.break_rule(
            f"LOST: {len(idle)} accepted jobs of the other tenant have had nothing running for {IDLE_S} s, "
            f"{FINISH_S} s after the end of the traffic, while their service is idle"
        )
    for keeper in keepers:
        keeper.cancel()


if __name__ == "__main__":
    stand_ins.main(FOLDER, run, limit_s=118, world_class=World)
