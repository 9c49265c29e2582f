"""The runners of one zone shrink while the store turns the only VM of that zone away and serves the
others. LIMIT counts the smaller room 4.5 s after it was said (contact_ms and one beat)."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from standins import now_ms, run_case, send_jobs

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TURN_AWAY = TROUBLE and os.environ.get("TURN_AWAY", "1") != "0"
SHRINK = TROUBLE and os.environ.get("SHRINK", "1") != "0"
CPU, SMALL = 27000, 40000
CONTACT_MS, BEAT_MS = 3000, 1500
TURNED_AWAY_S = 9
ZONE = "izola"


def judge(world, episodes):
    broken = 0
    for began, ended in episodes:
        for it in world.watch.runs:
            if world.runner(it["runner"]).zone != ZONE \
                    or not began + CONTACT_MS + BEAT_MS < it["began"] < ended:
                continue
            used = sum(other["cpu"] for other in world.watch.runs
                       if other["runner"] == it["runner"] and other["began"] <= it["began"]
                       and (other["ended"] is None or other["ended"] > it["began"]))
            if used > SMALL:
                broken += 1
                world.record.note("BROKEN-LIMIT", runner=it["runner"], task=it["task"],
                                  used=used, room=SMALL, after_ms=round(it["began"] - began))
    served = sum(1 for it in world.callers.answers.values() if it[-1] == 200)
    print(f"{len(world.callers.answers)} jobs, {served} served, {broken} starts over a room that "
          "had shrunk")
    return 2 if served < 100 else 1 if broken else 0


async def resize(world, cpu):
    """The runners say so at once, and go on saying it with each beat."""
    for it in world.runners:
        if it.zone == ZONE:
            it.cpu = cpu
            it.tasks[0].cancel()
            it.tasks[0] = asyncio.ensure_future(it.beat())
    await asyncio.sleep(0.05)
    world.record.note("room", zone=ZONE, cpu=cpu)


async def case(start):
    world = await start(12, ["koper", "koper", ZONE], guarded=2)
    load = asyncio.ensure_future(send_jobs(world.callers, 29, 30, 2, CPU, 200))
    episodes = []
    for _ in range(2):
        await asyncio.sleep(2)
        world.store.turns_away = TURN_AWAY
        world.record.note("turned-away", vm=world.daemons.vms[2]["node_name"], began=TURN_AWAY)
        turned_away_at = now_ms()
        await asyncio.sleep(0.5)
        if SHRINK:
            await resize(world, SMALL)
            began = now_ms()
        await asyncio.sleep(TURNED_AWAY_S - (now_ms() - turned_away_at) / 1000)
        world.store.turns_away = False
        world.record.note("served-again")
        if SHRINK:
            episodes.append((began, now_ms()))
            await resize(world, 64000)
        await asyncio.sleep(3)
    await load
    return judge(world, episodes)


run_case(case, FOLDER)
