"""A runner without work crashes and starts again under its id at once. The next start that it gets
is carried out, but the answers to it and to the following two polls are lost."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from standins import now_ms, run_case, send_jobs

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CRASH = TROUBLE and os.environ.get("CRASH", "1") != "0"
LOSE = TROUBLE and os.environ.get("LOSE", "1") != "0"
# A runner has room for one such task.
CPU = 34000
LOST_ANSWERS = 3
# The estimate is off by as much as the kinds of request allow.
TASK_MS, ESTIMATE_MS = 1300, 600


async def episode(world, runner):
    state = {"lost": 0}

    async def lose(it, path, order, answer):
        if it.runs or path == "/api/run-start":
            state["began"] = True
        if state.get("began") and state["lost"] < LOST_ANSWERS:
            state["lost"] += 1
            world.record.note("answer-lost", runner=it.id, path=path)
            # Longer than the caller of the runner waits.
            await asyncio.sleep(3)
            return None
        return answer
    while runner.runs:
        await asyncio.sleep(0.005)
    if CRASH:
        runner.kill()
        await asyncio.sleep(0.03)
        await runner.start()
    if LOSE:
        runner.after = lose
    # Three quarters of the room.
    jobs = [asyncio.ensure_future(world.callers.job(3, CPU, TASK_MS, ESTIMATE_MS, first=n, tries=1))
            for n in range(3)]
    await asyncio.gather(*jobs)
    runner.after = None


async def case(start):
    world = await start(12, ["koper"] * 3)
    for n in range(12):
        await episode(world, world.runners[n])
        await asyncio.sleep(1.5)
    for it in world.runners:
        world.record.note("calls", runner=it.id, count=it.calls)
    return world.judge_twice(least_served=10)


run_case(case, FOLDER)
