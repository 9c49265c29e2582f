"""Two of twelve runners are cut off for 2 s, four times: their connections are reset and new ones
are refused, and what runs there runs on under its lease."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from standins import run_case, send_jobs

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def case(start):
    world = await start(12, ["koper"] * 3)
    jobs = [asyncio.ensure_future(send_jobs(world.callers, 22, 25, 2, 27000, 200)),
            asyncio.ensure_future(send_jobs(world.callers, 22, 2, 2, 27000, 900))]
    await asyncio.sleep(3)
    for n in range(4):
        cut = world.runners[2 * n:2 * n + 2] if TROUBLE else []
        for it in cut:
            it.cut()
        await asyncio.sleep(2)
        for it in cut:
            await it.rejoin()
        await asyncio.sleep(2.5)
    await asyncio.gather(*jobs)
    return world.judge_twice(least_served=300)


run_case(case, FOLDER)
