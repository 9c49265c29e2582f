"""The platform around a few daemons, for the cases of this review: a store, runners, proxies and
clients that follow the users' pages. One asyncio loop, loopback addresses, the real clock."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target/src/rattandockd/rattandockd")
HOST = "127.0.0.1"


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.start = now()
        self.lines = []
        self.path = path

    def add(self, *words):
        self.lines.append(f"{now() - self.start:9.3f} " + " ".join(str(it) for it in words))

    def write(self):
        with open(self.path, "w") as out:
            out.write("\n".join(self.lines) + "\n")


def free_ports(count):
    taken, ports = [], []
    for _ in range(count):
        it = socket.socket()
        it.bind((HOST, 0))
        taken.append(it)
        ports.append(it.getsockname()[1])
    for it in taken:
        it.close()
    return ports


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for it in lines[1:]:
        if ":" in it:
            name, value = it.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        body = await reader.readexactly(length)
    return lines[0], headers, body


REASONS = {200: "OK", 409: "Conflict", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request"}


class Server:
    """HTTP/1.1 with kept connections. handle(method, path, query, headers, body) returns
    (status, object), or None to give no answer and close the connection."""

    def __init__(self):
        self.port = 0

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        self.writers = set()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                answer = await self.handle(method, path, dict(urllib.parse.parse_qsl(query)), headers, body)
                if answer is None:
                    break
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self):
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()


class Store(Server):
    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 1
        self.changed = asyncio.Condition()
        self.began = now()
        self.log = []
        self.fault = None

    async def put(self, table, key, value, part=""):
        """Written by the operator or a runner. The return is the ack."""
        self.version += 1
        self.rows[(table, part, key)] = (value, self.version)
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, table, key):
        self.version += 1
        self.rows[(table, "", key)] = (None, self.version)
        async with self.changed:
            self.changed.notify_all()

    @staticmethod
    def shown(place, row):
        table, part, key = place
        value, version = row
        result = {"table": table, "part": part, "key": key, "ver": version}
        if value is None:
            result["tombstone"] = True
            result["value"] = ""
        else:
            result["value"] = base64.b64encode(value).decode()
        return result

    def clock(self):
        return int((now() - self.began) * 1000)

    async def handle(self, method, path, query, headers, body):
        if self.fault is not None:
            answer = await self.fault(path, query, body)
            if answer is not False:
                return answer
        await asyncio.sleep(0.004)
        if path == "/api/rows-get":
            rows = [(p, r) for p, r in self.rows.items()
                    if p[0] == query["table"] and p[1] == query.get("part", "")
                    and p[2] >= query.get("from", "") and r[0] is not None]
            rows.sort(key=lambda it: it[0][2].encode())
            more = len(rows) > 500
            return 200, {"rows": [self.shown(*it) for it in rows[:500]], "has_more": more,
                         "ver": self.version, "now_ms": self.clock()}
        if path == "/api/rows-feed":
            after = int(query["after"])
            end = now() + int(query.get("wait_ms", "0")) / 1000
            while True:
                rows = [(p, r) for p, r in self.rows.items() if p[0] == query["table"] and r[1] > after]
                if rows or now() >= end:
                    rows.sort(key=lambda it: it[1][1])
                    return 200, {"rows": [self.shown(*it) for it in rows], "ver": self.version,
                                 "now_ms": self.clock()}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), max(end - now(), 0.001))
                    except asyncio.TimeoutError:
                        pass
        if path == "/api/rows-parts":
            parts = sorted({p[1] for p, r in self.rows.items() if p[0] == query["table"] and r[0] is not None})
            return 200, {"parts": parts, "has_more": False, "ver": self.version, "now_ms": self.clock()}
        if path == "/api/rows-tx":
            return await self.transact(json.loads(body))
        return 404, {}

    async def transact(self, call):
        await asyncio.sleep(0.006)

        def place(row):
            return row["table"], row.get("part", ""), row["key"]

        def version_of(row):
            value, version = self.rows.get(place(row), (None, 0))
            return 0 if value is None else version
        for it in call.get("writes", []) + call.get("remove", []):
            if it["table"] in ("op", "servers"):
                return 403, {}
        if any(version_of(it) != it["ver"] for it in call.get("expect", [])):
            rows = [self.shown(place(it), self.rows[place(it)]) for it in call["expect"]
                    if version_of(it) != 0]
            return 412, {"rows": rows, "ver": self.version, "now_ms": self.clock()}
        self.version += 1
        for it in call.get("writes", []):
            self.rows[place(it)] = (base64.b64decode(it["value"]), self.version)
        for it in call.get("remove", []):
            self.rows[place(it)] = (None, self.version)
        async with self.changed:
            self.changed.notify_all()
        return 200, {"ver": self.version, "now_ms": self.clock()}


class Runner(Server):
    """One life after another of a runner under one id. A task's work is the number in its spec,
    `ms=NUMBER`; it takes as long as that."""

    def __init__(self, store, record, name, zone, service, labels, cpu=64000, heartbeat=1.5):
        super().__init__()
        self.store, self.record = store, record
        self.id, self.zone, self.service, self.labels = name, zone, service, list(labels)
        self.cpu, self.heartbeat = cpu, heartbeat
        self.state = "ready"
        self.sequence = 0
        self.starts = []
        self.address = None
        self.is_up = False

    def born_now(self):
        self.born = int(time.time() * 1000)
        self.began = now()
        self.runs, self.ended, self.highest = {}, [], {}
        self.next_end, self.token, self.lease = 1, 0, 0
        self.sequence = 0
        self.changed = asyncio.Event()
        self.kick = asyncio.Event()

    def clock(self):
        return int((now() - self.began) * 1000) + 1000

    async def start(self, port=0):
        self.born_now()
        self.is_up = True
        await self.listen(port)
        self.address = self.address or f"{HOST}:{self.port}"
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.step())]

    def entry(self):
        self.sequence += 1
        return json.dumps({"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                           "slots": 8, "state": self.state, "cold_left_ms": 0, "sequence": self.sequence,
                           "born": self.born, "clock_ms": self.clock(),
                           "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0},
                           "labels": self.labels}).encode()

    async def beat(self):
        while True:
            await self.store.put("servers", self.id, self.entry())
            await asyncio.sleep(self.heartbeat)

    async def step(self):
        while True:
            clock = self.clock()
            for key, run in list(self.runs.items()):
                if clock >= self.lease:
                    self.end(key, "lapsed")
                elif clock >= run["until"]:
                    self.end(key, "done")
            due = min([self.lease] + [it["until"] for it in self.runs.values()]) if self.runs else clock + 1000
            self.kick.clear()
            try:
                await asyncio.wait_for(self.kick.wait(), max(due - clock, 1) / 1000)
            except asyncio.TimeoutError:
                pass

    def end(self, key, how):
        run = self.runs.pop(key)
        run["end"], run["how"] = now(), how
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.ended.append([self.next_end, key[0], key[1], how, ""])
        self.next_end += 1
        self.record.add("runner", self.id, "ended", key[0], "run", key[1], how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def crash(self):
        """Everything here is gone, and connections are reset."""
        self.is_up = False
        for it in self.tasks:
            it.cancel()
        for run in self.runs.values():
            run["end"], run["how"] = now(), "crashed"
        self.runs = {}
        await self.close()
        self.record.add("runner", self.id, "crashed")

    async def handle(self, method, path, query, headers, body):
        if headers.get("expect-instance", self.id) != self.id:
            return 421, self.said()
        call = json.loads(body)
        answer = self.order(path, call)
        if path == "/api/hold" and answer[0] == 200:
            wait = min(call.get("wait_ms", 0), 2000) / 1000
            if wait and not self.ended:
                try:
                    await asyncio.wait_for(self.changed.wait(), wait)
                except asyncio.TimeoutError:
                    pass
            return 200, self.said(running=[[k[0], k[1], "", 100, 0] for k in self.runs],
                                  ended=self.ended[:500])
        return answer

    def said(self, **more):
        return {"clock_ms": self.clock(), "born": self.born, **more}

    def order(self, path, call):
        if call.get("fencing_token", 0) < self.token:
            return 409, self.said(reason="fence")
        self.token = call.get("fencing_token", 0)
        until = min(call.get("deadline_ms", 0), self.clock() + 1000)
        if path == "/api/hold":
            self.lease = max(self.lease, until)
            self.ended = [it for it in self.ended if it[0] > call.get("last_seen", 0)]
            return 200, {}
        key = (call["task"], call["run"])
        if path == "/api/run-stop":
            self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
            if key in self.runs:
                self.end(key, "stopped")
            return 200, self.said()
        if path != "/api/run-start":
            return 404, self.said()
        if call["deadline_ms"] <= self.clock():
            return 409, self.said(reason="late")
        self.lease = max(self.lease, until)
        if key in self.runs:
            return 200, self.said()
        if key[1] <= self.highest.get(key[0], 0):
            return 409, self.said(reason="old")
        work = int(call["spec"].split("ms=")[1].split()[0])
        run = {"task": key[0], "run": key[1], "begin": now(), "end": None, "how": None, "spec": call["spec"],
               "until": self.clock() + work, "labels": list(self.labels), "runner": self.id,
               "born": self.born, "began": self.began}
        self.runs[key] = run
        self.kick.set()
        self.starts.append(run)
        self.record.add("runner", self.id, "started", key[0], "run", key[1], "labels", ",".join(self.labels))
        return 200, self.said()


class Proxy:
    """Passes TCP connections on. silence() keeps the open ones open, but nothing passes on them any
    more; new ones work."""

    def __init__(self, target):
        self.target = target
        self.pairs = []
        self.refused = False

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        pair = {"silent": False, "gate": asyncio.Event(), "began": now()}
        pair["gate"].set()
        try:
            up_reader, up_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            writer.transport.abort()
            return
        pair["writers"] = (writer, up_writer)
        self.pairs.append(pair)

        async def pump(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    await pair["gate"].wait()
                    if not data:
                        break
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                sink.close()
        pumps = [asyncio.ensure_future(pump(reader, up_writer)), asyncio.ensure_future(pump(up_reader, writer))]
        pair["pumps"] = pumps
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            pass
        for it in (writer, up_writer):
            it.close()
        for it in pumps:
            it.cancel()
        if pair in self.pairs:
            self.pairs.remove(pair)

    def silence(self):
        for it in self.pairs:
            it["gate"].clear()
        return len(self.pairs)

    def open_count(self):
        return len(self.pairs)

    def reset(self):
        for it in list(self.pairs):
            for one in it["writers"]:
                one.transport.abort()


class Daemon:
    def __init__(self, world, name, zone, store_port, **fleet):
        self.world, self.name, self.zone = world, name, zone
        self.caller, self.operator, self.peer = free_ports(3)
        settings = {
            "vm": name, "zone": zone, "callerAddress": f"{HOST}:{self.caller}",
            "operatorAddress": f"{HOST}:{self.operator}", "peerAddress": f"{HOST}:{self.peer}",
            "peerNetworkIsPrivate": True, "maxConnections": 2000,
            "fleet": {"storeAddress": f"{HOST}:{store_port}", "weight": 0.25, "upstreamDrainMs": 2000,
                      "farRunFactor": 1.5, "stopLimitMs": 4500, **fleet}}
        self.settings = os.path.join(world.folder, name + ".json")
        self.log = os.path.join(world.folder, name + ".log")
        with open(self.settings, "w") as out:
            json.dump(settings, out)
        self.process = None

    async def start(self):
        with open(self.log, "ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                DAEMON, "--settings", self.settings, stdout=out, stderr=out, stdin=asyncio.subprocess.DEVNULL)
        self.world.record.add("daemon", self.name, "started", "pid", self.process.pid)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class World:
    def __init__(self, folder_of_case):
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.scratch = tempfile.TemporaryDirectory()
        self.folder = self.scratch.name
        self.daemons, self.runners = [], []

    async def end(self):
        for it in self.daemons:
            await it.end()
        self.record.write()

    async def open(self):
        self.store = Store()
        await self.store.listen()

    async def config(self, version, routes, service="s"):
        """routes: names. The return is the time of the ack."""
        value = {"version": version,
                 "routes": [{"name": it, "host": "jobs.example", "prefix": f"/{it}/", "kind": "non_idempotent",
                             "timeout_ms": 0, "target_latency_ms": 60, "priority": 0, "service": service,
                             "max_attempts": 3, "stretch": 1.6} for it in routes],
                 "services": [{"name": service, "admission_control": False}],
                 "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                            "idle_timeout_ms": 15000}}
        await self.store.put("op", "config", json.dumps(value).encode())
        self.record.add("operator: config", version, "acked, routes", ",".join(routes))
        return now()

    async def ready(self, limit=20):
        end = now() + limit
        for it in self.daemons:
            while True:
                try:
                    status, _ = await call(it.operator, "GET", "/readyz", timeout=1)
                    if status == 200:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                if now() > end:
                    raise RuntimeError("a daemon isn't ready")
                await asyncio.sleep(0.1)


def new_id():
    return "%016x" % random.getrandbits(64)


def job(work_ms, count=1, cpu=27000, estimate=None, **step):
    return {"spec": f"ms={work_ms} ", "best_effort": True,
            "steps": [{"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": estimate or work_ms, **step}]}


async def call(port, method, path, body=None, timeout=5, deadline_ms=None, host="jobs.example"):
    """One request on a connection of its own. Returns (status, object)."""
    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
            if body is not None:
                head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
            if deadline_ms is not None:
                head += f"Deadline-Ms: {deadline_ms}\r\n"
            writer.write(head.encode() + b"\r\n" + data)
            line, headers, content = await read_message(reader)
            status = int(line.split(" ")[1])
            try:
                return status, json.loads(content) if content else {}
            except ValueError:
                return status, {}
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


def run(main, folder):
    """Runs main(world) and exits as the case says: 1 broken, 0 held, 2 it couldn't run."""
    if not os.access(DAEMON, os.X_OK):
        print("the daemon isn't built")
        sys.exit(2)
    world = World(folder)

    async def whole():
        # Connections that are cut on purpose end with errors in the stand-ins.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            await world.open()
            return await asyncio.wait_for(main(world), 112)
        except Exception as ex:
            print("could not run:", repr(ex))
            return 2
        finally:
            await world.end()
            world.scratch.cleanup()
    loop = asyncio.new_event_loop()
    code = loop.run_until_complete(whole())
    sys.stdout.flush()
    # Without the end of each stand-in's connections, which nobody reads any more.
    os._exit(code)
