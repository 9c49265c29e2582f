#!/usr/bin/env python3
"""Randomized soak of a fleet of real processes: scripts/fault-soak.py [SEED...] [--seconds N]

Three daemons run around the platform's stand-in; all their calls to the store and the runners, and
all callers' connections, go through proxies on the loopback. From the seed are drawn: proxies that
delay, reset, silence or cut one way, and daemons that are killed, paused, stopped and restarted, in
series that overlap. A seed fails if a task runs twice at once, a start exceeds a runner's room or
follows a refusal, a call has no answer, a daemon ends by itself, or is not ready 12 s after
the last fault. Needs a release build. Uses 160 loopback ports, from $FIRST_PORT or 7800 on if not told otherwise.
"""
import argparse
import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import urllib.request

# Ports, from the first one: the store and its runners, the runners' proxies, the VMs' listeners for
# callers, operators and peers, and the proxies of callers and of the store.
RUNNERS = 12
RUNNER_OFFSET = 50
VM_OFFSET = 80
CALLER_PROXY_OFFSET = 130
STORE_PROXY_OFFSET = 140
VMS = 3
RECOVER_SECONDS = 12  # The platform's `recover_s`.
LONGEST_FAULT_SECONDS = 3
WARM_UP_SECONDS = 3
LEAST_COMPLETED_SHARE = 0.25  # Below it the run says nothing about the promises.
BUILD = os.environ.get("BUILD_DIR", "build/release")


class Proxy:
    """One listening port whose connections are passed on, disturbed by `mode`."""

    def __init__(self, name, port, target):
        self.name, self.port, self.target = name, port, target
        self.mode = "pass"
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.port)

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            if self.mode == "reset":
                return
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
            self.writers.add(far_writer)
            try:
                await asyncio.gather(self.copy(reader, far_writer, "one-way-out"),
                                     self.copy(far_reader, writer, "one-way-back"))
            finally:
                self.writers.discard(far_writer)
                far_writer.transport.abort()
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def copy(self, reader, writer, cut):
        while data := await reader.read(65536):
            if self.mode == "delay":
                await asyncio.sleep(0.15)
            while self.mode in ("silence", cut):
                await asyncio.sleep(0.02)
            writer.write(data)
            await writer.drain()
        writer.transport.abort()

    async def disturb(self, mode, seconds):
        self.mode = mode
        if mode == "reset":
            for it in list(self.writers):
                it.transport.abort()
        await asyncio.sleep(seconds)
        self.mode = "pass"


class Soak:
    def __init__(self, seed, seconds, first_port, work):
        self.random = random.Random(seed)
        self.seed, self.seconds, self.work = seed, seconds, work
        self.store_port = first_port
        self.vm_port = first_port + VM_OFFSET
        self.caller_proxy_port = first_port + CALLER_PROXY_OFFSET
        self.store_proxy_port = first_port + STORE_PROXY_OFFSET
        self.processes, self.busy, self.problems, self.events = {}, set(), [], []

    async def start_vm(self, n):
        port = self.vm_port + 3 * n
        settings = {
            "vm": f"vm-{n}", "zone": "b" if n == 2 else "a",
            "callerAddress": f"127.0.0.1:{port}", "operatorAddress": f"127.0.0.1:{port + 1}",
            "peerAddress": f"127.0.0.1:{port + 2}",
            "fleet": {"storeAddress": f"127.0.0.1:{self.store_proxy_port + n}", "weight": 0.25,
                      "stopLimitMs": 2500}}
        path = os.path.join(self.work, f"vm{n}.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        with open(os.path.join(self.work, f"vm{n}.log"), "ab") as log:
            self.processes[n] = await asyncio.create_subprocess_exec(
                f"{BUILD}/src/rattandockd/rattandockd", "--settings", path, stdout=log, stderr=log)

    async def disturb_vm(self, n, kind, seconds):
        if n in self.busy:
            return
        self.busy.add(n)
        process = self.processes[n]
        if process.returncode is not None:
            self.problems.append(f"vm-{n} ended by itself with status {process.returncode}")
        elif kind == "pause":
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            process.send_signal(signal.SIGCONT)
        else:
            process.send_signal(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait(), 10)
            except asyncio.TimeoutError:
                self.problems.append(f"vm-{n} did not end within 10 s of SIGTERM")
                process.kill()
                await process.wait()
            await asyncio.sleep(seconds / 3)
            await self.start_vm(n)
        self.busy.discard(n)

    async def draw_faults(self, proxies, loop):
        running = []
        end = loop.time() + self.seconds
        while loop.time() < end:
            await asyncio.sleep(self.random.uniform(0.2, 1.2))
            seconds = self.random.uniform(0.1, LONGEST_FAULT_SECONDS)
            if self.random.random() < 0.4:
                n, kind = self.random.randrange(VMS), self.random.choice(["kill", "pause", "stop"])
                self.events.append(f"{kind} vm-{n} {seconds:.1f} s")
                running.append(asyncio.create_task(self.disturb_vm(n, kind, seconds)))
            else:
                proxy = self.random.choice(proxies)
                mode = self.random.choice(
                    ["delay", "reset", "silence", "one-way-out", "one-way-back"])
                self.events.append(f"{mode} {proxy.name} {seconds:.1f} s")
                running.append(asyncio.create_task(proxy.disturb(mode, seconds)))
        await asyncio.gather(*running)

    async def ready(self, n, loop):
        def ask():
            url = f"http://127.0.0.1:{self.vm_port + 3 * n + 1}/readyz"
            try:
                return urllib.request.urlopen(url, timeout=1).status == 200
            except OSError:
                return False

        end = loop.time() + RECOVER_SECONDS
        while loop.time() < end:
            if await loop.run_in_executor(None, ask):
                return
            await asyncio.sleep(0.2)
        self.problems.append(f"vm-{n} is not ready {RECOVER_SECONDS} s after the last fault")

    async def run(self):
        loop = asyncio.get_running_loop()
        runners = range(self.store_port + 1, self.store_port + 1 + RUNNERS)
        proxies = [Proxy(f"runner {port}", port + RUNNER_OFFSET, port) for port in runners]
        for n in range(VMS):
            proxies.append(
                Proxy(f"callers of vm-{n}", self.caller_proxy_port + n, self.vm_port + 3 * n))
            proxies.append(Proxy(f"store of vm-{n}", self.store_proxy_port + n, self.store_port))
        for it in proxies:
            await it.start()
        # The store must outlive the last fault and the return from it.
        sending = self.seconds + LONGEST_FAULT_SECONDS + RECOVER_SECONDS
        callers = ",".join(str(self.caller_proxy_port + n) for n in range(VMS))
        world = await asyncio.create_subprocess_exec(
            f"{BUILD}/src/standins/fleet/fleet-standin", "--first-port", str(self.store_port),
            "--runners", str(RUNNERS), "--zones", "a,b", "--callers-to", callers,
            "--jobs-per-s", "20", "--seconds", str(sending), "--warm-up",
            str(WARM_UP_SECONDS), "--seed", str(self.seed), "--answer-lost", "0.01",
            "--late", "0.01", "--advertised-offset", str(RUNNER_OFFSET),
            stdout=asyncio.subprocess.PIPE)
        try:
            for n in range(VMS):
                await self.start_vm(n)
            await asyncio.sleep(WARM_UP_SECONDS)
            await self.draw_faults(proxies, loop)
            await asyncio.gather(*(self.ready(n, loop) for n in range(VMS)))
            out, _ = await asyncio.wait_for(world.communicate(), 30)
            if out:
                self.judge(json.loads(out), world.returncode)
            else:
                self.problems.append(f"the stand-in ended with status {world.returncode}")
        except asyncio.TimeoutError:
            self.problems.append("callers still wait for answers 30 s after the last fault")
        finally:
            for it in [world, *self.processes.values()]:
                if it.returncode is None:
                    it.kill()
                    await it.wait()
            for it in proxies:
                it.server.close()

    def judge(self, seen, status):
        print(f"seed {self.seed}: {json.dumps(seen)}")
        answered = seen["completed"] + seen["failed"] + seen["refused"] + seen["brokenOff"]
        if status != 0:
            self.problems.append("a promise to runners or callers was broken")
        if answered != seen["sent"]:
            self.problems.append(f"{seen['sent'] - answered} calls without an answer")
        if seen["sent"] < 50 or seen["completed"] < LEAST_COMPLETED_SHARE * seen["sent"]:
            self.problems.append("too few jobs were completed")


def main():
    arguments = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    arguments.add_argument("seeds", type=int, nargs="*", default=[1])
    arguments.add_argument("--seconds", type=int, default=12, help="length of each seed's faults")
    arguments.add_argument("--first-port", type=int, default=os.environ.get("FIRST_PORT", 7800),
                           help="first of 160 ports; default: $FIRST_PORT, or 7800")
    options = arguments.parse_args()
    failed = 0
    for seed in options.seeds:
        with tempfile.TemporaryDirectory() as work:
            soak = Soak(seed, options.seconds, options.first_port, work)
            asyncio.run(soak.run())
            if soak.problems:
                failed += 1
                print(f"seed {seed}: FAILED: " + "; ".join(soak.problems))
                print("  faults: " + ", ".join(soak.events))
                kept = f"fault-soak-{seed}.log"
                with open(kept, "w") as out:
                    for n in range(VMS):
                        with open(os.path.join(work, f"vm{n}.log"), errors="replace") as log:
                            out.write(f"== vm-{n}\n" + log.read())
                print(f"  logs: {kept}")
            else:
                print(f"seed {seed}: passed, {len(soak.events)} faults")
    print(f"{len(options.seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
