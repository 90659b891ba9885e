"""Stand-ins for a small deployment: the platform's store, executors, the list of machines, and
clients. The scheduler processes are the project's own program, started with the command of the
deploy file. All addresses are loopback addresses."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from bisect import bisect_right
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
# Figures of the site karatula-hq.
STORE_ANSWER_S = 0.004
VALUE_BYTES = 1048576
TXN_ENTRIES = 32
PAGE_ITEMS = 500
ENDS_PER_ANSWER = 500
HOLD_MAX_MS = 10000
STOP_MS = 200
MEMORY_MB = 260


USED_PORTS = set()


def free_range(count):
    """Returns the first of some free ports, below those that the system gives to connections."""
    while True:
        first = random.randrange(20000, 32000 - count)
        ports = range(first, first + count)
        if USED_PORTS.intersection(ports):
            continue
        try:
            for port in ports:
                with socket.socket() as probe:
                    probe.bind((HOST, port))
        except OSError:
            continue
        USED_PORTS.update(ports)
        return first


class Server:
    """An HTTP/1.1 server on a free port. `handle` is a coroutine (method, path, query, headers,
    body) -> (status, value)."""

    def __init__(self, handle, delay_s=0.0):
        self.handle, self.delay_s = handle, delay_s
        self.port = 0
        self.server, self.writers = None, set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def reset(self):
        """Closes the port and resets all connections, as when the process crashes."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                answer = await self.handle(method, parts.path, query, headers, body)
                if answer is None:
                    return
                status, value = answer
                payload = json.dumps(value, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's key-value store."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.revisions, self.changes = [], []
        self.leases = {}
        self.waiters = []
        self.refused = 0
        self.deletes = 0
        self.watch_seen = {}
        self.is_down, self.down_since = False, 0.0
        self.watches_hear, self.compacted = True, 0
        self.server = Server(self.handle, STORE_ANSWER_S)

    async def open(self):
        await self.server.open()
        self.expiry = asyncio.create_task(self.expire())
        return self

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            if self.is_down:
                continue
            now = time.monotonic()
            for number in [n for n, (_, ends) in self.leases.items() if ends <= now]:
                self.end_lease(number)

    def end_lease(self, number):
        if self.leases.pop(number, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease"] == number]
        if keys:
            self.revision += 1
            for key in keys:
                self.drop(key)
            self.wake()
        return True

    def wake(self):
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def change(self, entry):
        self.revisions.append(self.revision)
        self.changes.append(entry)

    def set(self, key, value, lease=0):
        created = self.items[key]["create_rev"] if key in self.items else self.revision
        item = dict(key=key, value=value, revision=self.revision, create_rev=created, lease=lease)
        self.items[key] = item
        self.change(item)

    def drop(self, key):
        if self.items.pop(key, None) is not None:
            self.change(dict(key=key, revision=self.revision, removed=True))

    def put(self, key, value):
        """Writes a key as operators and executors do."""
        self.revision += 1
        self.set(key, base64.b64encode(json.dumps(value).encode()).decode())
        self.wake()

    def remove(self, key):
        self.revision += 1
        self.drop(key)
        self.wake()

    def set_down(self, is_down):
        """While the store is down it answers 503 and has done nothing; leases pause."""
        now = time.monotonic()
        if self.is_down and not is_down:
            away = now - self.down_since
            self.leases = {n: (ttl, ends + away) for n, (ttl, ends) in self.leases.items()}
        self.is_down, self.down_since = is_down, now
        self.record.line(f"store: {'down, answers 503' if is_down else 'serves again'}")
        self.wake()

    def compact(self):
        """Drops the history; watches that wait are cut."""
        self.compacted = self.revision
        self.revisions, self.changes = [], []
        self.record.line(f"store: dropped its history up to revision {self.compacted}")
        self.watches_hear = True
        self.wake()

    def value(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    async def handle(self, method, path, query, headers, body):
        if self.is_down:
            return 503, {}
        if path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, dict(store_revision=self.revision)
            return 200, dict(item, store_revision=self.revision)
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page, size = [], 0
            for key in keys:
                size += len(self.items[key]["value"])
                if page and (len(page) >= PAGE_ITEMS or size > 1_000_000):
                    break
                page.append(self.items[key])
            return 200, dict(
                items=page, truncated=len(page) < len(keys), store_revision=self.revision
            )
        if path == "/kv-watch":
            prefix, after = query["prefix"], int(query["after"])
            until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while True:
                if self.is_down:
                    return 503, {}
                if after < self.compacted:
                    return 410, {}
                at = bisect_right(self.revisions, after)
                events = [c for c in self.changes[at:] if c["key"].startswith(prefix)]
                events = events if self.watches_hear else []
                left = until - time.monotonic()
                if events or left <= 0:
                    now = time.monotonic()
                    for event in events:
                        self.watch_seen.setdefault((event["key"], event["revision"]), now)
                    revision = self.revision if self.watches_hear else after
                    return 200, dict(events=events, store_revision=revision)
                waiter = asyncio.get_running_loop().create_future()
                self.waiters.append(waiter)
                await asyncio.wait([waiter], timeout=left)
        if path == "/kv-txn":
            return self.transact(json.loads(body))
        if path == "/kv-lease":
            ttl = max(1000, min(600_000, int(json.loads(body)["ttl_ms"])))
            self.revision += 1
            self.leases[self.revision] = (ttl, time.monotonic() + ttl / 1000)
            return 200, dict(lease=self.revision, ttl_ms=ttl)
        if path.startswith("/kv-keep/"):
            number = int(path.rsplit("/", 1)[1])
            if number not in self.leases:
                return 404, {}
            ttl, _ = self.leases[number]
            self.leases[number] = (ttl, time.monotonic() + ttl / 1000)
            return 200, dict(ttl_ms=ttl)
        if path.startswith("/kv-lease-end/"):
            return (200 if self.end_lease(int(path.rsplit("/", 1)[1])) else 404), {}
        return 400, {}

    def transact(self, txn):
        expected, writes, deletes = (txn.get(k, []) for k in ("expected", "writes", "deletes"))
        if len(expected) + len(writes) + len(deletes) > TXN_ENTRIES:
            self.record.line("store: refused a transaction of too many entries")
            return 400, {}
        for write in writes:
            # The value in bytes, from its base64 text.
            text = write["value"]
            size = len(text) // 4 * 3 - text.count("=", -2)
            if size > VALUE_BYTES or len(write["key"]) > 200:
                self.refused += 1
                if self.refused <= 3 or self.refused % 100 == 0:
                    self.record.line(
                        f"store: refused a value of {size} bytes for {write['key']}; at most "
                        f"{VALUE_BYTES} are allowed (refusal {self.refused})"
                    )
                return 400, {}
        revision = lambda key: self.items[key]["revision"] if key in self.items else 0
        if any(revision(row["key"]) != row["revision"] for row in expected):
            items = [self.items[row["key"]] for row in expected if row["key"] in self.items]
            return 412, dict(items=items)
        if any(w.get("lease", 0) and w["lease"] not in self.leases for w in writes):
            return 404, {}
        self.revision += 1
        for write in writes:
            self.set(write["key"], write["value"], write.get("lease", 0))
        for key in deletes:
            self.deletes += key in self.items
            self.drop(key)
        self.wake()
        return 200, dict(revision=self.revision)


class Run:
    def __init__(self, task, number, started, plan):
        self.task, self.number, self.started, self.plan = task, number, started, plan
        self.present_at = started
        self.stopping = None


class Executor:
    """An executor. It keeps leases, fencing tokens, runs and ends as the protocol's page says."""

    def __init__(self, world, name, service, cpu=64000, mem_mb=131072, rack="r1-1", delay_s=0.0):
        self.world, self.name, self.service = world, name, service
        self.cpu, self.mem_mb, self.rack = cpu, mem_mb, rack
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.runs, self.ends, self.last_end = {}, [], 0
        self.highest = {}
        self.state = "ready"
        self.drain_accepted = None
        self.changed = asyncio.Event()
        self.server = Server(self.handle, delay_s)
        self.starts, self.lapses, self.acked = 0, 0, 0

    async def open(self):
        await self.server.open()
        self.publish()
        self.ticking = asyncio.create_task(self.tick())
        return self

    async def crash(self, back_s):
        """Crashes; the executor is back after some seconds, under its id, and knows nothing."""
        self.server.reset()
        self.runs, self.ends, self.last_end, self.highest = {}, [], 0, {}
        self.token, self.lease_ms = 0, 0
        await asyncio.sleep(back_s)
        self.born, self.began = int(time.time() * 1000), time.monotonic()
        self.server = await Server(self.handle, self.server.delay_s).open()
        self.publish()

    async def leave(self, drain_s):
        """Drains, then ends with all that runs there; its entry and its machine are gone."""
        self.drain()
        await asyncio.sleep(drain_s)
        self.ticking.cancel()
        self.server.reset()
        for run in list(self.runs.values()):
            self.world.on_end(self, run, "gone")
        self.runs = {}
        self.state = "gone"
        self.world.executors.remove(self)
        self.world.store.remove("servers/" + self.name)

    def publish(self):
        entry = dict(
            service=self.service,
            address=self.server.address,
            zone="pasig",
            version="v1",
            slots=8,
            state=self.state,
            cold_left_ms=0,
            capacity=dict(cpu=self.cpu, mem_mb=self.mem_mb, gpu=0),
            labels=["a", self.rack],
            machine="m-" + self.name,
            born=self.born,
            sequence=1,
        )
        self.world.store.put("servers/" + self.name, entry)

    def drain(self):
        """Reports that it drains; the store accepts that now."""
        self.state = "draining"
        self.publish()
        self.drain_accepted = time.monotonic()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            now, clock = time.monotonic(), self.clock()
            lapsed = clock > self.lease_ms
            for run in list(self.runs.values()):
                if run.stopping is not None and now >= run.stopping:
                    self.end(run, "stopped")
                elif lapsed:
                    self.lapses += 1
                    self.end(run, "lapsed")
                elif run.plan.get("gang"):
                    self.world.gang_tick(self, run, now)
                elif run.plan["ms"] is not None and now - run.started >= run.plan["ms"] / 1000:
                    self.end(run, "done")

    def end(self, run, how):
        if self.runs.pop(run.task, None) is None:
            return
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.number, how, self.saved(run)])
        self.world.on_end(self, run, how)
        self.changed.set()

    def saved(self, run):
        size = run.plan.get("saved", 0)
        return "c" * size if size and time.monotonic() - run.started >= 1.0 else ""

    def percent(self, run):
        ms = run.plan["ms"]
        span = run.plan.get("startup", 900) if ms is None else ms
        return min(100, int((time.monotonic() - run.started) * 100_000 / span))

    def lists(self):
        running = [[r.task, r.number, self.saved(r), self.percent(r), 0] for r in self.runs.values()]
        return dict(
            clock_ms=self.clock(),
            born=self.born,
            running=running,
            finished=self.ends[:ENDS_PER_ANSWER],
        )

    def used(self):
        return sum(run.plan["cpu"] for run in self.runs.values())

    def extend(self, deadline):
        if deadline is not None:
            self.lease_ms = max(self.lease_ms, min(deadline, self.clock() + HOLD_MAX_MS))

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        call = json.loads(body)
        token, clock = call.get("fencing_token", 0), self.clock()
        refuse = lambda reason: (409, dict(clock_ms=clock, reason=reason))
        if token < self.token:
            return refuse("fence")
        self.token = token
        if path == "/hold":
            self.extend(call.get("deadline_ms"))
            cursor = call.get("ack_cursor", 0)
            for end in self.ends:
                if end[0] <= cursor:
                    self.acked += 1
                    self.world.on_ack(self, end)
            self.ends = [end for end in self.ends if end[0] > cursor]
            until = time.monotonic() + call.get("wait_ms", 0) / 1000
            while not self.ends and time.monotonic() < until:
                self.changed.clear()
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            return 200, self.lists()
        task, number = call["task"], call["run"]
        if path == "/run-start":
            if call["deadline_ms"] < clock:
                return refuse("late")
            self.extend(call["deadline_ms"])
            known = self.runs.get(task)
            if known and known.number == number:
                return 200, dict(clock_ms=clock)
            if number <= self.highest.get(task, 0):
                return refuse("old")
            plan = self.world.plan_of(task)
            if plan is None:
                self.world.record.line(f"executor {self.name}: was told to start {task}, which no client sent")
                return 400, {}
            if self.used() + plan["cpu"] > self.cpu or self.state == "gone":
                return refuse("room")
            self.highest[task] = number
            run = Run(task, number, time.monotonic(), plan)
            self.runs[task] = run
            self.starts += 1
            self.world.on_start(self, run)
            return 200, dict(clock_ms=clock)
        if path == "/run-stop":
            known = self.runs.get(task)
            self.highest[task] = max(self.highest.get(task, 0), number)
            if known and known.number == number and known.stopping is None:
                known.stopping = time.monotonic() + self.world.stop_s
            return 200, dict(clock_ms=clock)
        if path == "/pace":
            return 200, dict(clock_ms=clock)
        return 400, {}


class Scheduler:
    """A process of the system, with its settings and log in the temporary folder."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.internal = free_range(19)
        self.front, self.ready, self.control = range(self.internal + 16, self.internal + 19)
        self.settings = os.path.join(world.folder, name + ".toml")
        self.log = os.path.join(world.folder, name + ".log")
        self.process = None
        # Its own way to the store, which can be cut.
        self.way = Server(self.pass_on, 0)
        self.is_cut = False

    async def pass_on(self, *call):
        """Passes a call on to the store; while this machine is cut off, nothing gets through."""
        if self.is_cut:
            await asyncio.sleep(3600)
        await asyncio.sleep(STORE_ANSWER_S)
        answer = await self.world.store.handle(*call)
        if self.is_cut:
            await asyncio.sleep(3600)
        return answer

    def write_settings(self):
        store, cloud = self.way.address, self.world.cloud.address
        text = f"""
node_name = "{self.name}"
role = "scheduler"
machine_class = "edge"
serves = ["edge"]
ip = "{HOST}"
zone = "pasig"
region = "luzon"
internal_ports = [{self.internal},{self.internal + 15}]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry_mode = "vip"
heartbeat_ms = 1500
policies = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
control_mode = "invoke"
advice = ""
[zones]
pasig = "luzon"
[listen_addrs]
frontend = "{HOST}:{self.front}"
readiness = "{HOST}:{self.ready}"
control_plane = "{HOST}:{self.control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = {MEMORY_MB}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
stable_window_ms = 3000
ack_ms = 4000
catchup_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
quota_overage = 0.1
recovery_s = 12
hold_max_ms = {HOLD_MAX_MS}
stop_ms = {STOP_MS}
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = {self.world.status_s}
far_x = 2
checkpoint_s = 1
restore_ms = 100
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
require_fence = false
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4000
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = {VALUE_BYTES}
ttl_min_ms = 1000
[cloud_api]
address = "{cloud}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"""
        with open(self.settings, "w") as file:
            file.write(text)

    async def start(self):
        if self.way.server is None:
            await self.way.open()
        self.write_settings()
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["scheduler"]["run"].split()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["DOTTERELSHORE_NODE_FILE"] = self.settings
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        return self

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                return int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1)) / 1024
        except (OSError, AttributeError):
            return 0.0

    def kill(self, number=signal.SIGKILL):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


class Record:
    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")


class World:
    """One small deployment, its clients, and what they see."""

    def __init__(self, folder, delay_s=0.0, status_s=120):
        self.status_s = status_s
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.delay_s = delay_s
        self.stop_s = 0.05
        self.store = Store(self.record)
        self.cloud = Server(self.machines)
        self.executors, self.schedulers = [], []
        self.jobs, self.broken = {}, []
        self.starts, self.ends, self.acks = [], [], []
        self.version = 0
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    async def open(self, schedulers=2):
        await self.store.open()
        await self.cloud.open()
        for number in range(schedulers):
            self.schedulers.append(await Scheduler(self, f"edge-pasig-{number + 1}").start())
        return self

    async def add_executor(self, name, service, **more):
        more.setdefault("delay_s", self.delay_s)
        executor = await Executor(self, name, service, **more).open()
        self.executors.append(executor)
        return executor

    async def machines(self, method, path, query, headers, body):
        if path != "/machines":
            return 400, {}
        rows = [
            dict(
                machine="m-" + e.name,
                pool=e.service,
                state="up",
                zone="pasig",
                labels=["a", e.rack],
                capacity=dict(cpu=e.cpu, mem_mb=e.mem_mb, gpu=0),
                id=e.name,
            )
            for e in self.executors
        ]
        return 200, dict(machines=rows, next_token=None)

    def configure(self, routes, services, tenants):
        """Writes a configuration. `routes`: name, prefix, service and more of each route."""
        self.version += 3
        rows = []
        for route in routes:
            row = dict(
                host="pule25.example",
                route_type="non_idempotent",
                timeout_ms=3000,
                target_latency_ms=600,
                priority=0,
                attempts=2,
                stretch=1.6,
                public=False,
            )
            row.update(route)
            rows.append(row)
        service = lambda name: dict(
            name=name,
            health_path="/health",
            max_conns=64,
            protocol="h1",
            tls=False,
            rejects_overload=True,
            spare=False,
        )
        value = dict(
            version=self.version,
            routes=rows,
            services=[service(name) for name in services],
            limits=dict(header_bytes=16384, body_bytes=262144, header_timeout_ms=3000, idle_timeout_ms=15000),
            tenants=tenants,
        )
        self.store.put("op/config", value)
        self.record.line(f"operator: configuration {self.version} is acknowledged")

    # Clients.

    async def call(self, scheduler, method, path, body=None, key="key-a", deadline_ms=3000):
        """One call of a client; returns the status and the value, or (0, None) without answer."""
        payload = json.dumps(body).encode() if body is not None else b""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: pule25.example\r\nAuthorization: Token {key}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(payload)}\r\nConnection: close\r\n\r\n"
        )

        async def exchange():
            reader, writer = await asyncio.open_connection(HOST, scheduler.front)
            try:
                writer.write(head.encode() + payload)
                await writer.drain()
                answer = await reader.read()
            finally:
                writer.close()
            head_bytes, _, text = answer.partition(b"\r\n\r\n")
            if not head_bytes:
                return 0, None
            status = int(head_bytes.split(b" ", 2)[1])
            try:
                return status, json.loads(text)
            except ValueError:
                return status, None

        try:
            return await asyncio.wait_for(exchange(), deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return 0, None

    async def submit(self, path, job_id, body, plans, key="key-a", tries=5, quiet=False):
        """Hands a job in, and again at other machines after no answer, 502 or 504. `plans` has
        what the executors need to know of each step. Returns the last status."""
        self.jobs.setdefault(job_id, dict(plans=plans, body=body, accepted=None, path=path, key=key))
        status = 0
        for attempt in range(tries):
            scheduler = self.schedulers[attempt % len(self.schedulers)]
            status, _ = await self.call(scheduler, "POST", path + job_id, body, key)
            if not quiet:
                self.record.line(f"client: POST {path}{job_id} at {scheduler.name}: {status}")
            if 200 <= status < 300:
                self.jobs[job_id]["accepted"] = time.monotonic()
                break
            if status in (429, 503):
                await asyncio.sleep(1)
        return status

    async def state(self, path, job_id, key="key-a", at=0):
        """Asks for a job's state, three times at most."""
        for attempt in range(3):
            scheduler = self.schedulers[(at + attempt) % len(self.schedulers)]
            status, value = await self.call(scheduler, "GET", path + job_id, key=key)
            if status == 200 and value:
                return value.get("state")
            if status == 410:
                return "410"
        return f"no answer ({status})"

    async def ready(self, path, key="key-a", wait_s=20):
        """Waits until every machine knows the configuration and the queue answers."""
        until = time.monotonic() + wait_s
        while time.monotonic() < until:
            answers = [await self.call(s, "GET", path, key=key) for s in self.schedulers]
            if all(status == 200 for status, _ in answers):
                self.record.line("all machines answer")
                return True
            await asyncio.sleep(0.2)
        self.record.line(f"the machines do not answer: {answers}")
        return False

    # What executors ask and tell.

    def plan_of(self, task):
        job_id, _, step, _ = task.rsplit(".", 3)
        job = self.jobs.get(job_id)
        return job["plans"][int(step)] if job else None

    def on_start(self, executor, run):
        self.starts.append((time.monotonic(), run.task, run.number, executor))

    def on_end(self, executor, run, how):
        self.ends.append((time.monotonic(), run.task, run.number, executor, how))

    def on_ack(self, executor, end):
        self.acks.append((time.monotonic(), end[1], end[2], executor, end[3]))

    def gang_tick(self, executor, run, now):
        raise NotImplementedError

    def break_rule(self, text):
        self.broken.append(text)
        self.record.line("BROKEN " + text)

    def keep_logs(self):
        """Copies the last lines of the processes' logs into the record."""
        for scheduler in self.schedulers:
            try:
                with open(scheduler.log, errors="replace") as file:
                    lines = file.readlines()
            except OSError:
                continue
            self.record.line(f"last lines of the log of {scheduler.name}:")
            for line in lines[-12:]:
                self.record.file.write("    " + line[:300].rstrip() + "\n")

    async def close(self):
        for scheduler in self.schedulers:
            scheduler.kill()
        for scheduler in self.schedulers:
            if scheduler.process:
                await scheduler.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, body, limit_s=112, world_class=World, **more):
    """Runs a case: 1 if a rule was broken, 0 if all held, 2 if it could not run."""

    async def run():
        program = os.path.join(ROOT, "target", "release", "dotterelshore-scheduler")
        if not os.path.exists(program):
            print("the program is not built")
            return 2
        world = world_class(folder, **more)
        result = 2
        try:
            ran = await asyncio.wait_for(body(world), limit_s)
            world.keep_logs()
            result = 2 if ran is False else 1 if world.broken else 0
        except asyncio.TimeoutError:
            world.record.line("the case took too long")
        finally:
            await world.close()
            world.record.line(f"result {result}: {len(world.broken)} breaks")
        for text in world.broken[:5]:
            print(text)
        return result

    sys.exit(asyncio.run(run()))
