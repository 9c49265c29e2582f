"""Small stand-ins of the platform for the review's scripts: its store, its runners and its clients.

They speak what PROTOCOL.md says, on loopback addresses and the real clock. One asyncio loop serves
all of them. Every observation goes to a Record, which writes record.txt and finds broken rules.
"""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of the site roza-koper, as its settings state them.
BOUNDS = {"drain_ms": 2000, "far_x": 1.5}
HOLD_MAX_MS = 1000
RESEND_MS = 1300
GRACE_S = 6


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


class Record:
    """Collects what was sent, answered and run, in the order of its time."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w")
        self.broken = []

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")
        self.file.flush()

    def breach(self, text):
        self.broken.append(text)
        self.note("BROKEN: " + text)
        print("broken: " + text, flush=True)


# --- HTTP ---------------------------------------------------------------------------------------

class HttpError(Exception):
    pass


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def encode(status, body, more=""):
    text = body if isinstance(body, bytes) else json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n"
    return (head + more + "\r\n").encode() + text


class HttpServer:
    """Serves `handler(method, path, query, headers, body)`, which returns (status, object), or None
    for an answer that is lost: the connection then delivers nothing further."""

    def __init__(self, handler, address="127.0.0.1"):
        self.handler = handler
        self.address = address
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.address, port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                parts = urlsplit(target)
                answer = await self.handler(method, parts.path, parse_qs(parts.query), headers, body)
                if answer is None:
                    await asyncio.sleep(30)
                    return
                writer.write(encode(*answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        self.server.close()
        self.reset_all()


# --- The platform's store -------------------------------------------------------------------------

class Store:
    def __init__(self):
        self.rows = {}  # (table, part, key) -> (value or None, ver)
        self.ver = 0
        self.changed = asyncio.Event()
        self.is_down = False

    async def start(self):
        self.http = await HttpServer(self.serve).start()
        return self

    def set_down(self, is_down):
        """While it is down it answers nobody, and nobody writes."""
        self.is_down = is_down
        self.http.reset_all()

    def put(self, table, key, value):
        """A write of the operator or of a runner."""
        self.ver += 1
        self.rows[(table, "", key)] = (json.dumps(value).encode(), self.ver)
        self.wake()

    def remove(self, table, key):
        self.ver += 1
        self.rows[(table, "", key)] = (None, self.ver)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def shown(place, row):
        table, part, key = place
        value, ver = row
        shown = {"table": table, "part": part, "key": key, "ver": ver}
        if value is None:
            shown["tombstone"] = True
        else:
            shown["value"] = base64.b64encode(value).decode()
        return shown

    def envelope(self, body):
        body.update(ver=self.ver, now_ms=int(time.monotonic() * 1000))
        return body

    async def serve(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if self.is_down:
            return 503, {}
        get = lambda name, default="": query.get(name, [default])[0]
        if path == "/api/rows-get":
            rows = [self.shown(p, r) for p, r in sorted(self.rows.items())
                    if p[0] == get("table") and p[1] == get("part") and p[2] >= get("from")
                    and r[0] is not None]
            return 200, self.envelope({"rows": rows[:500], "has_more": len(rows) > 500})
        if path == "/api/rows-feed":
            until = time.monotonic() + int(get("wait_ms", "0")) / 1000
            while True:
                rows = sorted((self.shown(p, r) for p, r in self.rows.items()
                               if p[0] == get("table") and r[1] > int(get("after", "0"))),
                              key=lambda it: it["ver"])
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, self.envelope({"rows": rows[:500]})
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/api/rows-parts":
            parts = sorted({p[1] for p, r in self.rows.items() if p[0] == get("table") and r[0]})
            return 200, self.envelope({"parts": parts, "has_more": False})
        if path == "/api/rows-tx":
            return self.transact(json.loads(body))
        return 404, {}

    def transact(self, call):
        place = lambda it: (it["table"], it.get("part", ""), it["key"])
        known = lambda it: self.rows.get(place(it), (None, 0))
        current = lambda it: known(it)[1] if known(it)[0] is not None else 0
        expected = call.get("expect", [])
        if any(current(it) != it["ver"] for it in expected):
            rows = [self.shown(place(it), known(it)) for it in expected if known(it)[0] is not None]
            return 412, self.envelope({"rows": rows})
        self.ver += 1
        for it in call.get("writes", []):
            self.rows[place(it)] = (base64.b64decode(it["value"]), self.ver)
        for it in call.get("remove", []):
            self.rows[place(it)] = (None, self.ver)
        self.wake()
        return 200, self.envelope({})


# --- Runners --------------------------------------------------------------------------------------

class Runs:
    """All runs of all runners, to find tasks that run twice at the same time."""

    def __init__(self, record):
        self.record = record
        self.active = {}  # task -> list of runners
        self.history = []  # (task, run, runner, begin, end, how)
        self.on_start = []

    def begin(self, runner, task, run):
        self.record.note(f"start    {task} run {run} on {runner.id}")
        others = self.active.setdefault(task, [])
        for check in self.on_start:
            check(runner, task, run, list(others))
        others.append(runner.id)

    def end(self, runner, task, run, how, begun):
        self.record.note(f"end      {task} run {run} on {runner.id}: {how}")
        self.active[task].remove(runner.id)
        self.history.append((task, run, runner.id, begun, self.record.now(), how))


class Runner:
    """A worker: its work is described by the job's spec, {"ms": N} or {"ms": [N, N, ...]} by the
    index of the task."""

    def __init__(self, name, runs, store, service="s", zone="a", cpu=64000, labels=("a", "r1")):
        self.id, self.runs, self.store = name, runs, store
        self.service, self.zone, self.cpu, self.labels = service, zone, cpu, list(labels)
        self.is_late = lambda path, body: 0  # seconds until the order is carried out, unanswered
        self.orders = {}
        self.unanswered = {}
        self.state = "ready"
        self.sequence = 0
        self.life = 0
        self.reborn()

    def reborn(self):
        self.life += 1
        self.born = int(time.time() * 1000)
        self.begun = time.monotonic()
        self.token, self.lease, self.next_end = 0, 0, 1
        self.running, self.ended, self.highest = {}, [], {}
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000) + 1000

    async def start(self):
        self.http = await HttpServer(self.serve).start()
        self.tasks = [asyncio.create_task(self.step()), asyncio.create_task(self.report())]
        return self

    def write_row(self):
        if self.store.is_down:
            return
        self.sequence += 1
        self.store.put("servers", self.id, {
            "service": self.service, "address": f"127.0.0.1:{self.http.port}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": self.state, "cold_left_ms": 0,
            "sequence": self.sequence, "born": self.born, "clock_ms": self.clock(),
            "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0}, "labels": self.labels})

    async def report(self):
        while True:
            self.write_row()
            await asyncio.sleep(1.5)

    async def crash_and_restart(self, down_s, **changes):
        """Starts again under its id; holds and knows nothing of before."""
        port = self.http.port
        self.runs.record.note(f"runner   {self.id} crashes")
        for task in self.tasks:
            task.cancel()
        await self.http.stop()
        for (task, run), entry in self.running.items():
            self.runs.end(self, task, run, "lost with its runner", entry["begun"])
        self.running = {}
        await asyncio.sleep(down_s)
        for name, value in changes.items():
            setattr(self, name, value)
        self.reborn()
        self.http = await HttpServer(self.serve).start(port)
        self.tasks = [asyncio.create_task(self.step()), asyncio.create_task(self.report())]
        self.runs.record.note(f"runner   {self.id} is back {changes}")

    def extend(self, until):
        if until:
            self.lease = max(self.lease, min(until, self.clock() + HOLD_MAX_MS))

    async def serve(self, method, path, query, headers, body):
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {}
        call = json.loads(body)
        self.orders[path] = self.orders.get(path, 0) + 1
        delay = self.is_late(path, call)
        if delay:
            self.unanswered[path] = self.unanswered.get(path, 0) + 1
            self.runs.record.note(f"late     {path} {call.get('task', '')} on {self.id}, "
                                  f"carried out after {delay:.1f} s")
            life = self.life
            asyncio.get_running_loop().call_later(
                delay, lambda: asyncio.ensure_future(self.carry_out(path, call))
                if self.life == life else None)
            return None
        return await self.carry_out(path, call)

    async def carry_out(self, path, call):
        if call.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence", "born": self.born}
        self.token = call.get("fencing_token", 0)
        if path == "/api/run-start":
            status, reason = self.do_start(call)
        elif path == "/api/run-stop":
            status, reason = self.do_stop(call)
        elif path == "/api/hold":
            return await self.do_hold(call)
        else:
            return 404, {}
        answer = {"clock_ms": self.clock(), "born": self.born}
        if reason:
            answer["reason"] = reason
        return status, answer

    def do_start(self, call):
        key = (call["task"], call["run"])
        if call["deadline_ms"] <= self.clock():
            return 409, "late"
        self.extend(call["deadline_ms"])
        if key in self.running:
            return 200, ""
        if call["run"] <= self.highest.get(call["task"], 0):
            return 409, "old"
        work = json.loads(call["spec"])
        ms = work["ms"]
        if isinstance(ms, list):
            ms = ms[int(call["task"].rsplit(".", 1)[1]) % len(ms)]
        self.running[key] = {"ends": self.clock() + ms, "begun": self.runs.record.now()}
        self.runs.begin(self, *key)
        return 200, ""

    def do_stop(self, call):
        key = (call["task"], call["run"])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        if key in self.running:
            self.end(key, "stopped")
        return 200, ""

    async def do_hold(self, call):
        seen = call.get("last_seen", 0)
        self.ended = [it for it in self.ended if it[0] > seen]
        self.extend(call.get("deadline_ms", 0))
        until = time.monotonic() + call.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        running = [[task, run, "", 100, 0] for task, run in self.running]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running,
                     "ended": self.ended[:500]}

    def end(self, key, how):
        entry = self.running.pop(key)
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.ended.append([self.next_end, key[0], key[1], how, ""])
        self.next_end += 1
        self.runs.end(self, *key, how, entry["begun"])
        self.changed.set()
        self.changed = asyncio.Event()

    async def step(self):
        while True:
            now = self.clock()
            for key, entry in list(self.running.items()):
                if now >= self.lease:
                    self.end(key, "lapsed")
                elif now >= entry["ends"]:
                    self.end(key, "done")
            await asyncio.sleep(0.001)


# --- Daemons --------------------------------------------------------------------------------------

def render(template, fields):
    """Fills in a template as DEPLOY.md tells, as far as deploy/settings.json needs it."""
    def value(name, where):
        for part in name.split("."):
            where = where[int(part)] if isinstance(where, list) else where.get(part, "")
        return where

    def section(match):
        return match[2] if value(match[1], fields) not in ("", None, False) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m[1], fields)), text)


def free_port(address):
    with socket.socket() as sock:
        sock.bind((address, 0))
        return sock.getsockname()[1]


class Vm:
    """An entry VM with its own loopback address; runs the command of the deploy file."""

    def __init__(self, number, store, record, folder, zone="a", cpu_share=0.25):
        self.name = f"front-{zone}-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.record, self.folder = record, folder
        self.front = (self.ip, free_port(self.ip))
        self.readiness = (self.ip, free_port(self.ip))
        fields = {"node_name": self.name, "zone": zone, "ip": self.ip,
                  "internal_ports": [free_port(self.ip)], "bounds": BOUNDS,
                  "listen_addrs": {"front": "%s:%d" % self.front,
                                   "readiness": "%s:%d" % self.readiness},
                  "limits": {"cpu_share": cpu_share},
                  "platform": {"address": f"127.0.0.1:{store.http.port}"}}
        self.settings = Path(folder) / f"{self.name}.json"
        self.settings.write_text(render((ROOT / "deploy/settings.json").read_text(), fields))
        self.process = None

    async def start(self):
        command = re.search(r'^run = "(.*)"', (ROOT / "deploy/system.toml").read_text(), re.M)[1]
        words = [str(self.settings) if it == "/etc/rattandock/node.toml" else it
                 for it in command.split()]
        log = open(Path(self.folder) / f"{self.name}.log", "a")
        self.process = await asyncio.create_subprocess_exec(*words, cwd=ROOT, stdout=log, stderr=log)
        self.record.note(f"daemon   {self.name} starts")

    def signal(self, number):
        self.record.note(f"daemon   {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            return (await call("GET", self.readiness, "/readyz", timeout=1)).status == 200
        except (OSError, HttpError, asyncio.TimeoutError):
            return False

    async def status(self):
        return (await call("GET", self.readiness, "/v1/status", timeout=2)).json()

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


# --- Clients --------------------------------------------------------------------------------------

class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def json(self):
        return json.loads(self.body)


class Connections:
    """Keeps connections open between exchanges, as clients do."""

    def __init__(self):
        self.idle = {}

    def take(self, address):
        waiting = self.idle.get(address, [])
        while waiting:
            reader, writer = waiting.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        return None

    def give(self, address, pair, headers):
        if headers.get("connection", "").lower() == "close":
            pair[1].close()
        else:
            self.idle.setdefault(address, []).append(pair)


async def call(method, address, path, body=None, headers=(), timeout=5, opened=None, kept=None):
    """One exchange, on a connection of its own or on one of `kept`. `opened` gets its writer."""
    pair = kept.take(address) if kept else None
    if pair is None:
        pair = await asyncio.wait_for(asyncio.open_connection(*address), timeout)
    reader, writer = pair
    is_whole = False
    try:
        if opened:
            opened(writer)
        text = b"" if body is None else json.dumps(body).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nContent-Type: application/json\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in headers)
        writer.write((head + f"Content-Length: {len(text)}\r\n\r\n").encode() + text)
        line, got, answer = await asyncio.wait_for(read_message(reader), timeout)
        is_whole = True
        if kept:
            kept.give(address, pair, got)
        return Answer(int(line.split(" ")[1]), got, answer)
    except asyncio.IncompleteReadError as ex:
        raise HttpError("the connection ended without a complete answer") from ex
    finally:
        if not (is_whole and kept):
            writer.close()


def job(ms, count=1, cpu=27000, estimate_ms=None, **step):
    longest = max(ms) if isinstance(ms, list) else ms
    return {"spec": json.dumps({"ms": ms}), "best_effort": True,
            "steps": [{"count": count, "cpu": cpu, "mem_mb": 64,
                       "estimate_ms": estimate_ms or longest, **step}]}


def config(version=1, timeout_ms=8000, queues=("jobs",), service="s", **more):
    routes = [{"name": it, "host": "shop.example", "prefix": f"/{it}/", "kind": "non_idempotent",
               "service": service, "timeout_ms": timeout_ms, "target_latency_ms": 60,
               "stretch": 1.6, "max_attempts": 3, "priority": 0, **more} for it in queues]
    return {"version": version, "routes": routes,
            "services": [{"name": service, "admission_control": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144}}


def new_id(randoms=random.SystemRandom()):
    return "%016x" % randoms.getrandbits(64)


# --- A case ---------------------------------------------------------------------------------------

class World:
    """A small deployment. Use as `async with World(folder) as world`."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.runs = Runs(self.record)
        self.runners, self.vms = [], []
        self.temporary = tempfile.TemporaryDirectory(prefix="rattandock-review-")

    async def __aenter__(self):
        self.store = await Store().start()
        return self

    async def add_runners(self, count, zone="a", **more):
        for _ in range(count):
            runner = Runner(f"w{len(self.runners):02d}", self.runs, self.store, zone=zone, **more)
            self.runners.append(await runner.start())

    async def add_vms(self, count, zone="a"):
        for _ in range(count):
            number = len(self.vms) + 1
            vm = Vm(number, self.store, self.record, self.temporary.name, zone)
            self.vms.append(vm)
            await vm.start()

    async def settle(self, timeout=20):
        """Waits until the daemons are ready and have divided the runners."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if all([await it.is_ready() for it in self.vms]):
                kept = sum([(await it.status())["keptUpstreams"] for it in self.vms])
                if kept == len(self.runners):
                    await asyncio.sleep(1.5)
                    return
            await asyncio.sleep(0.1)
        raise CannotRun("the daemons do not get ready: " + self.logs())

    def logs(self):
        return "".join(Path(it.folder, f"{it.name}.log").read_text()[-600:] for it in self.vms)

    def log_text(self, vm):
        return Path(vm.folder, f"{vm.name}.log").read_text()

    async def __aexit__(self, *_):
        for vm in self.vms:
            await vm.end()
        if os.environ.get("KEEP_LOGS"):
            for vm in self.vms:
                Path(self.folder, f"{vm.name}.log").write_text(self.log_text(vm))
        self.temporary.cleanup()


def main(folder, case):
    """Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    if not (ROOT / "target/src/rattandockd/rattandockd").exists():
        print("cannot run: the build of the deploy file is missing")
        sys.exit(2)

    async def play():
        async with World(folder) as world:
            await case(world)
            return world.record

    async def limited():
        try:
            record = await asyncio.wait_for(play(), 115)
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError, HttpError) as ex:
            print(f"cannot run: {type(ex).__name__} {ex}", flush=True)
            return 2
        record.note(f"result: {len(record.broken)} breaches")
        print("broken" if record.broken else "held", flush=True)
        return 1 if record.broken else 0

    loop = asyncio.new_event_loop()
    task = loop.create_task(limited())
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    code = loop.run_until_complete(task)
    # Ends at once: clients that still wait for an answer are of no interest any more.
    sys.stdout.flush()
    os._exit(code)
