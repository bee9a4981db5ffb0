"""Starts the project's programs on loopback addresses and plays the platform, runners and clients.

The stand-ins follow the users' pages: runners announce themselves every `HEARTBEAT_MS`, echo `Attempt-Id`, sign
their answers and carry out one order at a time; clients send `Attempt-Id`, `Deadline-Ms` and the like.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "fescuebay")
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HEARTBEAT_MS = 1200
GRACE_S = 8
FRONT, READY, CONTROL, PEERS = 8149, 8141, 8144, 7380

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_net():
    """The first two numbers of loopback addresses at which nobody listens."""
    for _ in range(200):
        net = (random.randint(20, 250), random.randint(1, 250))
        try:
            for last in range(1, 20):
                with socket.socket() as probe:
                    probe.bind((f"127.{net[0]}.{net[1]}.{last}", CONTROL))
            return net
        except OSError:
            continue
    raise CannotRun("no free addresses")


class Machine:
    """One process of the project and its settings file."""

    def __init__(self, rig, role, number, ip, text):
        self.rig, self.role, self.number, self.ip = rig, role, number, ip
        self.name = f"{role}-{number}"
        self.settings = os.path.join(rig.folder, f"{self.name}.ini")
        self.log = os.path.join(rig.folder, f"{self.name}.log")
        self.process = None
        with open(self.settings, "w") as file:
            file.write(text)

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["FESCUEBAY_BOOT"] = self.settings
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "serve", "--role", self.role], cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.rig.record.note(f"{self.name} at {self.ip} starts")

    def send(self, number):
        self.rig.record.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None


class Rig:
    """The machines of one case."""

    def __init__(self, folder, voters=5, routers=3, fencing=True, lease_ms=3000, budget_slack=56, budget_ratio=0.2):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built")
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = free_net()
        self.fencing, self.lease_ms = fencing, lease_ms
        self.budget_slack, self.budget_ratio = budget_slack, budget_ratio
        self.voters = [self.machine("voter", n, self.ip(n + 1), voters) for n in range(voters)]
        self.routers = [self.machine("router", n, self.ip(n + 1 + voters), voters) for n in range(routers)]
        self.next_ip = 1 + voters + routers

    def ip(self, last):
        return f"127.{self.net[0]}.{self.net[1]}.{last}"

    def new_ip(self):
        self.next_ip += 1
        return self.ip(self.next_ip)

    def machine(self, role, number, ip, voters):
        """The settings as `deploy/vm.ini` has them filled in."""
        seeds = ",".join(f"{self.ip(n + 1)}:{CONTROL}" for n in range(min(3, voters)))
        listen = (f"callers = {ip}:{FRONT}\nreadiness = {ip}:{READY}\n" if role == "router"
                  else f"control = {ip}:{CONTROL}\n")
        memory = 260 if role == "router" else 256
        data = os.path.join(self.folder, f"data-{number}")
        folders = f"data_folder = {data}/log\ncache_folder = {data}/cache\n" if role == "voter" else ""
        text = (f"[vm]\nrole = {role}\nip = {ip}\navailability_zone = zone-{number % 3}\n{listen}"
                f"peer_port = {PEERS}\nmemory_mb = {memory}\n\n"
                f"[group]\ncluster = fescuebay\nfirst = {seeds}\nmay_form = true\n"
                f"max_lost = {(voters - 1) // 2}\n{folders}\n"
                f"[targets]\nheartbeat_ms = {HEARTBEAT_MS}\ntakeover_ms = {self.lease_ms}\n"
                f"checks_fencing = {str(self.fencing).lower()}\n\n"
                f"[retries]\nratio = {self.budget_ratio}\nslack = {self.budget_slack}\nwindow_s = 10\n\n"
                f"[stop]\nlimit_s = {GRACE_S}\n")
        return Machine(self, role, number, ip, text)

    def start(self):
        for machine in self.voters + self.routers:
            machine.start()

    def control_addresses(self):
        return [(voter.ip, CONTROL) for voter in self.voters]

    async def call_control(self, method, path, body, attempts=100, pause=0.2, first=0):
        """Calls the daemons that serve control, one after the other, until one answers with 2xx."""
        addresses = self.control_addresses()
        for attempt in range(attempts):
            address = addresses[(first + attempt) % len(addresses)]
            try:
                answer = await asyncio.wait_for(request(address, method, path, {}, body), 1.0)
                if 200 <= answer.status < 300:
                    return address, answer
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                pass
            await asyncio.sleep(pause)
        raise CannotRun(f"{method} {path} is never acknowledged")

    async def configure(self, document):
        body = json.dumps(document).encode()
        address, _ = await self.call_control("PUT", "/api/config", body)
        self.record.note(f"configuration {document['version']} is acknowledged by {address[0]}")

    async def until_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        for router in self.routers:
            while True:
                try:
                    answer = await asyncio.wait_for(request((router.ip, READY), "GET", "/api/readyz", {}, b""), 1.0)
                    if answer.status == 200:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                    pass
                if time.monotonic() > end:
                    raise CannotRun(f"{router.name} is not ready")
                await asyncio.sleep(0.1)

    def leader(self):
        """The voter that said last that it leads, by the logs. It serves to choose whom to stop, never to judge."""
        found = None
        for voter in self.voters:
            with open(voter.log, errors="replace") as log:
                for line in log:
                    if "leading in term" in line and "no longer" not in line:
                        term = json.loads(line).get("term", 0)
                        if found is None or term > found[0]:
                            found = (term, voter)
        return found[1] if found else None

    def stop(self):
        for machine in self.voters + self.routers:
            if machine.is_running():
                machine.process.kill()
        for machine in self.voters + self.routers:
            if machine.process is not None:
                machine.process.wait()
        if os.environ.get("KEEP") is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept:", self.folder)


class Answer:
    """An answer as its client saw it. `is_complete` is false if it broke off."""

    def __init__(self, status, headers, body, is_complete):
        self.status, self.headers, self.body, self.is_complete = status, headers, body, is_complete


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


async def read_body(reader, headers, on_data=None, reads_to_end=True):
    """The body, and whether it is complete."""
    body = b""

    def add(data):
        nonlocal body
        body += data
        if on_data and data:
            on_data(data)

    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return body, True
                add(data[:-2])
        elif "content-length" in headers:
            left = int(headers["content-length"])
            while left > 0:
                data = await reader.read(min(left, 65536))
                if not data:
                    return body, False
                left -= len(data)
                add(data)
            return body, True
        elif reads_to_end:
            while True:
                data = await reader.read(65536)
                if not data:
                    return body, True
                add(data)
        return body, True
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return body, False


def encode_request(method, path, headers, body):
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def exchange(reader, writer, method, path, headers, body, on_data=None):
    writer.write(encode_request(method, path, headers, body))
    await writer.drain()
    start, answered = await read_head(reader)
    status = int(start.split(" ")[1])
    body, is_complete = await read_body(reader, answered, on_data)
    return Answer(status, answered, body, is_complete)


async def request(address, method, path, headers, body, on_data=None):
    """Sends one request on a new connection."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        headers = {"Host": f"{address[0]}:{address[1]}", **headers}
        return await exchange(reader, writer, method, path, headers, body, on_data)
    finally:
        writer.close()


class Runner:
    """A runner: announces itself, and serves health checks, reports, orders and requests.

    `serve_request(runner, method, path, headers, body, writer)` answers a request of a client.
    """

    def __init__(self, rig, service, name, slots, serve_request, models=None, specs=None, load_s=0.3, address=None,
                 zone="zone-0", on_order=None):
        self.rig, self.service, self.name, self.slots = rig, service, name, slots
        self.serve_request, self.zone = serve_request, zone
        self.models = list(models) if models is not None else None
        self.specs, self.load_s, self.on_order = specs or {}, load_s, on_order
        self.ip = rig.new_ip()
        self.listen_address = (self.ip, 8080)
        self.address = address or self.listen_address
        self.born = int(time.time() * 1000)
        self.sequence, self.orders, self.is_busy = 0, 0, False
        self.software = "v1"
        self.silent_until = 0.0
        self.beat_to = 0
        self.tasks, self.beats, self.connections = [], None, set()

    def is_silent(self):
        return time.monotonic() < self.silent_until

    async def pause_if_silent(self):
        """A silent runner stands still: it reads and writes nothing, and goes on afterwards."""
        while self.is_silent():
            await asyncio.sleep(max(0.0, self.silent_until - time.monotonic()))

    async def start(self):
        await self.listen()
        self.begin_beats()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, *self.listen_address)

    def begin_beats(self):
        self.beats = asyncio.create_task(self.beat())

    def crash(self):
        """Ends without a word: its connections are reset, and new ones are refused."""
        self.stop()
        for writer in list(self.connections):
            writer.transport.abort()

    def stop(self):
        self.server.close()
        for task in self.tasks + [self.beats]:
            if task is not None:
                task.cancel()

    def description(self):
        self.sequence += 1
        text = {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
                "version": self.software, "slots": self.slots, "state": "ready", "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.born}
        if self.models is not None:
            text["stage"] = "unified"
            text["models"] = [{"name": model, "version": 1, "adapters": []} for model in self.models]
        return text

    async def beat(self):
        addresses = self.rig.control_addresses()
        while True:
            await self.pause_if_silent()
            body = json.dumps(self.description()).encode()
            for _ in range(len(addresses)):
                address = addresses[self.beat_to % len(addresses)]
                try:
                    answer = await asyncio.wait_for(
                        request(address, "PUT", f"/api/instances/{self.name}", {}, body), 1.0)
                    if 200 <= answer.status < 300:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                    pass
                self.beat_to += 1
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                start, headers = await read_head(reader)
                method, path, _ = start.split(" ")
                body, is_complete = await read_body(reader, headers, reads_to_end=False)
                if not is_complete:
                    return
                await self.pause_if_silent()
                if headers.get("expect-instance", self.name) != self.name:
                    await self.answer(writer, 421, {}, b"", headers)
                elif path == "/healthz":
                    await self.answer(writer, 200, {"Instance-Id": self.name}, b"", headers)
                elif path == "/api/report":
                    report = {"stage": "unified", "models": self.description().get("models", []),
                              "busy": self.is_busy, "sequence": self.orders, "waiting": 0, "running": 0,
                              "kvUsed": 0, "kvTotal": 127000, "handles": 0, "born": self.born}
                    await self.answer(writer, 200, {"Content-Type": "application/json"},
                                      json.dumps(report).encode(), headers)
                elif path == "/api/order":
                    await self.take_order(json.loads(body), writer, headers)
                else:
                    await self.serve_request(self, method, path, headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, writer, status, headers, body, asked):
        await self.pause_if_silent()
        names = {200: "OK", 202: "Accepted", 400: "Bad Request", 409: "Conflict", 412: "Precondition Failed",
                 421: "Misdirected Request", 503: "Service Unavailable"}
        lines = [f"HTTP/1.1 {status} {names.get(status, 'X')}", f"Content-Length: {len(body)}"]
        if "attempt-id" in asked:
            lines.append(f"Attempt-Id: {asked['attempt-id']}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()

    async def take_order(self, order, writer, headers):
        if self.on_order:
            self.on_order(self, order)
        operation, model = order["operation"], order["model"]
        if self.is_busy or order.get("expected", self.orders) != self.orders:
            return await self.answer(writer, 409, {}, b"", headers)
        if (operation == "load") == (model in self.models):
            return await self.answer(writer, 200, {}, b"", headers)
        self.orders += 1
        if operation == "unload":
            self.models.remove(model)
        else:
            self.is_busy = True
            self.tasks.append(asyncio.create_task(self.load(model)))
        await self.answer(writer, 202, {}, b"", headers)

    async def load(self, model):
        await asyncio.sleep(self.load_s)
        self.models.append(model)
        self.is_busy = False


def play(folder, case):
    """Runs a case: `case(folder)` returns whether the rule was broken, and a line that says how."""
    outcome = [None]

    async def run():
        outcome[0] = await asyncio.wait_for(case(folder), 115)

    try:
        asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError) as error:
        print(f"could not run: {error!r}", flush=True)
        os._exit(NOT_RUN)
    is_broken, line = outcome[0]
    print(("rule broken: " if is_broken else "rule held: ") + line, flush=True)
    # Connections that are still open need no orderly end.
    os._exit(BROKEN if is_broken else HELD)
