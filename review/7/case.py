"""An executor is lost for good. A submission that had just started there must start elsewhere."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))
import world as w

SHORT_MS = 300
EVERY_S = 0.1
CRASH_AT_S = 4.0
TRAFFIC_S = 5.0
FINISH_S = 14.0
WATCH_S = 20.0
IDLE_S = 3.0
LABEL = "gpu-driver-2"


async def submit(world, phase, spec):
    job = w.new_id()
    status, _ = await world.call("POST", job, {"spec": spec, "phases": [phase]})
    return job if status == 200 else None


async def case(world, trouble):
    labelled = [one for one in world.executors if LABEL in one.labels]
    for executor in labelled:
        # Four small lasting tasks beside the data of each labelled executor.
        phase = {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 60000, "long_running": True,
                 "requirements": LABEL, "affinity": executor.labels[-1]}
        if await submit(world, phase, "{}") is None:
            raise w.Unable("a lasting submission was not accepted")
    await asyncio.sleep(2)
    jobs, begun, crashed = [], w.now(), False
    while w.now() < begun + TRAFFIC_S:
        phase = {"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": SHORT_MS,
                 "requirements": LABEL}
        jobs.append(await submit(world, phase, '{"run_ms": %d}' % SHORT_MS))
        if not crashed and w.now() > begun + CRASH_AT_S:
            crashed = True
            starts = [row for row in world.history if row[1] == "start"]
            busiest = next(one for one in world.executors if one.id == starts[-1][2])
            if trouble:
                busiest.crash()
        await asyncio.sleep(EVERY_S)
    jobs = [job for job in jobs if job]
    world.record("the traffic ends;", len(jobs), "short submissions accepted")
    await asyncio.sleep(FINISH_S)
    open_jobs = []
    for job in jobs:
        status, answer = await world.call("GET", job, quiet=True)
        if status != 200 or answer["state"] != "completed":
            world.record("not completed", FINISH_S, "s after the traffic:", job, status, answer)
            open_jobs.append(job)
    idle_since = dict.fromkeys(open_jobs, w.now())
    worst = 0
    end = w.now() + WATCH_S
    while open_jobs and w.now() < end:
        await asyncio.sleep(0.05)
        for job in open_jobs:
            if world.running(job + ".0.0.0"):
                idle_since[job] = w.now()
            worst = max(worst, w.now() - idle_since[job])
    still = [job for job in open_jobs
             if (await world.call("GET", job))[1]["state"] not in ("completed",)]
    for executor in world.executors:
        used = sum(500 for _ in executor.runs)
        world.record(executor.id, executor.labels, "up" if executor.is_up else "gone",
                     "uses", used, "of", executor.cpu, "with", len(executor.runs), "runs")
    world.record("longest time without a run:", round(worst, 1), "s; never run by the end:", still)
    if worst >= IDLE_S:
        return f"LOST: {len(still)} accepted submission(s) with nothing running for {worst:.1f} s"
    return None


plain = [{"name": f"x-{i}", "labels": ("general", f"rack-{i}")} for i in range(4)]
special = [{"name": f"x-{4 + i}", "labels": (LABEL, f"rack-{4 + i}")} for i in range(4)]
w.main(case, plain + special, w.config(), FOLDER)
