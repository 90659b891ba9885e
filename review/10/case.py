"""Crashes under a task are lost while its owner is cut off from the store and another takes over."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-2"))
import world as stand_ins

JOBS = 36
JOB_GAP_S = 0.6
EXECUTORS = 49
# "The executor is back after some seconds".
BACK_S = 4.0
CRASH_AFTER_S = 0.01
# The site file has `core_cut` for 5.5 s, one machine at a time.
MACHINES = 9
CUT_S = 4.5
CUT_GAP_S = 5.4
CUTS = 16
IN_TOUCH_S = 3.0


def job_id(number):
    return f"5c0e7a21d94b00{number:02x}"


class World(stand_ins.World):
    """The first task of each job crashes each executor that starts it."""

    def __init__(self, *rest, **more):
        super().__init__(*rest, **more)
        self.crashes, self.deadly = {}, {}
        self.owners, self.disturbed = {}, {}

    async def follow_owner(self):
        while True:
            value, term = self.store.value("dotterelshore/owner"), self.store.value("dotterelshore/term")
            for scheduler in self.schedulers:
                if value and term and f'"{scheduler.name}"'.encode() in value:
                    self.owners[int(term)] = scheduler
            await asyncio.sleep(0.01)

    def starter(self, task, number):
        """The run numbers of a term begin at 1,000 times the term, but for the jobs that came in it."""
        term = number // 1000 or self.jobs[task.split(".")[0]]["term"]
        return self.owners.get(term)

    def on_start(self, executor, run):
        super().on_start(executor, run)
        if run.task.endswith(".0.0.0"):
            now, machine = time.monotonic(), self.starter(run.task, run.number)
            calm = machine is not None and not machine.is_cut
            in_touch = calm and now - self.disturbed.get(machine.name, 0) > IN_TOUCH_S
            self.deadly.setdefault(run.task, []).append((now, in_touch))
            name = machine.name if machine else "an unknown machine"
            self.record.line(
                f"executor {executor.name}: started {run.task} run {run.number} for {name}, in touch: {in_touch}"
            )
            asyncio.create_task(self.crash(executor, run.task))

    async def crash(self, executor, task):
        await asyncio.sleep(CRASH_AFTER_S)
        self.crashes.setdefault(task, []).append(time.monotonic())
        await executor.crash(BACK_S)


async def run(world):
    await world.open(schedulers=MACHINES)
    following = asyncio.create_task(world.follow_owner())
    tenant = dict(name="ta", api_keys=["key-a"], weight=62, cap=dict(cpu=3000000, mem_mb=5000000, gpu=0))
    route = dict(name="r-a", prefix="/puxa400/", service="sa", attempts=2)
    world.configure([route], ["sa"], [tenant])
    for number in range(EXECUTORS):
        await world.add_executor(f"i-{number}", "sa", rack=f"r1-{number // 4}")
    if not await world.ready("/puxa400/"):
        return False
    await asyncio.sleep(4)

    async def hand_in():
        for number in range(JOBS):
            name = job_id(number)
            body = dict(task_spec="x", steps=[dict(count=3, cpu=3500, mem_mb=6500, estimate_ms=800)])
            world.jobs[name] = dict(
                plans=[dict(ms=800, cpu=3500)], body=body, accepted=None, path="/puxa400/", key="key-a", term=1
            )
            await world.submit("/puxa400/", name, body, None, tries=9)
            world.jobs[name]["term"] = max(world.owners, default=1)
            await asyncio.sleep(JOB_GAP_S)

    began = time.monotonic()
    handing = asyncio.create_task(hand_in())
    for number in range(CUTS):
        await asyncio.sleep(max(0.0, began + 1.0 + number * CUT_GAP_S - time.monotonic()))
        owner = world.owners.get(max(world.owners, default=0))
        if not world.trouble or owner is None:
            continue
        owner.is_cut = True
        world.record.line(f"platform: {owner.name} is cut off from the store")
        await asyncio.sleep(CUT_S)
        owner.is_cut = False
        world.disturbed[owner.name] = time.monotonic()
        world.record.line(f"platform: {owner.name} reaches the store again")
    await handing
    await asyncio.sleep(12)
    following.cancel()
    for task, crashes in world.crashes.items():
        if len(crashes) < 3:
            continue
        after = [at for at, in_touch in world.deadly[task] if at > crashes[2] and in_touch]
        world.record.line(f"{task}: {len(crashes)} crashes, {len(after)} starts after the third by machines in touch")
        if len(after) >= 3:
            world.break_rule(
                f"BUDGET: {task} was started {len(after)} more times, by machines in touch, after three "
                f"executors had crashed under it"
            )
    if not world.crashes:
        return False


if __name__ == "__main__":
    stand_ins.main(FOLDER, run, limit_s=118, world_class=World)
