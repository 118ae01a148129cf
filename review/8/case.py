"""Two executors crash one after the other under one queue's short tasks. A later submission of
another queue, which the adviser allows on two sound executors, must start."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))
import world as w

OTHER = "/p/"
ADVICE = {"decide_ms": 10.0, "period_ms": 0.1, "valid_ms": 1500}
SHORT_MS = 300
EVERY_S = 0.1
CRASHES_AT_S = (2.0, 3.0)
DOWN_S = 0.8
LASTING_AT_S = 4.0
TRAFFIC_S = 6.0
CALM_S = 5.0
FINISH_S = 14.0
WATCH_S = 10.0
IDLE_S = 3.0


async def submit(world, phase, spec, prefix=w.PREFIX, policy=None):
    job = w.new_id()
    if policy:
        world.policies[job] = policy
    status, _ = await world.call("POST", job, {"spec": spec, "phases": [phase]}, prefix=prefix)
    if status != 200:
        raise w.Unable("a submission was not accepted")
    return job


async def back_later(executor):
    await asyncio.sleep(DOWN_S)
    await executor.boot()


async def case(world, trouble):
    begun, crashes, lasting = w.now(), list(CRASHES_AT_S), None
    while w.now() < begun + TRAFFIC_S:
        phase = {"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": SHORT_MS}
        await submit(world, phase, '{"run_ms": %d}' % SHORT_MS)
        if crashes and w.now() > begun + crashes[0]:
            crashes.pop(0)
            starts = [row for row in world.history if row[1] == "start"]
            executor = next(one for one in world.executors if one.id == starts[-1][2])
            if trouble:
                executor.crash()
                asyncio.create_task(back_later(executor))
        if not lasting and w.now() > begun + LASTING_AT_S:
            # Two small lasting tasks, one on each executor of the rack that holds their data.
            phase = {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 60000,
                     "long_running": True, "anti_affinity": 1, "affinity": "rack-3"}
            lasting = await submit(world, phase, "{}")
        await asyncio.sleep(EVERY_S)
    await asyncio.sleep(CALM_S)
    allowed = {one.id for one in world.executors if one.labels[-1] == "rack-3"}
    phase = {"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": SHORT_MS}
    job = await submit(world, phase, '{"run_ms": %d}' % SHORT_MS, OTHER,
                       {"allowed": allowed, **ADVICE})
    sent = w.now()
    await asyncio.sleep(FINISH_S)
    _, answer = await world.call("GET", job, prefix=OTHER)
    if answer == {"state": "completed"}:
        return None
    end, idle = w.now() + WATCH_S, w.now()
    while w.now() < end:
        await asyncio.sleep(0.05)
        if world.running(job + ".0.0.0"):
            idle = w.now()
    _, answer = await world.call("GET", job, prefix=OTHER)
    for executor in world.executors:
        world.record(executor.id, executor.labels[-1], "allowed" if executor.id in allowed else "",
                     "uses", 500 * len(executor.runs), "of", executor.cpu)
    world.record(job, "is shown as", answer, round(w.now() - sent, 1), "s after it was accepted")
    if w.now() - idle >= IDLE_S:
        return f"LOST: {job} has had nothing running for {w.now() - idle:.1f} s"
    return None


def route(name, prefix, **more):
    return {"name": name, "host": w.HOST, "prefix": prefix, "service": "svc", "priority": 1,
            "max_attempts": 2, "slack_factor": 2.0, "target_latency_ms": 500, **more}


routes = [route("r1", w.PREFIX), route("r2", OTHER, recommendation=ADVICE)]
w.main(case, [{"name": f"x-{i}", "labels": ("a", f"rack-{i // 2}")} for i in range(8)],
       w.config(routes=routes), FOLDER)
