"""An advice call is answered while its route is away from the configuration; the route comes back, and
the submission that waits for the answer is never started."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
from installation import Adviser, CannotRun, config, main  # noqa: E402

PATH = "/q/00000000000000b1"
# The figures of the site's `reconcile`.
ADVICE = {"decide_ms": 450.0, "period_ms": 6.4, "valid_ms": 1500}
# Time between two configurations, in seconds: the site's `config_storm` has 0.33.
GAP_S = 1.0


async def case(cell, is_troubled):
    adviser = Adviser(cell.record, lambda phase, id: True, **ADVICE)
    first = config(1, recommendation=ADVICE)
    await cell.start(executors=8, daemons=3, config=first, adviser=adviser)
    await asyncio.sleep(2)
    step = {"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 800}
    body = {"spec": '{"ms": 800}', "phases": [step]}
    accepted = []

    async def submit_all():
        """Five submissions a second, for four seconds."""
        for number in range(20):
            path = f"/q/00000000000b{number:04d}"
            daemon = cell.daemons[number % len(cell.daemons)]
            answer = await cell.request(daemon, "POST", path, body)
            if answer is not None and answer[0] == 200:
                accepted.append(path)
            await asyncio.sleep(0.2)

    clients = asyncio.create_task(submit_all())
    if is_troubled:
        # The route is removed, and added again by the next version.
        await asyncio.sleep(1.1)
        await cell.store.put("op/config", {**first, "version": 2, "routes": []})
        cell.record.write("operator: version 2, without the route")
        await asyncio.sleep(GAP_S)
        await cell.store.put("op/config", {**first, "version": 3})
        cell.record.write("operator: version 3, with the route again")
    await clients
    # Long after `finish_s` and the 3 s. A submission that comes now shows that there is room, and that
    # the adviser answers.
    await asyncio.sleep(25)
    other = "/q/00000000000000c1"
    await cell.submit(other, body)
    await asyncio.sleep(5)
    if await cell.state(other) != "completed":
        raise CannotRun("a later submission does not complete either")
    states = {path: await cell.state(path) for path in accepted}
    lost = {path: state for path, state in states.items() if state != "completed"}
    runs = {path: sum(task.startswith(path[3:]) for executor in cell.executors
                      for _, task, *_ in executor.starts) for path in lost}
    cell.record.write(f"of {len(accepted)} accepted, not completed 30 s later: {lost}, starts: {runs}")
    if lost:
        return f"LOST: {len(lost)} of {len(accepted)} accepted are not completed, starts: {runs}"
    return None


main(case, HERE)
