#!/usr/bin/env python3
"""Checks that clients that break the protocol cannot exhaust a VM: scripts/hostile-clients.py [TEST...]

Each test starts the platform's stand-in and one daemon, connects a crowd of clients, and checks that
the daemon lives, that its memory and its descriptors stay within the bounds below, and that an
ordinary request is answered while the crowd is still connected. No test asserts a time or a share.
Prints one line per test and a closing line `N passed, N failed`. Needs a release build. Uses 30
loopback ports from $FIRST_PORT on, by default 7960.
"""
import argparse
import http.client
import json
import os
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

BUILD = os.environ.get("BUILD_DIR", "build/release")
RUNNERS = 4
# Connections of each listener, in the settings of the tested VM.
MAX_CONNECTIONS = 300
# The configuration's limits of a request.
MAX_BODY_BYTES = 262_144
MAX_HEADER_BYTES = 16_384
# What a VM may use for control: resident memory and bytes that are received but not read.
MEMORY_BOUND = 64 << 20
# One listener's connections, and as many as the platform reserves for files.
DESCRIPTOR_BOUND = MAX_CONNECTIONS + 200
# Bounds of the test itself.
CROWD_SECONDS = 20
ANSWER_SECONDS = 30
QUIET_SECONDS = 0.5
# A run above this is ended at once, to protect the machine.
ABORT_BYTES = 1 << 30


def post(path, body, *headers):
    lines = [f"POST {path} HTTP/1.1", "Host: 127.0.0.1", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def chunk(data, extension=b""):
    return b"%x%s\r\n%s\r\n" % (len(data), extension, data)


def job(run_ms=20, spec_padding=0):
    spec = json.dumps({"cpu": 1000, "ms": run_ms, "pad": "x" * spec_padding})
    step = {"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": run_ms}
    return json.dumps({"spec": spec, "best_effort": True, "steps": [step]}).encode()


def length(body):
    return f"Content-Length: {len(body)}"


CHUNKED = "Transfer-Encoding: chunked"


class Client:
    """One connection that sends what an iterator gives, as fast as the other side takes it."""

    def __init__(self, port, chunks, reads=False):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", port))
        self.chunks, self.reads, self.pending, self.open = iter(chunks), reads, b"", True
        self.finished, self.sent = False, 0

    def fill(self):
        if not self.pending and not self.finished:
            self.pending = next(self.chunks, b"")
            self.finished = not self.pending

    def write(self):
        try:
            for _ in range(16):
                self.fill()
                if self.finished:
                    return
                n = self.socket.send(self.pending)
                self.sent += n
                self.pending = self.pending[n:]
        except BlockingIOError:
            pass
        except OSError:
            self.close()

    def read(self):
        try:
            data = self.socket.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self.received(data)
        else:
            self.close()

    def received(self, data):
        pass

    def close(self):
        if self.open:
            self.open = False
            self.socket.close()


class Http2Client(Client):
    """A connection to the listener for other VMs that opens streams and never ends a request."""

    HEADERS = b"\x83\x86\x04\x05/peer\x01\x04peer"

    def __init__(self, port, streams, bytes_per_stream):
        self.window = {0: 65535}
        self.left = {1 + 2 * n: bytes_per_stream for n in range(streams)}
        self.input = b""
        super().__init__(port, self.frames(), reads=True)

    @staticmethod
    def frame(kind, flags, stream, payload):
        return struct.pack(">I", len(payload))[1:] + struct.pack(">BBI", kind, flags, stream) + payload

    def frames(self):
        yield b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + self.frame(4, 0, 0, b"")
        for stream in self.left:
            self.window[stream] = 65535
            yield self.frame(1, 4, stream, self.HEADERS)
        while any(self.left.values()):
            for stream in self.left:
                n = min(16384, self.left[stream], self.window[stream], self.window[0])
                if n > 0:
                    self.left[stream] -= n
                    self.window[stream] -= n
                    self.window[0] -= n
                    yield self.frame(0, 0, stream, b"x" * n)
                elif self.left[stream]:
                    yield self.frame(6, 0, 0, b"stillher")  # A ping: no room in the window yet.
        while True:
            yield b""

    def fill(self):
        if not self.pending:
            self.pending = next(self.chunks)
            self.finished = not any(self.left.values()) and not self.pending

    def received(self, data):
        self.input += data
        while len(self.input) >= 9:
            size = int.from_bytes(self.input[:3], "big")
            if len(self.input) < 9 + size:
                return
            kind, _, stream = struct.unpack(">BBI", self.input[3:9])
            if kind == 8:
                step = int.from_bytes(self.input[9:13], "big")
                self.window[stream] = self.window.get(stream, 0) + step
            self.input = self.input[9 + size:]


class World:
    """The stand-in and the daemon under test."""

    def __init__(self, work, first_port, queues):
        self.port = first_port + RUNNERS + 1
        self.operator_port, self.peer_port = self.port + 1, self.port + 2
        self.problems, self.peak, self.descriptors = [], 0, 0
        settings = {
            "vm": "vm-0", "zone": "a", "callerAddress": f"127.0.0.1:{self.port}",
            "operatorAddress": f"127.0.0.1:{self.operator_port}",
            "peerAddress": f"127.0.0.1:{self.peer_port}", "maxConnections": MAX_CONNECTIONS,
            "fleet": {"storeAddress": f"127.0.0.1:{first_port}", "stopLimitMs": 1000}}
        path = os.path.join(work, "vm.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        self.log = open(os.path.join(work, "vm.log"), "w+b")
        self.standin = subprocess.Popen(
            [f"{BUILD}/src/standins/fleet/fleet-standin", "--first-port", str(first_port),
             "--runners", str(RUNNERS), "--queues", str(queues)], stdout=subprocess.PIPE)
        self.standin.stdout.readline()
        self.daemon = subprocess.Popen(
            [f"{BUILD}/src/rattandockd/rattandockd", "--settings", path], stdout=self.log,
            stderr=self.log)

    def wait_until_ready(self):
        end = time.monotonic() + ANSWER_SECONDS
        while time.monotonic() < end:
            if self.answer(self.operator_port, "GET", "/readyz") == 200:
                return
            time.sleep(0.05)
        self.problems.append("the daemon did not become ready")

    @staticmethod
    def answer(port, method, path, body=None, headers=None):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def unread_bytes(self):
        ports = {self.port, self.operator_port, self.peer_port}
        total = 0
        with open("/proc/net/tcp") as file:
            for line in file.readlines()[1:]:
                fields = line.split()
                if fields[3] != "0A" and int(fields[1].split(":")[1], 16) in ports:
                    total += int(fields[4].split(":")[1], 16)
        return total

    def sample(self):
        folder = f"/proc/{self.daemon.pid}"
        try:
            with open(f"{folder}/status") as file:
                memory = dict(line.split(":", 1) for line in file if line.startswith("Vm"))
            kilobytes = {key: int(value.split()[0]) for key, value in memory.items()}
            present = (kilobytes["VmRSS"] << 10) + self.unread_bytes()
            self.peak = max(self.peak, present, kilobytes["VmHWM"] << 10)
            self.descriptors = max(self.descriptors, len(os.listdir(f"{folder}/fd")))
        except (OSError, KeyError):
            pass  # It has ended; judge() reports that.

    def drive(self, clients):
        """Lets the crowd send until it has nothing more to send or is no longer read."""
        end = time.monotonic() + CROWD_SECONDS
        active, sampled = time.monotonic(), 0
        while time.monotonic() < min(end, active + QUIET_SECONDS):
            if time.monotonic() - sampled > 0.02:
                self.sample()
                sampled = time.monotonic()
                if self.peak > ABORT_BYTES:
                    return
            poll, by_number = select.poll(), {}
            for it in clients:
                if it.open and (it.reads or not it.finished):
                    by_number[it.socket.fileno()] = it
                    poll.register(it.socket, (0 if it.finished else select.POLLOUT)
                                  | (select.POLLIN if it.reads else 0))
            events = poll.poll(20)
            for number, event in events:
                client = by_number[number]
                before = (client.sent, client.finished)
                if event & select.POLLIN:
                    client.read()
                if event & (select.POLLOUT | select.POLLERR | select.POLLHUP) and client.open:
                    client.write()
                if (client.sent, client.finished) != before or not client.open:
                    active = time.monotonic()
        self.sample()

    def expect_answers(self):
        """An ordinary job is completed, on a new connection, however often it is refused before."""
        end = time.monotonic() + ANSWER_SECONDS
        seen = []
        while time.monotonic() < end and self.daemon.poll() is None:
            path = "/jobs/" + os.urandom(8).hex()
            seen.append(self.answer(self.port, "POST", path, job(), {"Deadline-Ms": "5000"}))
            if seen[-1] == 200:
                if self.answer(self.operator_port, "GET", "/livez") == 200:
                    return
                seen.append("no answer to the operator")
            time.sleep(0.2)
        self.problems.append(f"no ordinary request was answered: {seen[-5:]}")

    def judge(self):
        self.sample()
        if self.daemon.poll() is not None:
            self.problems.append(f"the daemon ended with status {self.daemon.returncode}")
        if self.peak > MEMORY_BOUND:
            self.problems.append(f"{self.peak >> 20} MB of memory, bound {MEMORY_BOUND >> 20}")
        if self.descriptors > DESCRIPTOR_BOUND:
            self.problems.append(f"{self.descriptors} descriptors, bound {DESCRIPTOR_BOUND}")

    def stop(self):
        if self.daemon.poll() is None:
            self.daemon.send_signal(signal.SIGKILL)
        self.daemon.wait()
        self.standin.kill()
        self.standin.wait()
        self.log.close()


def repeat(head, piece, total_bytes):
    yield head
    for _ in range(total_bytes // len(piece)):
        yield piece


def crowd(world, count, chunks, port=None):
    return [Client(port or world.port, chunks(n)) for n in range(count)]


def path(n):
    return f"/jobs/{n:016x}"


# Each function connects the clients of one test. Its comment says which failure it guards against.

# A trailer without end was kept whole.
def endless_trailers(world):
    head = chunk(b"{") + b"0\r\n"
    return crowd(world, 40, lambda n: repeat(post(path(n), head, CHUNKED), b"A: b\r\n" * 1000, 4 << 20))


# The extension of one chunk was kept whole.
def endless_chunk_extensions(world):
    return crowd(world, 40, lambda n: repeat(post(path(n), b"1;", CHUNKED), b"a" * 8192, 4 << 20))


# The size of one chunk was kept whole.
def endless_chunk_sizes(world):
    return crowd(world, 40, lambda n: repeat(post(path(n), b"", CHUNKED), b"0" * 8192, 4 << 20))


# Bodies inside the limit that are a byte short were bounded each alone, not together.
def announced_bodies_a_byte_short(world):
    body = b" " * (MAX_BODY_BYTES - 1)
    head = f"Content-Length: {MAX_BODY_BYTES}"
    return crowd(world, 290, lambda n: [post(path(n), body, head)])


# The same with bodies in large chunks.
def large_chunks_a_byte_short(world):
    body = b"".join(chunk(b" " * 65_000) for _ in range(4)) + b"100\r\n" + b" " * 255
    return crowd(world, 290, lambda n: [post(path(n), body, CHUNKED)])


# The same with bodies in chunks of one byte.
def small_chunks_a_byte_short(world):
    piece = chunk(b" ") * 1000
    return crowd(world, 290, lambda n: repeat(post(path(n), b"", CHUNKED), piece, 256 * 1024))


# Long extensions of small chunks cost much to receive for a body inside the limit.
def small_chunks_with_extensions(world):
    piece = chunk(b" ", b";" + b"e" * 4000)
    return crowd(world, 100, lambda n: repeat(post(path(n), b"", CHUNKED), piece, 1 << 20))


# Bodies above the configuration's limit were read.
def announced_bodies_over_the_limit(world):
    head = f"Content-Length: {4 << 20}"
    return crowd(world, 100, lambda n: repeat(post(path(n), b"", head), b" " * 65536, (4 << 20) - 65536))


# The same without an announcement.
def chunked_bodies_over_the_limit(world):
    return crowd(world, 100, lambda n: repeat(post(path(n), b"", CHUNKED), chunk(b" " * 65536), 3 << 20))


# Many short header fields took a multiple of their size while the body was awaited.
def many_header_fields(world):
    fields = ["a:"] * 3900
    return crowd(world, 290, lambda n: [post(path(n), b"", *fields, "Content-Length: 10")])


# Guards against headers that are a byte short and stay.
def headers_a_byte_short(world):
    field = "X: " + "x" * (MAX_HEADER_BYTES - 200)
    return crowd(world, 290, lambda n: [post(path(n), b"", field)[:-1]])


# A connection that sent ahead while its job ran could fill its receive buffer.
def requests_sent_ahead(world):
    body = job(run_ms=1000)
    request = post(path(1), body, length(body))
    return crowd(world, 290, lambda n: repeat(request, request * 20, 1 << 20))


# Answers that are not taken were kept for each connection alone.
def operator_answers_not_taken(world):
    request = b"GET /v1/configuration HTTP/1.1\r\nHost: a\r\n\r\n"
    return crowd(world, 200, lambda n: [request * 4], world.operator_port)


# Bodies a byte short at the operator's listener.
def operator_bodies_a_byte_short(world):
    body = b" " * (MAX_BODY_BYTES - 1)
    head = f"Content-Length: {MAX_BODY_BYTES}"
    return crowd(world, 290, lambda n: [post("/readyz", body, head)], world.operator_port)


# Idle connections took all places, so that ordinary callers were not accepted.
def idle_connections(world):
    return crowd(world, MAX_CONNECTIONS + 20, lambda n: [])


# Idle connections of both listeners together took more descriptors than the VM has.
def idle_connections_of_both_listeners(world):
    return (crowd(world, MAX_CONNECTIONS + 20, lambda n: [])
            + crowd(world, MAX_CONNECTIONS + 20, lambda n: [], world.operator_port))


# A body of many small values took a multiple of its size when it was parsed.
def bodies_of_many_values(world):
    values = b"[" * 1 + b"[],{}," * ((MAX_BODY_BYTES - 60) // 6)
    body = b'{"a":' + values + b"0]}"
    return crowd(world, 290, lambda n: [post(path(n), body, length(body))])


# The texts of waiting jobs were kept at any size.
def jobs_with_long_texts(world):
    body = job(run_ms=1000, spec_padding=MAX_BODY_BYTES - 1000)
    return crowd(world, 290, lambda n: [post(path(n), body, length(body))])


# A small body that asks for many tasks takes a multiple of its size.
def jobs_of_many_tasks(world):
    step = {"count": 10_000, "estimate_ms": 1}
    body = json.dumps({"spec": "{}", "best_effort": True, "steps": [step]}).encode()
    return crowd(world, 290, lambda n: [post(path(n), body, length(body))])


# The history of decisions kept ids of any length.
def jobs_with_long_ids(world):
    body = job(run_ms=1)

    def requests(client):
        for n in range(40):
            name = f"/jobs/{client:x}-{n:x}-" + "i" * 15_000
            yield post(name, body, length(body))

    return crowd(world, 100, requests)


# Messages a byte short at the listener for other VMs were bounded each alone.
def peer_messages_a_byte_short(world):
    return [Http2Client(world.peer_port, 1, (4 << 20) - 1) for _ in range(100)]


# Streams that were opened and never ended were not bounded.
def peer_streams_without_end(world):
    return [Http2Client(world.peer_port, 5000, 0) for _ in range(100)]


# Guards against limits that refuse a large request in calm.
def large_requests_in_calm(world):
    padded = job() + b" " * (MAX_BODY_BYTES - len(job()))
    small_chunks = b"".join(chunk(padded[n:n + 7]) for n in range(0, 7000, 7))
    small_chunks += chunk(padded[7000:]) + b"0\r\nA: b\r\n\r\n"
    wide = "X: " + "x" * (MAX_HEADER_BYTES - 300)
    for request in (post(path(1), padded, length(padded), wide, "Connection: close"),
                    post(path(2), small_chunks, CHUNKED, "Connection: close")):
        with socket.create_connection(("127.0.0.1", world.port), ANSWER_SECONDS) as it:
            it.sendall(request)
            answer = it.makefile("rb").read()
        if not answer.startswith(b"HTTP/1.1 200 "):
            world.problems.append(f"a large request was answered {answer[:80]}")
    return []


# Guards against limits of the configuration that are checked and not applied.
def body_over_the_configured_limit(world):
    body = job() + b" " * (MAX_BODY_BYTES + 1 - len(job()))
    status = world.answer(world.port, "POST", path(1), body)
    if status != 413:
        world.problems.append(f"a body over the configuration's limit was answered {status}")
    return []


TESTS = [endless_trailers, endless_chunk_extensions, endless_chunk_sizes, announced_bodies_a_byte_short,
         large_chunks_a_byte_short, small_chunks_a_byte_short, small_chunks_with_extensions,
         announced_bodies_over_the_limit, chunked_bodies_over_the_limit, many_header_fields,
         headers_a_byte_short, requests_sent_ahead, operator_answers_not_taken,
         operator_bodies_a_byte_short, idle_connections, idle_connections_of_both_listeners,
         bodies_of_many_values, jobs_with_long_texts, jobs_of_many_tasks, jobs_with_long_ids,
         peer_messages_a_byte_short, peer_streams_without_end, large_requests_in_calm,
         body_over_the_configured_limit]
# Queues of the configuration, where an answer must be large.
QUEUES = {operator_answers_not_taken: 2000}


def run(test, first_port):
    with tempfile.TemporaryDirectory() as work:
        world = World(work, first_port, QUEUES.get(test, 1))
        clients = []
        try:
            world.wait_until_ready()
            world.sample()
            before = world.peak
            clients = test(world)
            world.drive(clients)
            if world.peak <= ABORT_BYTES:
                world.expect_answers()
            world.judge()
        finally:
            for it in clients:
                it.close()
            world.stop()
        seen = (f"memory {before >> 20} MB before, {world.peak >> 20} MB at most, "
                f"{world.descriptors} descriptors")
        if world.problems:
            print(f"FAILED: {test.__name__} {'; '.join(world.problems)}; {seen}", flush=True)
            return False
        print(f"{test.__name__}: passed; {seen}", flush=True)
        return True


def main():
    arguments = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    arguments.add_argument("tests", nargs="*", help="default: all")
    arguments.add_argument("--first-port", type=int, default=os.environ.get("FIRST_PORT", 7960))
    options = arguments.parse_args()
    chosen = [it for it in TESTS if not options.tests or it.__name__ in options.tests]
    unknown = set(options.tests) - {it.__name__ for it in TESTS}
    if unknown:
        arguments.error(f"no such test: {', '.join(sorted(unknown))}")
    passed = sum(run(it, options.first_port) for it in chosen)
    print(f"{passed} passed, {len(chosen) - passed} failed")
    return 0 if passed == len(chosen) else 1


if __name__ == "__main__":
    sys.exit(main())
