"""ROUTE: two tasks of a step with anti_affinity 1 run on one runner, as another VM's keeper counts
each offer of the job by itself."""
import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "tools-2"))
from world import (BOUNDS, TROUBLE, HttpError, call, config, job, main, new_id)  # noqa: E402

RUNNERS = 16
DEADLINE_MS = 5000


async def leave(world, runner):
    """Planned: the runner says that it drains, serves on for drain_ms and a little longer, exits."""
    world.record.note(f"runner   {runner.id} drains")
    runner.state = "draining"
    runner.write_row()
    await asyncio.sleep(BOUNDS["drain_ms"] / 1000 + 0.5)
    for it in runner.tasks:
        it.cancel()
    await runner.http.stop()
    world.store.remove("servers", runner.id)
    world.record.note(f"runner   {runner.id} has left")


async def case(world):
    record = world.record
    await world.add_runners(RUNNERS)
    world.store.put("op", "config", config(timeout_ms=DEADLINE_MS))
    await world.add_vms(2)
    await world.settle()

    def find_pair(runner, task, run, _):
        job_id = task.split(".")[0]
        beside = [key[0] for key in runner.running if key[0].startswith(job_id) and key[0] != task]
        if beside:
            record.breach(f"{task} run {run} starts on {runner.id} beside {beside}, anti_affinity 1")

    world.runs.on_start.append(find_pair)
    if TROUBLE:
        await leave(world, world.runners[-1])
        await asyncio.sleep(3)
    for n in range(8):
        job_id, vm = new_id(), world.vms[n % 2]
        record.note(f"job      {job_id} of {RUNNERS} tasks is sent to {vm.name}")
        try:
            answer = await call("POST", vm.front, "/jobs/" + job_id,
                                job(600, RUNNERS, 4000, anti_affinity=1),
                                [("Deadline-Ms", DEADLINE_MS)], timeout=DEADLINE_MS / 1000)
            record.note(f"job      {job_id} is answered {answer.status} {answer.body.decode()}")
        except (OSError, HttpError, asyncio.TimeoutError) as ex:
            record.note(f"job      {job_id} gets no answer: {type(ex).__name__}")
        await asyncio.sleep(0.5)


main(FOLDER, case)
