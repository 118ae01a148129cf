"""An executor crashes under a lasting task five times; the submission must not be shown as failed."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))
import world as w

CRASHES = 5
DOWN_S = 5.0
RUNS_S = 2.0
WATCH_S = 12.0


async def case(world, trouble):
    job = w.new_id()
    body = {"spec": "{}", "phases": [{"count": 1, "cpu": 1000, "mem_mb": 512, "estimate_ms": 60000,
                                      "long_running": True}]}
    status, _ = await world.call("POST", job, body)
    if status != 200:
        raise w.Unable("the submission was not accepted")
    task = job + ".0.0.0"
    for _ in range(CRASHES):
        executor = await world.wait_running(task, 12)
        if executor is None:
            break
        await asyncio.sleep(RUNS_S)
        if trouble:
            executor.crash()
            await asyncio.sleep(DOWN_S)
            await executor.boot()
    last_run, state = w.now(), None
    end = w.now() + WATCH_S
    while w.now() < end and state not in ("failed", "cancelled"):
        await asyncio.sleep(0.5)
        if world.running(task):
            last_run = w.now()
        _, answer = await world.call("GET", job)
        state = (answer or {}).get("state")
    failed = [row for row in world.history if row[1] == "failed"]
    world.record("shown as", state, "; ends 'failed':", len(failed), "; runs at",
                 [one.id for one in world.running(task)])
    if state in ("failed", "cancelled") and not failed:
        return f"LOST: shown as {state} without cause"
    if w.now() - last_run > 9:
        return "LOST: the task that lasts has not run for 9 s"
    return None


w.main(case, [{"name": f"x-{i}"} for i in range(7)], w.config(), FOLDER)
