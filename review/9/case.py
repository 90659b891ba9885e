"""Two tenants choose the same ID on their own queues: one job is lost, and its cancelling ends the other."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-2"))
import world as stand_ins

FIRST = "0000000000000001"
SECOND = "0000000000000002"
TASK_MS = 20000
IDLE_S = 8


async def run(world):
    await world.open(schedulers=2)
    cap = dict(cpu=3000000, mem_mb=5000000, gpu=0)
    tenants = [dict(name=n, api_keys=["key-" + n], weight=62, cap=cap) for n in ("a", "b")]
    routes = [
        dict(name="r-a", prefix="/puxa400/", service="sa"),
        dict(name="r-b", prefix="/tije37/", service="sb"),
    ]
    world.configure(routes, ["sa", "sb"], tenants)
    for number in range(2):
        await world.add_executor(f"i-a{number}", "sa", rack=f"r1-{number}")
        await world.add_executor(f"i-b{number}", "sb", rack=f"r2-{number}")
    if not await world.ready("/puxa400/"):
        return False
    await asyncio.sleep(3)
    step = dict(count=4, cpu=1000, mem_mb=100, estimate_ms=TASK_MS)
    plans = [dict(ms=TASK_MS, cpu=1000)]
    first, second = FIRST, FIRST if world.trouble else SECOND

    # Tenant a hands in a job on its queue, and tenant b one on its own queue.
    at_a = await world.submit("/puxa400/", first, dict(task_spec="of a", steps=[step]), plans, key="key-a")
    await asyncio.sleep(2)
    at_b = await world.submit("/tije37/", second, dict(task_spec="of b", steps=[step]), plans, key="key-b")
    if at_a != 200:
        return False
    if at_b != 200:
        world.record.line(f"the job of tenant b is not accepted: {at_b}")
        return True
    await asyncio.sleep(IDLE_S)
    starts_b = [s for s in world.starts if s[3].service == "sb"]
    state_b = await world.state("/tije37/", second, key="key-b")
    world.record.line(f"client b: its job is {state_b}; its service has started {len(starts_b)} tasks")
    if state_b in ("running", "completed") and not starts_b:
        world.break_rule(
            f"LOST: the accepted job of tenant b has had nothing running for {IDLE_S} s though its service is idle; it is "
            f"shown as {state_b}, the state of the job of tenant a"
        )
    # Tenant b cancels its job. Tenant a has cancelled nothing.
    status, _ = await world.call(world.schedulers[0], "DELETE", "/tije37/" + second, key="key-b")
    world.record.line(f"client b: DELETE /tije37/{second}: {status}")
    await asyncio.sleep(TASK_MS / 1000 + 3)
    state_a = await world.state("/puxa400/", first, key="key-a")
    done_a = [e for e in world.ends if e[3].service == "sa" and e[4] == "done"]
    world.record.line(f"client a: its job is {state_a}; {len(done_a)} of 4 tasks are done")
    if state_a == "cancelled":
        world.break_rule("LOST: the job of tenant a is shown as cancelled, and nobody has cancelled it")


if __name__ == "__main__":
    stand_ins.main(FOLDER, run)
