"""TWICE: a VM stands still for half a second. It gives up jobs whose tasks it has just offered to
another VM, which runs them to their end, while their clients send the jobs again."""
import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "tools-2"))
from world import (RESEND_MS, TROUBLE, Connections, HttpError, call, config, job, main,  # noqa: E402
                   new_id)

PER_SECOND = 150
WORK_MS, CPU = 2000, 2000
DEADLINE_MS = 4000
LENGTH_S = 70
GAP_S = 2.0
# The disruption: one VM of three stands still for about half a second, again and again.
FREEZE_S = (0.53, 0.57)


async def case(world):
    record, counts, kept = world.record, {}, Connections()
    await world.add_runners(12)
    world.store.put("op", "config", config(timeout_ms=5000))
    await world.add_vms(3)
    await world.settle()

    def find_double(runner, task, run, others):
        if others:
            record.breach(f"{task} run {run} starts on {runner.id} while it runs on {others}")

    world.runs.on_start.append(find_double)

    async def client():
        job_id, body = new_id(), job(WORK_MS, cpu=CPU)
        for attempt in range(3):
            # The share of connections of each VM is uneven.
            vm = world.vms[0] if random.random() < 0.7 else random.choice(world.vms[1:])
            try:
                answer = await call("POST", vm.front, "/jobs/" + job_id, body,
                                    [("Deadline-Ms", DEADLINE_MS)], timeout=DEADLINE_MS / 1000,
                                    kept=kept)
                status = answer.status
            except (OSError, HttpError, asyncio.TimeoutError) as ex:
                status = type(ex).__name__
            counts[status] = counts.get(status, 0) + 1
            if status != 200:
                record.note(f"job      {job_id} attempt {attempt + 1} at {vm.name}: {status}")
            # Only after no answer, a broken connection, 502 or 504 the job is sent again.
            if status in (200, 429, 503, 400, 404):
                return
            await asyncio.sleep(RESEND_MS / 1000)

    async def clients():
        while True:
            asyncio.create_task(client())
            await asyncio.sleep(random.expovariate(PER_SECOND))

    background = asyncio.create_task(clients())
    await asyncio.sleep(3)
    end = record.now() + LENGTH_S
    while record.now() < end and not record.broken:
        if TROUBLE:
            length = random.uniform(*FREEZE_S)
            record.note(f"trouble  {world.vms[0].name} stands still for {length:.3f} s")
            world.vms[0].signal(signal.SIGSTOP)
            await asyncio.sleep(length)
            world.vms[0].signal(signal.SIGCONT)
        await asyncio.sleep(GAP_S)
    background.cancel()
    await asyncio.sleep(4)
    record.note(f"answers: {counts}")


main(FOLDER, case)
