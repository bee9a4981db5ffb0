"""Stand-ins of the platform for the review's scripts: operator, clients, model runners, and a forwarder that can fall
silent. They use loopback addresses and the standard library alone, and behave as the users' pages say."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "fescuebay")
ZONES = ["andina-a", "andina-b", "andina-c"]
CALLERS, READY, CONTROL, PEERS, PEERS_BEHIND = 8149, 8141, 8144, 7380, 7390
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be set up."""


def now_ms():
    return int(time.time() * 1000)


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f}  {text}\n")
        self.file.flush()


class Machines:
    """The project's own processes, each at an address of its own."""

    def __init__(self, record, voters=5, proxied_peers=False):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = self.free_net()
        self.voters = [f"{self.net}.{n + 1}" for n in range(voters)]
        self.proxied_peers = proxied_peers
        self.processes = {}

    @staticmethod
    def free_net():
        while True:
            net = f"127.{random.randint(20, 240)}.{random.randint(1, 250)}"
            try:
                probe = socket.socket()
                probe.bind((f"{net}.1", CONTROL))
                probe.close()
                return net
            except OSError:
                continue

    def settings(self, role, ip, zone):
        lines = ["[vm]", f"role = {role}", f"ip = {ip}", f"availability_zone = {zone}"]
        if role == "router":
            lines += [f"callers = {ip}:{CALLERS}", f"readiness = {ip}:{READY}"]
        else:
            lines += [f"control = {ip}:{CONTROL}"]
        lines += [f"peer_port = {PEERS}"]
        if role == "voter" and self.proxied_peers:
            lines += [f"peer_listen_port = {PEERS_BEHIND}"]
        seeds = ",".join(f"{voter}:{CONTROL}" for voter in self.voters[:3])
        lines += ["[group]", "cluster = fescuebay", f"first = {seeds}", "may_form = true", "max_lost = 2"]
        if role == "voter":
            lines += [f"data_folder = {self.folder}/{ip}/log"]
        lines += ["[targets]", "heartbeat_ms = 1200", "takeover_ms = 3000", "checks_fencing = true",
                  "[retries]", "ratio = 0.2", "slack = 56", "window_s = 10", "[stop]", "limit_s = 8"]
        path = f"{self.folder}/{ip}.ini"
        with open(path, "w") as file:
            file.write("\n".join(lines) + "\n")
        return path

    def start(self, role, ip, zone):
        os.makedirs(f"{self.folder}/{ip}", exist_ok=True)
        path = self.settings(role, ip, zone)
        log = open(f"{self.folder}/{ip}.log", "ab")
        environment = {"FESCUEBAY_BOOT": path, "PATH": os.environ.get("PATH", "")}
        self.processes[ip] = subprocess.Popen(
            [PROGRAM, "serve", "--role", role], env=environment, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
            stderr=log)
        self.record.line(f"start {role} {ip} in {zone}")

    def kill(self, ip, name="KILL"):
        self.record.line(f"SIG{name} to {ip}")
        self.processes[ip].send_signal(getattr(signal, "SIG" + name))

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        # Errors that the processes logged go into the record; the rest is removed.
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".log"):
                with open(f"{self.folder}/{name}", errors="replace") as log:
                    errors = [line.strip()[:400] for line in log if '"level":"error"' in line]
                for line in errors[:10]:
                    self.record.line(f"logged by {name.removesuffix('.log')}: {line}")
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


async def call(ip, port, method, path, body=b"", headers=(), timeout_s=1.0, host="control", source=None):
    """One call on a connection of its own: its status and body, or (0, b"") without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            local = (source, 0) if source else None
            reader, writer = await asyncio.open_connection(ip, port, local_addr=local)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(body)}",
                     "Content-Type: application/json", "Connection: close", *headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            text = await reader.read(-1)
            head, _, rest = text.partition(b"\r\n\r\n")
            return int(head.split()[1]), rest
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, b""
    finally:
        if writer:
            writer.close()


class Operator:
    """Sends a configuration again, to any daemon, until it is accepted."""

    def __init__(self, record, voters):
        self.record, self.voters = record, voters

    async def put(self, document, for_s=20):
        end = time.monotonic() + for_s
        while time.monotonic() < end:
            voter = random.choice(self.voters)
            status, _ = await call(voter, CONTROL, "PUT", "/api/config", json.dumps(document).encode())
            if status == 200:
                self.record.line(f"configuration {document['version']} acknowledged by {voter}")
                return
            await asyncio.sleep(0.3)
        raise CannotRun("the configuration was not accepted")


class Runner:
    """A model runner: heartbeats, orders, reports, and streams of `events` events with `gap_s` between them."""

    def __init__(self, record, voters, ip, identity, service, zone, version, models, on_disk, events, gap_s,
                 slots=64, brittle=None):
        self.slots, self.brittle, self.running, self.turned_away = slots, brittle, 0, 0
        self.record, self.voters, self.ip, self.id = record, voters, ip, identity
        self.service, self.zone, self.version = service, zone, version
        self.models, self.on_disk = list(models), list(on_disk)
        self.events, self.gap_s = events, gap_s
        self.state, self.sequence, self.orders, self.fence, self.busy = "ready", 0, 0, 0, False
        self.born = now_ms()
        self.beat_at, self.server, self.tasks, self.writers, self.ran = None, None, [], set(), []

    async def start(self, port=8080):
        self.port = port
        self.server = await asyncio.start_server(self.serve, self.ip, port)
        self.tasks.append(asyncio.create_task(self.beats()))
        self.record.line(f"runner {self.id} version {self.version} born {self.born} starts at {self.ip}:{port}")

    def description(self):
        models = [{"name": model, "version": 1, "adapters": []} for model in self.models]
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state, "coldRemainingMs": 0,
                "stage": "unified", "models": models, "sequence": self.sequence, "born": self.born,
                "atHand": {"inMemory": [], "onDisk": self.on_disk}}

    async def beat(self):
        """One heartbeat, at one daemon after the other until one acknowledges it."""
        self.sequence += 1
        body = json.dumps(self.description()).encode()
        path = f"/api/instances/{self.id}"
        first = [self.beat_at] if self.beat_at else []
        for voter in first + random.sample(self.voters, len(self.voters)):
            status, answer = await call(voter, CONTROL, "PUT", path, body, source=self.ip)
            if 200 <= status < 300:
                named = json.loads(answer or b"{}").get("heartbeatAddr")
                self.beat_at = named.split(":")[0] if named else voter
                return True
            self.beat_at = None
        return False

    async def beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self, linger_s):
        """A planned end: it drains, serves on for `linger_s`, signs off, and exits."""
        self.state = "draining"
        acknowledged = await self.beat()
        self.record.line(f"runner {self.id} version {self.version} drains, acknowledged: {acknowledged}")
        await asyncio.sleep(linger_s)
        await self.sign_off_and_exit()

    async def sign_off_and_exit(self):
        for task in self.tasks:
            task.cancel()
        for voter in random.sample(self.voters, len(self.voters)):
            status, _ = await call(voter, CONTROL, "DELETE", f"/api/instances/{self.id}", source=self.ip)
            if 200 <= status < 300:
                break
        self.record.line(f"runner {self.id} version {self.version} exits, DELETE acknowledged: {status}")
        self.stop()

    def stop(self):
        for task in self.tasks:
            task.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, path, _ = head[0].split(" ", 2)
                headers = {}
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self.answer(writer, method, path, headers, body)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, method, path, headers, body):
        expected = headers.get("expect-instance")
        if expected is not None and expected != self.id:
            return await self.reply(writer, 421, {"Instance-Id": self.id}, headers)
        if path == "/api/report":
            report = {**self.description(), "busy": self.busy, "sequence": self.orders, "waiting": 0, "running": 0,
                      "kvUsed": 0, "kvTotal": 127053, "handles": 0}
            return await self.reply(writer, 200, {}, headers, json.dumps(report).encode())
        if path == "/api/order":
            return await self.reply(writer, self.order(json.loads(body)), {}, headers)
        if path == "/healthz":
            status = 200 if self.state == "ready" else 503
            return await self.reply(writer, status, {"Instance-Id": self.id}, headers)
        model = headers.get("model", "").split("/")[0]
        if model not in self.models:
            return await self.reply(writer, 421, {"Instance-Id": self.id}, headers)
        if self.running >= self.slots:
            self.turned_away += 1
            return await self.reply(writer, 503, {"Not-Executed": "1"}, headers)
        self.running += 1
        try:
            await self.stream(writer, headers)
        finally:
            self.running -= 1

    def order(self, order):
        if order.get("fencingToken", 0) < self.fence:
            return 412
        self.fence = max(self.fence, order.get("fencingToken", 0))
        if self.busy or order.get("expected", self.orders) != self.orders:
            return 409
        if "adapter" in order:
            return 400
        holds = order["model"] in self.models
        if holds == (order["operation"] == "load"):
            return 200
        self.orders += 1
        self.busy = True
        self.tasks.append(asyncio.create_task(self.carry_out(order)))
        self.record.line(f"runner {self.id} version {self.version} is ordered: {order}")
        return 202

    async def carry_out(self, order):
        if order["operation"] == "load":
            await asyncio.sleep(0.78 if order["model"] in self.on_disk else 6.0)
            self.models.append(order["model"])
            self.on_disk = sorted(set(self.on_disk + [order["model"]]))
        else:
            await asyncio.sleep(0.05)
            self.models.remove(order["model"])
        self.busy = False
        await self.beat()

    def notices(self):
        notices = {"Server-Leaving": "1"} if self.state == "draining" else {}
        if self.brittle is not None:
            notices["Server-Brittle"] = str(self.brittle)
        return notices

    async def reply(self, writer, status, extra, headers, body=b""):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        if "attempt-id" in headers:
            lines.append(f"Attempt-Id: {headers['attempt-id']}")
        lines += [f"{name}: {value}" for name, value in {**extra, **self.notices()}.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()

    async def stream(self, writer, headers):
        """A stream from the event after Last-Event-Id on, in chunks."""
        attempt = headers.get("attempt-id", "")
        first = int(headers["last-event-id"]) + 1 if "last-event-id" in headers else 1
        self.ran.append((attempt, first))
        self.record.line(f"runner {self.id} version {self.version} runs {attempt} from event {first}")
        lines = ["HTTP/1.1 200 OK", f"Attempt-Id: {attempt}", "Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1",
                 "Content-Type: text/event-stream", "Weight-Versions: 1", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in self.notices().items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def reset(writer):
    """Closes a connection as the end of its process would."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Forwarder:
    """Passes connections on to `to`. While it is silent for a source address, what comes from there or goes there is
    held, new connections too, and the end of a connection is not shown."""

    def __init__(self, listen, to):
        self.listen, self.to = listen, to
        self.silent, self.opened = set(), asyncio.Event()
        self.opened.set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.listen)

    def fall_silent(self, source):
        self.silent.add(source)
        self.opened.clear()

    def heal(self, source):
        self.silent.discard(source)
        self.opened.set()

    async def while_silent(self, source):
        while source in self.silent or "*" in self.silent:
            self.opened.clear()
            await self.opened.wait()

    async def serve(self, reader, writer):
        source = writer.get_extra_info("peername")[0]
        await self.while_silent(source)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.to, local_addr=(source, 0))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pump(reader, far_writer, source), self.pump(far_reader, writer, source),
                             return_exceptions=True)

    async def pump(self, reader, writer, source):
        try:
            while True:
                data = await reader.read(65536)
                await self.while_silent(source)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            await self.while_silent(source)
        finally:
            writer.close()


class Stream:
    """What a client holds of one stream, over its tries."""

    def __init__(self, number, model, host, path):
        self.number, self.model, self.host, self.path = number, model, host, path
        self.events, self.versions, self.complete, self.statuses = 0, [], False, []
        self.first_attempt, self.began_with = None, None
        self.taken_up, self.went_on, self.faults = False, False, []
        self.attempts = 0

    async def attempt(self, record, at, deadline, max_gap_s, source=None):
        """One try, from the event after the last one on. Returns how it ended: complete, broken, silent or refused."""
        self.attempts += 1
        attempt = f"{self.number:04x}{self.attempts:02x}{random.getrandbits(40):010x}"
        left_ms = int((deadline - time.monotonic()) * 1000)
        headers = [f"Attempt-Id: {attempt}", f"Model: {self.model}", "Token-Usage: 1460,600",
                   f"Prompt-Prefix: 5c1e07a2:210,{0x91bd3f00 + self.number:x}:140,{0xe4402000 + self.number:x}:1110",
                   f"Deadline-Ms: {left_ms}"]
        if self.events:
            headers += [f"Last-Event-Id: {self.events}", f"Resumes: {self.began_with}"]
        record.line(f"stream {self.number} try {self.attempts} ({attempt}) to {at} after event {self.events}")
        writer, before = None, self.events
        try:
            async with asyncio.timeout(max(left_ms, 1) / 1000):
                async with asyncio.timeout(1.0):
                    local = (source, 0) if source else None
                    reader, writer = await asyncio.open_connection(at, CALLERS, local_addr=local)
                body = b"prompt %d" % self.number
                lines = [f"POST {self.path} HTTP/1.1", f"Host: {self.host}", f"Content-Length: {len(body)}", *headers]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), max_gap_s)).decode("latin-1")
                status = int(head.split()[1])
                self.statuses.append(status)
                if status != 200:
                    fields = {line.partition(":")[0].lower(): line.partition(":")[2].strip()
                              for line in head.split("\r\n")[1:]}
                    self.retry_after_s = float(fields.get("retry-after", 0.3))
                    record.line(f"stream {self.number} try {self.attempts}: status {status}, "
                                f"Retry-After {fields.get('retry-after')}")
                    return "refused"
                text = b""
                while True:
                    size = int(await asyncio.wait_for(reader.readline(), max_gap_s), 16)
                    text += await reader.readexactly(size)
                    await reader.readexactly(2)
                    if size == 0:
                        self.complete = True
                        return "complete"
                    *events, text = text.split(b"\n\n")
                    for event in events:
                        self.take(event.decode(), attempt)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            return "broken"
        except (asyncio.TimeoutError, TimeoutError):
            return "silent"
        finally:
            if writer:
                writer.close()
            record.line(f"stream {self.number} try {self.attempts} ends: events {before} to {self.events}, "
                        f"versions {sorted(set(self.versions))}, complete {self.complete}")

    def take(self, event, attempt):
        fields = dict(line.split(": ", 1) for line in event.split("\n"))
        version, number = fields["data"].split()
        if int(number) != self.events + 1:
            self.faults.append(f"event {number} after {self.events}")
        if self.events == 0:
            self.began_with = attempt
        self.events = int(number)
        self.versions.append(version)


async def wait_until_ready(routers, for_s=20):
    end = time.monotonic() + for_s
    for router in routers:
        while (await call(router, READY, "GET", "/api/readyz"))[0] != 200:
            if time.monotonic() > end:
                raise CannotRun(f"router {router} is not ready")
            await asyncio.sleep(0.2)


def document(version, service, models, route):
    """A configuration like that of the site: one streaming route to model runners."""
    engine = {"slots": 64, "kvCapacityTokens": 127053, "kvBytes": 163840, "linkMbps": 260000.0, "moves": True,
              "backups": True, "stride": 4, "maxCount": 12, "hostMb": 150000.0, "diskMb": 1400000.0, "pinMs": 4000.0,
              "holdMs": 2000.0, "handle_s": 5.0, "weightsMb": 230000.0, "adapterSlots": 8, "loadsPerS": 3.1,
              "models": [{"name": model, "weightsMb": 72700.0, "loadS": 6.0, "adapters": 0, "adapterMb": 66.0,
                          "warmS": 0.63, "diskS": 0.84} for model in models]}
    return {"version": version, "routes": [route],
            "services": [{"name": service, "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1",
                          "tls": False, "engine": engine}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def main(case, folder):
    """Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    if not os.path.exists(PROGRAM):
        record.line("the program is not built")
        sys.exit(2)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), 115))
    except (CannotRun, asyncio.TimeoutError) as error:
        record.line(f"the case could not run: {error!r}")
        sys.exit(2)
    record.line("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
