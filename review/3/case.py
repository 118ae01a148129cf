"""The leader is stopped as in a rolling restart while the adviser works. Its successor takes the
answers to the former leader's calls for answers to its own, of other steps."""

import asyncio
import os
import signal
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
from installation import Adviser, CannotRun, config, main  # noqa: E402

# The figures of the site's `reconcile`; `good = 0.25` there, a third of six executors here.
ADVICE = {"decide_ms": 450.0, "period_ms": 6.4, "valid_ms": 1500}
LESS_URGENT, URGENT = "/q/00000000000000b1", "/h/00000000000000a1"
MAY_RUN = {LESS_URGENT[3:]: ("i-0000", "i-0001"), URGENT[3:]: ("i-0004", "i-0005")}


def allows(phase, id):
    return id in MAY_RUN.get(phase.split(".")[0], ("i-0002", "i-0003"))


async def in_contact(cell):
    """Waits until all daemons have begun a watch of the configuration a moment ago. A new leader whose
    last answer from the store is older than 2 s starts nothing for another 2 s, by which time the
    answers to the former leader's calls have come; that concerns a third of all hand-overs."""
    for _ in range(500):
        ages = [time.monotonic() - door["config_watch_s"] for door in cell.store.doors]
        if max(ages) < 0.3:
            return
        await asyncio.sleep(0.01)
    raise CannotRun("the daemons' watches do not begin together")


async def case(cell, is_troubled):
    adviser = Adviser(cell.record, allows, **ADVICE)
    first = config(1, priority=1, recommendation=ADVICE)
    first["routes"].append({**first["routes"][0], "name": "h", "prefix": "/h/", "priority": 0})
    await cell.start(executors=6, daemons=3, config=first, adviser=adviser)
    step = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 800}
    body = {"spec": '{"ms": 800}', "phases": [step]}
    # The leader is at work for some time, one submission after the other.
    for number in range(5):
        path = f"/q/00000000000000c{number}"
        await cell.submit(path, body)
        for _ in range(50):
            await asyncio.sleep(0.2)
            if await cell.state(path) == "completed":
                break
    leader = cell.leader()
    if leader is None:
        raise CannotRun("nobody leads")
    await in_contact(cell)
    # Two at once.
    for path in (LESS_URGENT, URGENT):
        await cell.submit(path, body)
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.1)
    if is_troubled:
        leader.signal(signal.SIGTERM)
        await leader.process.wait()
        cell.record.write(f"daemon {leader.name} has stopped")
        await leader.start()
    await asyncio.sleep(30)
    other = "/q/00000000000000d1"
    await cell.submit(other, body)
    await asyncio.sleep(5)
    if await cell.state(other) != "completed":
        raise CannotRun("another submission does not complete either")
    states = {path: await cell.state(path) for path in (LESS_URGENT, URGENT)}
    cell.record.write(f"35 s after their acceptance: {states}")
    lost = [path for path, state in states.items() if state != "completed"]
    if lost:
        return f"LOST: accepted and never started: {lost}, though a later one was completed"
    return None


main(case, HERE)
