"""Case 11: tasks run twice at the same time after connections of clients were reset. See claim.txt."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "tools-3"))
from world import HOST, Daemon, Runner, call, job, new_id, now, read_message, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS, TASKS, CPU, WORK_MS = 14, 100, 100, 8000
DEADLINE_MS = 14000
RESET_SHARE = 0.5
RESEND_S = 1.3


async def main(world):
    record = world.record
    await world.config(1, ["jobs"])
    zones = ["a", "b", "c"]
    for n in range(6):
        runner = Runner(world.store, record, f"{n:016x}", zones[n % 3], "s", ["a", f"rack-{n}"])
        await runner.start()
        world.runners.append(runner)
    for n in range(3):
        daemon = Daemon(world, f"vm-{n}", zones[n], world.store.port)
        await daemon.start()
        world.daemons.append(daemon)
    await world.ready()
    await asyncio.sleep(3)
    first, others = world.daemons[0], world.daemons[1:]
    start, answers = now(), []

    async def client(n):
        name = new_id()
        body = job(WORK_MS, TASKS, cpu=CPU)
        reader, writer = await asyncio.open_connection(HOST, first.caller)
        data = json.dumps(body).encode()
        writer.write((f"POST /jobs/{name} HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n"
                      f"Content-Length: {len(data)}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n").encode() + data)
        record.add("client: POST of", name, "to", first.name)
        if TROUBLE and n < JOBS * RESET_SHARE:
            await asyncio.sleep(max(start + 3 - now(), 0))
            writer.transport.abort()
            record.add("network: the connection of", name, "is reset")
            await asyncio.sleep(RESEND_S)
            daemon = others[n % len(others)]
            record.add("client: POST of", name, "again, to", daemon.name)
            status, _ = await call(daemon.caller, "POST", "/jobs/" + name, body, timeout=16, deadline_ms=DEADLINE_MS)
        else:
            line, _, _ = await read_message(reader)
            status = int(line.split(" ")[1])
            writer.close()
        record.add("client: POST of", name, "answered", status)
        answers.append(status)

    await asyncio.gather(*[client(n) for n in range(JOBS)])
    runs = {}
    for runner in world.runners:
        for it in runner.starts:
            runs.setdefault(it["task"], []).append(it)
    twice, longest = 0, 0.0
    for task, its in runs.items():
        its.sort(key=lambda it: it["begin"])
        for one, other in zip(its, its[1:]):
            if other["begin"] < one["end"]:
                twice += 1
                overlap = min(one["end"], other["end"]) - other["begin"]
                longest = max(longest, overlap)
                record.add("WRONG: task", task, "ran on", one["runner"], "and on", other["runner"],
                           f"at the same time for {overlap:.3f} s")
    print(f"tasks {len(runs)}, twice at the same time {twice}, longest overlap {longest:.3f} s, "
          f"answers {sorted(set(answers))}")
    return 1 if twice else 0


run(main, FOLDER)
