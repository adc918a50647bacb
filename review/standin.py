"""Stand-ins for the platform's store, its machines, minions and clients, on loopback.

They follow PROTOCOL.md; the disruptions are in the scripts that use them. Everything runs in one asyncio loop of one
process, apart from the programs under review, which are processes of their own.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "reachhead-node")


class Record:
    """The events of a run, written to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def response(status, body):
    data = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    return head.encode() + data


class HttpServer:
    """A small HTTP/1.1 server; `handle(method, path, query, headers, body)` returns (status, body) or None for no answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port, backlog=512)
        return self.server.sockets[0].getsockname()[1]

    def stop(self):
        """Ends it as a killed process ends: nothing listens, and open connections are reset."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                answer = await self.handle(method, path, query, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                writer.write(response(*answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()


class Store:
    """The platform's store: rows in tables, transactions, the feed."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)
        self.address = None
        self.begun = time.monotonic()

    async def start(self):
        self.address = f"127.0.0.1:{await self.http.start('127.0.0.1', 0)}"

    def commit(self, writes, removes):
        self.version += 1
        for name, value in writes:
            self.rows[name] = (value, self.version)
            self.history.append((self.version, name, value))
        for name in removes:
            if name in self.rows:
                del self.rows[name]
                self.history.append((self.version, name, None))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value, part=""):
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.commit([((table, part, key), data)], [])

    def delete(self, table, key, part=""):
        self.commit([], [(table, part, key)])

    def get(self, table, part, key):
        row = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(row[0])) if row else None

    def entry(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2], "value": value, "versionNumber": version}

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000) + 1

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.002)
        if path == "/rows-tx":
            return self.transact(json.loads(body))
        if path == "/rows-get":
            table, part = query.get("table", ""), query.get("part", "")
            start, end = query.get("from", ""), query.get("destination")
            limit = min(int(query.get("limit") or 500), 500)
            names = sorted(
                (name for name in self.rows if name[0] == table and name[1] == part and name[2] >= start
                 and (end is None or name[2] < end)),
                key=lambda name: name[2].encode())
            rows = [self.entry(name) for name in names[:limit]]
            return 200, {"rows": rows, "hasMore": len(names) > limit, "versionNumber": self.version,
                         "currentTimeMs": self.clock()}
        if path == "/rows-parts":
            parts = sorted({name[1] for name in self.rows if name[0] == query.get("table") and name[1]})
            parts = [part for part in parts if part > query.get("after", "")]
            return 200, {"parts": parts[:1000], "hasMore": len(parts) > 1000, "versionNumber": self.version}
        if path == "/rows-feed":
            return await self.feed(query)
        return 404, {}

    def transact(self, txn):
        name = lambda row: (row["table"], row["part"], row["key"])
        parts = {name(row)[1] for field in ("expect", "writes", "remove") for row in txn.get(field, [])}
        if len(parts) > 1 and not txn.get("across"):
            return 400, {"error": "several parts"}
        tables = {name(row)[0] for field in ("writes", "remove") for row in txn.get(field, [])}
        if tables & {"op", "servers"}:
            return 403, {"error": "not the system's table"}
        for row in txn.get("expect", []):
            known = self.rows.get(name(row), (None, 0))[1]
            if known != row["versionNumber"]:
                rows = [self.entry(name(row)) for row in txn["expect"] if name(row) in self.rows]
                return 412, {"rows": rows, "versionNumber": self.version}
        self.commit([(name(row), row["value"]) for row in txn.get("writes", [])],
                    [name(row) for row in txn.get("remove", [])])
        return 200, {"versionNumber": self.version, "currentTimeMs": self.clock()}

    async def feed(self, query):
        table, after = query.get("table", ""), int(query.get("after") or 0)
        end = time.monotonic() + int(query.get("waitMs") or 0) / 1000
        while True:
            rows = []
            for version, name, value in reversed(self.history):
                if version <= after:
                    break
                if name[0] == table:
                    row = {"table": name[0], "part": name[1], "key": name[2], "versionNumber": version}
                    row.update({"deleted": True} if value is None else {"value": value})
                    rows.append(row)
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows[::-1], "versionNumber": self.version, "currentTimeMs": self.clock()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Minion:
    """A minion, one life after another under one id."""

    def __init__(self, site, machine, service, address, kind, rack, cpu):
        self.site, self.machine, self.service = site, machine, service
        self.id = f"w-{machine}"
        self.host, self.port = address
        self.kind, self.rack, self.cpu = kind, rack, cpu
        self.up = False
        self.cut = False
        self.http = None
        self.beat_task = None
        self.life = 0

    async def start(self, register_after=0.0):
        self.life += 1
        self.up = True
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token, self.deadline, self.next_end, self.sequence = 0, 0, 1, 0
        self.running, self.ended, self.barred = {}, [], {}
        self.draining = False
        self.news = asyncio.Event()
        self.http = HttpServer(self.handle)
        await self.http.start(self.host, self.port)
        self.site.record(f"minion {self.id} starts, life {self.life}, kind {self.kind}, born {self.born}")
        self.beat_task = asyncio.ensure_future(self.beat(register_after))

    def crash(self):
        """The minion's process is killed: connections are reset, nothing listens, what ran is gone."""
        self.up = False
        self.beat_task.cancel()
        self.http.stop()
        for task, run in list(self.running.items()):
            run["timer"].cancel()
            self.site.ran(self, task, run["run"], "lost with its minion")
        self.running = {}
        self.last_seen_at = time.monotonic()
        self.site.record(f"minion {self.id} crashes")

    async def beat(self, after):
        await asyncio.sleep(after)
        while True:
            self.sequence += 1
            self.beat_at = time.monotonic()
            self.site.store.put("servers", self.id, {
                "service": self.service, "address": f"{self.host}:{self.port}", "zone": self.site.zone, "version": "v1",
                "slots": 8, "state": "draining" if self.draining else "ready", "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.born,
                "capacity": {"cpu": self.cpu, "requestedMemoryMb": 32768, "gpus": 0}, "labels": [self.kind, self.rack]})
            await asyncio.sleep(self.site.beat_s)

    def clock(self):
        return 1000 + int((time.monotonic() - self.started) * 1000)

    def extend(self, deadline):
        latest = self.clock() + self.site.max_hold_ms
        self.deadline = max(self.deadline, min(deadline, latest))
        asyncio.get_running_loop().call_later((self.deadline - self.clock()) / 1000 + 0.005, self.lapse, self.life)

    def lapse(self, life):
        if self.up and life == self.life and self.clock() >= self.deadline:
            for task in list(self.running):
                self.end(task, "lapsed")

    def finish_stop(self, task, life):
        if self.up and life == self.life:
            self.end(task, "stopped")

    def end(self, task, how):
        run = self.running.pop(task, None)
        if run is None:
            return
        run["timer"].cancel()
        self.barred[task] = max(self.barred.get(task, 0), run["run"])
        self.ended.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.site.ran(self, task, run["run"], how)
        self.news.set()
        self.news = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        answer = None if self.cut else await self.answer(path, headers, body)
        return None if self.cut else answer

    async def answer(self, path, headers, body):
        expected = headers.get("x-expected-instance")
        if expected and expected != self.id:
            return 421, {}
        order = json.loads(body)
        token = order.get("fencingToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = token
        if path == "/hold":
            return await self.hold(order)
        task, run = order["task"], order["run"]
        if path == "/run-start":
            return self.run_start(task, run, order)
        if path == "/run-stop":
            self.barred[task] = max(self.barred.get(task, 0), run)
            if task in self.running and self.running[task]["run"] <= run:
                asyncio.get_running_loop().call_later(0.1, self.finish_stop, task, self.life)
        return 200, {"clockMs": self.clock()}

    def run_start(self, task, run, order):
        if order["deadlineMs"] <= self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self.extend(order["deadlineMs"])
        if task in self.running and self.running[task]["run"] >= run:
            return 200, {"clockMs": self.clock()}
        if self.barred.get(task, 0) >= run:
            return 409, {"clockMs": self.clock(), "reason": "old"}
        seconds = self.site.task_seconds(order["specification"])
        loop = asyncio.get_running_loop()
        timer = loop.call_later(seconds if seconds else 86400, self.end, task, "done")
        self.running[task] = {"run": run, "timer": timer, "at": time.monotonic(), "seconds": seconds}
        self.site.begun(self, task, run)
        return 200, {"clockMs": self.clock()}

    async def hold(self, order):
        if order.get("deadlineMs"):
            self.extend(order["deadlineMs"])
        seen = order.get("lastSeen", 0)
        self.ended = [end for end in self.ended if end[0] > seen]
        if not self.ended and order.get("waitMs"):
            try:
                await asyncio.wait_for(self.news.wait(), order["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = []
        for task, run in self.running.items():
            percent = min(100, int((now - run["at"]) * 100 / (run["seconds"] or 0.3)))
            running.append([task, run["run"], "", percent, 0])
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "ended": self.ended[:500]}


class Site:
    """A small deployment: the store, machines with minions, operators, and the programs under review."""

    zone = "hall-1"
    beat_s = 1.5
    max_hold_ms = 6000
    maintenance_s = 2.0
    # Those of armonia-sched.
    contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
    bounds = {"touchMs": 3000, "drainMs": 2000, "configApplyMs": 2000, "gangTimeoutMs": 3000, "cancel_ms": 3000,
              "noticePeriodMs": 4500}
    store_rates = (800, 2000)

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.minions = {}
        self.machines = {}
        self.nodes = {}
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.runs = []
        self.cloud = HttpServer(self.handle_cloud)
        pid = os.getpid()
        self.net = f"127.{10 + pid % 200}.{pid // 200 % 250}"
        self.lapse_task = None

    async def start(self):
        await self.store.start()
        self.cloud_address = f"127.0.0.1:{await self.cloud.start('127.0.0.1', 0)}"
        self.lapse_task = asyncio.ensure_future(self.remove_silent_entries())

    async def remove_silent_entries(self):
        """An entry is removed after three heartbeat intervals of silence."""
        while True:
            await asyncio.sleep(0.05)
            for minion in self.minions.values():
                silent = time.monotonic() - getattr(minion, "beat_at", time.monotonic())
                if not minion.up and silent > 3 * self.beat_s and ("servers", "", minion.id) in self.store.rows:
                    self.record(f"entry of {minion.id} is removed after {silent:.2f} s of silence")
                    self.store.delete("servers", minion.id)

    @staticmethod
    def task_seconds(specification):
        """A specification is a duration in milliseconds, or `lasts`."""
        word = specification.split(" ")[0]
        return None if word == "lasts" else int(word) / 1000

    def begun(self, minion, task, run):
        self.runs.append({"task": task, "run": run, "minion": minion.id, "life": minion.life, "kind": minion.kind,
                          "at": self.record.now(), "end": None, "how": None})
        self.record(f"start task={task} run={run} on {minion.id} life {minion.life} kind {minion.kind}")

    def ran(self, minion, task, run, how):
        for entry in reversed(self.runs):
            if (entry["task"], entry["run"], entry["minion"]) == (task, run, minion.id) and entry["end"] is None:
                entry["end"], entry["how"] = self.record.now(), how
                break
        self.record(f"end task={task} run={run} on {minion.id}: {how}")

    async def add_minion(self, machine, service, kind="a", rack="r1", cpu=16000):
        number = len(self.minions) + 1
        host = f"{self.net}.{100 + number}"
        with socket.socket() as sock:
            sock.bind((host, 0))
            port = sock.getsockname()[1]
        minion = Minion(self, machine, service, (host, port), kind, rack, cpu)
        self.minions[machine] = minion
        self.machines[machine] = {"machine": machine, "pool": service, "upkeep": False, "token": 0, "waves": set()}
        await minion.start()
        return minion

    def machine_state(self, machine):
        if self.machines[machine]["upkeep"]:
            return "upkeep"
        return "up" if self.minions[machine].up else "down"

    async def handle_cloud(self, method, path, query, headers, body):
        if path == "/machines":
            rows = []
            for machine, entry in sorted(self.machines.items()):
                minion = self.minions[machine]
                rows.append({"machine": machine, "pool": entry["pool"], "state": self.machine_state(machine),
                             "zone": self.zone, "labels": [minion.kind, minion.rack],
                             "capacity": {"cpu": minion.cpu, "requestedMemoryMb": 32768, "gpus": 0},
                             "id": minion.id if minion.up else None})
            return 200, {"machines": rows, "nextPageToken": None}
        if path == "/machine-upkeep":
            return await self.upkeep(json.loads(body), headers)
        if path == "/machine-move":
            return 400, {}
        return 404, {}

    async def upkeep(self, order, headers):
        return self.begin_upkeep(order, headers)

    def begin_upkeep(self, order, headers):
        entry = self.machines.get(order["machine"])
        if entry is None:
            return 400, {}
        token = int(headers.get("x-fencing-token", "0"))
        holder = headers.get("x-duty-holder")
        if token < entry["token"]:
            self.record(f"upkeep of {order['machine']} by {holder} token {token}: fence")
            return 409, {"reason": "fence"}
        entry["token"] = token
        if order["wave"] in entry["waves"]:
            return 200, {}
        if self.machine_state(order["machine"]) != "up":
            return 409, {"reason": "busy"}
        entry["waves"].add(order["wave"])
        entry["upkeep"] = True
        minion = self.minions[order["machine"]]
        self.record(f"upkeep of {order['machine']} by {holder} token {token} begins")
        self.upkeep_begun(order["machine"])
        minion.crash()
        self.store.delete("servers", minion.id)
        asyncio.ensure_future(self.finish_upkeep(order["machine"]))
        return 200, {}

    def upkeep_begun(self, machine):
        pass

    async def finish_upkeep(self, machine):
        await asyncio.sleep(self.maintenance_s)
        self.machines[machine]["upkeep"] = False
        self.record(f"upkeep of {machine} ends")
        await self.minions[machine].start()

    def configure(self, version, routes, services):
        self.store.put("op", "config", {
            "version": version,
            "routes": [{"name": name, "host": "desk.example", "pathPrefix": f"/{name}/", "service": service, "priority": 0,
                        "maxAttempts": 3, "stretch": 3.0, "targetLatencyMs": 600} for name, service in routes],
            "services": [{"name": name, "rejectsOverload": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000}})
        self.record(f"configuration {version} is written")

    def add_node(self, number):
        ip = f"{self.net}.{number}"
        ports = []
        for _ in range(3):
            with socket.socket() as sock:
                sock.bind((ip, 0))
                ports.append(sock.getsockname()[1])
        front, ready, peer = ports
        name = f"front-{number}"
        path = os.path.join(self.folder, f"{name}.toml")
        with open(path, "w") as file:
            file.write(f'''nodeName = "{name}"
role = "node"
machineClass = "front"
serves = ["front"]
ipAddress = "{ip}"
zone = "{self.zone}"
region = "region-1"
internalPortRange = [{peer},{peer}]
seedNodes = []
firstStart = true
lossCounts = false
discovery = "platform"
entryKind = "virtual_ip"
heartbeatIntervalMs = {int(self.beat_s * 1000)}
contracts = {json.dumps(self.contracts)}
orders = "request"
[zones]
{self.zone} = "region-1"
[listenAddresses]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpuShare = 0.25
cpuCores = 1
memoryMb = 260
fileDescriptors = 4100
linkBandwidthMbps = 1000.0
diskMb = 0
[bounds]
{chr(10).join(f"{name} = {value}" for name, value in self.bounds.items())}
gracePeriodS = 6
maxHoldMs = {self.max_hold_ms}
stopTimeoutMs = 900
visible_ms = 3000
finish_s = 14
migrationS = 1.5
maintenanceS = {self.maintenance_s}
fencingEnforced = true
leaseDurationMs = 3000
[platform]
address = "{self.store.address}"
form = "table"
writesPerS = {self.store_rates[0]}
readsPerS = {self.store_rates[1]}
transactionMs = 3.0
partitionWritesS = 300
rowBytes = 65536
across = true
historyRetentionS = 20
[cloudApi]
address = "{self.cloud_address}"
ratePerS = 64.0
duties = []
dutyPerS = 64.0
''')
        self.nodes[name] = {"ip": ip, "front": (ip, front), "ready": (ip, ready), "path": path, "process": None,
                            "log": os.path.join(self.folder, f"{name}.log")}
        self.start_node(name)

    def start_node(self, name):
        node = self.nodes[name]
        log = open(node["log"], "a")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""), "REACHHEAD_CONFIG": node["path"]}
        node["process"] = subprocess.Popen([PROGRAM], cwd=ROOT, env=env, stdout=log, stderr=log)
        self.record(f"{name} is started")

    def kill_node(self, name, how=signal.SIGKILL):
        process = self.nodes[name]["process"]
        process.send_signal(how)
        if how == signal.SIGKILL:
            process.wait()
        self.record(f"{name} gets {how.name}")

    def owner(self, pool):
        """The process that the lease row of a pool names."""
        row = self.store.get("lease", pool, "owner")
        return row and row.get("owner")

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        for name, node in self.nodes.items():
            while True:
                status, _ = await call(node["ready"], "GET", "/readiness", timeout=1)
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise TimeoutError(f"{name} is not ready")
                await asyncio.sleep(0.1)
        self.record("all processes are ready")

    async def wait_for(self, what, condition, seconds):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(what)
            await asyncio.sleep(0.02)

    def stop(self):
        for node in self.nodes.values():
            if node["process"] and node["process"].poll() is None:
                node["process"].kill()
                node["process"].wait()
        if os.environ.get("KEEP"):
            print("logs are in", self.folder)
            return
        for node in self.nodes.values():
            for path in (node["path"], node["log"]):
                if os.path.exists(path):
                    os.remove(path)
        os.rmdir(self.folder)


async def call(address, method, path, body=None, timeout=3.0, host="desk.example"):
    """Makes a call of a client; returns (status, body), or (None, error)."""
    writer = None
    try:
        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(*address)
            data = json.dumps(body).encode() if body is not None else b""
            head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
                    f"X-Time-Remaining: {int(timeout * 1000)}\r\nContent-Length: {len(data)}\r\n\r\n")
            writer.write(head.encode() + data)
            answer = await reader.readuntil(b"\r\n\r\n")
            lines = answer.decode("latin1").split("\r\n")
            length = next((int(line.split(":")[1]) for line in lines if line.lower().startswith("content-length")), 0)
            content = await reader.readexactly(length)
            try:
                return int(lines[0].split()[1]), json.loads(content) if content else {}
            except ValueError:
                return int(lines[0].split()[1]), {}
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        return None, type(error).__name__
    finally:
        if writer is not None:
            writer.close()


class Clients:
    """Clients that hand jobs in, again at another process until there is an answer, and ask for their states."""

    def __init__(self, site, seed=1):
        self.site = site
        self.random = random.Random(seed)
        self.jobs = {}

    def fronts(self):
        return [node["front"] for node in self.site.nodes.values()
                if node["process"] and node["process"].poll() is None]

    async def submit(self, route, body, tries=5):
        job = f"{self.random.getrandbits(64):016x}"
        entry = {"route": route, "body": body, "sent": self.site.record.now(), "accepted": None, "answers": []}
        self.jobs[job] = entry
        for _ in range(tries):
            fronts = self.fronts()
            if not fronts:
                await asyncio.sleep(0.3)
                continue
            status, _ = await call(self.random.choice(fronts), "POST", f"/{route}/{job}", body)
            entry["answers"].append(status)
            self.site.record(f"POST /{route}/{job} {json.dumps(body)} -> {status}")
            if status == 200:
                entry["accepted"] = self.site.record.now()
                break
            await asyncio.sleep(0.3)
        return job

    async def state(self, job, node=None):
        route = self.jobs[job]["route"]
        address = self.site.nodes[node]["front"] if node else self.random.choice(self.fronts())
        status, body = await call(address, "GET", f"/{route}/{job}")
        answer = body.get("state") if status == 200 else status
        self.site.record(f"GET /{route}/{job} -> {status} {answer}")
        return answer


class Waiting:
    """Watches for the end of the rule LOST: a job, or a task that lasts, with nothing running for 3 s although its turn has
    come, there is capacity for it twice over and under half of the service's capacity is in use. Only calm time counts: the
    3 s begin 4 s after the last disruption at the earliest."""

    def __init__(self, site, clients):
        self.site, self.clients = site, clients
        self.calm_from = None
        self.since = {}
        self.broken = {}
        self.task = asyncio.ensure_future(self.watch())

    def calm(self):
        self.calm_from = self.site.record.now() + 4

    async def watch(self):
        while True:
            await asyncio.sleep(0.1)
            now = self.site.record.now()
            if self.calm_from is None or now < self.calm_from:
                self.since = {}
                continue
            waiting = set(self.waiting())
            self.since = {what: since for what, since in self.since.items() if what in waiting}
            for what in waiting:
                if now - self.since.setdefault(what, now) > 3 and what not in self.broken:
                    self.broken[what] = now
                    self.site.record(f"LOST: nothing of {what} has run for 3 s of calm with capacity free")

    def waiting(self):
        now = self.site.record.now()
        runs = {}
        for run in self.site.runs:
            runs.setdefault(run["task"], []).append(run)
        for job, entry in self.clients.jobs.items():
            if entry["accepted"] is None:
                continue
            step = entry["body"]["steps"][0]
            tasks = [f"{job}.0.0.{index}" for index in range(step["count"])]
            open_ = [task for task in tasks if not any(run["how"] == "done" for run in runs.get(task, []))]
            idle = [task for task in open_ if not any(run["end"] is None for run in runs.get(task, []))]
            if not self.has_room(entry["body"], step, len(idle)):
                continue
            if step.get("longRunning"):
                for task in idle:
                    last = max((run["end"] for run in runs.get(task, [])), default=entry["accepted"])
                    if now - last > 6:
                        yield task
            elif open_ and len(idle) == len(open_):
                yield job

    def has_room(self, body, step, count):
        minions = [minion for minion in self.site.minions.values() if minion.up]
        costs = {job: entry["body"]["steps"][0]["cpu"] for job, entry in self.clients.jobs.items()}
        used = {minion.id: sum(costs[task.split(".")[0]] for task in minion.running) for minion in minions}
        fit = [minion for minion in minions if step.get("requirements") in (None, minion.kind, minion.rack)]
        places = sum((minion.cpu - used[minion.id]) // step["cpu"] for minion in fit)
        in_use = sum(used.values()) / max(1, sum(minion.cpu for minion in minions))
        return places >= 2 * max(1, count) and in_use < 0.5


def case(folder, play):
    """Runs a case: `play(site)` returns the lines that tell how the rule was broken. Exits with 1, 0 or 2."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def terminate(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, terminate)

    async def main():
        site = Site(record)
        try:
            await site.start()
            return await play(site, trouble)
        finally:
            site.stop()

    try:
        broken = asyncio.run(asyncio.wait_for(main(), 110))
    except Exception as error:  # the case could not run
        record(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        os._exit(2)
    for line in broken:
        record(line)
        print(line)
    print("the rule was broken" if broken else "the rule held")
    os._exit(1 if broken else 0)
