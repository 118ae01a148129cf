"""Stand-ins of the platform for the cases of the review: the store, the executors, and the start of
the daemons under test. Standard library only; every address is a loopback address."""

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "release", "damaskrack-edge")

# Bounds of the small installation in the users' pages (`rb-sched`).
BOUNDS = {
    "hold_max_ms": 6000, "revoke_ms": 5000, "drain_ms": 2000, "status_s": 120, "grace_s": 6,
    "heartbeat_ms": 1500, "stop_timeout_ms": 900, "cancel_ms": 3000, "contact_ms": 3000,
    "ack_ms": 4000, "finish_s": 14, "visible_ms": 3000, "config_apply_ms": 2000,
}


class CannotRun(Exception):
    """The case could not be carried out, which says nothing about the rule."""


class Record:
    """Writes what happens to `record.txt`, with the time since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()


async def read_message(reader):
    """Reads a request or a response; `None` if the channel ends before one begins."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif headers.get("content-length"):
        body = await reader.readexactly(int(headers["content-length"]))
    return line.decode().split(), headers, body


def encode_response(status, body):
    text = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {len(text)}\r\n\r\n"
    return head.encode() + text


class Server:
    """An HTTP server at a loopback address whose channels can be cut. `handle` is a coroutine that
    returns a status and a body, or `None` to leave the request unanswered."""

    def __init__(self, handle, host="127.0.0.1"):
        self.handle = handle
        self.host = host
        self.port = 0
        self.server = None
        self.channels = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """Stops listening and breaks all channels, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.channels):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                (method, target, *_), headers, body = message
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(60)
                    break
                writer.write(encode_response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()


class Store:
    """The platform's store. Each daemon has an address of its own, so that it can be cut off alone."""

    LATENCY_S = 0.004
    PAGE = 500

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.leases = {}
        self.last_lease = 100
        self.changed = asyncio.Condition()
        self.doors = []

    async def open_door(self):
        door = {"is_cut": False, "config_watch_s": 0}

        async def handle(method, target, headers, body):
            if target.startswith("/kv-watch?prefix=op/"):
                door["config_watch_s"] = time.monotonic()
            answer = None if door["is_cut"] else await self.handle(method, target, body)
            return None if door["is_cut"] else answer

        door["server"] = Server(handle)
        await door["server"].open()
        self.doors.append(door)
        return door

    def render(self, key):
        item = self.items[key]
        return {"key": key, "value": base64.b64encode(item["value"]).decode(),
                "revision": item["revision"], "created": item["created"], "lease": item["lease"]}

    def write(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"value": value, "revision": self.revision, "created": created, "lease": lease}
        self.events.append((self.revision, key, self.render(key)))

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            event = {"key": key, "revision": self.revision, "deleted": True}
            self.events.append((self.revision, key, event))

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value):
        """Writes a value as the operator or an executor."""
        self.revision += 1
        self.write(key, json.dumps(value).encode(), 0)
        await self.notify()

    async def delete(self, key):
        self.revision += 1
        self.remove(key)
        await self.notify()

    async def expire(self):
        """Ends leases in time."""
        while True:
            await asyncio.sleep(0.02)
            ended = [lease for lease, (end, _) in self.leases.items() if end <= time.monotonic()]
            for lease in ended:
                self.end_lease(lease)
            if ended:
                await self.notify()

    def end_lease(self, lease):
        del self.leases[lease]
        self.revision += 1
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def handle(self, method, target, body):
        await asyncio.sleep(self.LATENCY_S)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        body = json.loads(body) if body else {}
        if url.path == "/kv-key":
            key = query["key"]
            return (200, self.render(key)) if key in self.items else (404, {})
        if url.path == "/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and key > query.get("after", ""))
            page = keys[:self.PAGE]
            items = [self.render(key) for key in page]
            return 200, {"items": items, "has_more": len(keys) > len(page), "at": self.revision}
        if url.path == "/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]))
        if url.path == "/kv-txn":
            answer = self.commit(body)
            await self.notify()
            return answer
        if url.path == "/kv-lease":
            self.last_lease += 1
            ttl_ms = body["ttl_ms"]
            self.leases[self.last_lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl_ms}
        lease = int(url.path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        ttl_ms = self.leases[lease][1]
        if method == "DELETE":
            self.end_lease(lease)
            await self.notify()
        else:
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return 200, {"ttl_ms": ttl_ms}

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [event for at, key, event in self.events if at > after and key.startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, body):
        expected = body.get("expected_rev", [])
        revision_of = lambda key: self.items[key]["revision"] if key in self.items else 0
        if any(revision_of(row["key"]) != row["revision"] for row in expected):
            items = [self.render(row["key"]) if row["key"] in self.items
                     else {"key": row["key"], "revision": 0} for row in expected]
            return 412, {"items": items}
        puts = body.get("puts", [])
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self.write(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Adviser:
    """The service that knows which executors may run a step. It handles one call at a time for each
    calling machine, so each daemon has an address of its own."""

    def __init__(self, record, allows, decide_ms, period_ms, valid_ms):
        self.record, self.allows = record, allows
        self.decide_ms, self.period_ms, self.valid_ms = decide_ms, period_ms, valid_ms
        self.executors = {}
        self.doors = []

    async def open_door(self, name):
        turn = asyncio.Lock()

        async def handle(method, target, headers, body):
            call = json.loads(body)
            async with turn:
                await asyncio.sleep((self.decide_ms + self.period_ms * len(call["workers"])) / 1000)
            allowed = [[id, self.ticket(call["phase"], id)] for id in call["workers"]
                       if id in self.executors and self.allows(call["phase"], id)]
            self.record.write(f"adviser answers {name}: {call['phase']} of {call['workers']} may run on "
                              f"{[id for id, _ in allowed]}")
            return 200, {"allowed": allowed}

        server = Server(handle)
        await server.open()
        self.doors.append(server)
        return server

    def ticket(self, phase, id):
        return f"{phase}@{id}@{self.executors[id].born}@{time.monotonic():.3f}"

    def accepts(self, ticket, task, executor):
        phase, _, rest = ticket.partition("@")
        id, _, rest = rest.partition("@")
        born, _, issued = rest.partition("@")
        return (phase == task.rsplit(".", 1)[0] and id == executor.id and born == str(executor.born)
                and time.monotonic() <= float(issued) + self.valid_ms / 1000)


class Executor:
    """An executor. A task's `spec` tells how it runs: `{"ms": N}` ends `done` after N milliseconds of
    work, `{"lasts": true}` runs until it is stopped."""

    def __init__(self, store, record, index, cpu=16000, zone="split-a"):
        self.store, self.record = store, record
        self.id = f"i-{index:04d}"
        self.index, self.cpu, self.zone = index, cpu, zone
        self.server = Server(self.handle)
        self.is_up = False
        self.is_cut = False
        self.runs = {}
        self.starts = []  # (time, task, attempt, spec)
        self.all_ends = []  # (time, task, attempt, how)
        self.seen_ends = []  # (time, task, attempt, how) that were taken note of
        self.stop_ms = 50
        self.sequence = 0
        self.adviser = None
        self.refused_tickets = 0
        self.clock_ahead_ms = 0  # error of the host's time of day

    async def boot(self):
        self.born = int(time.time() * 1000) + self.clock_ahead_ms
        self.boot_s = time.monotonic()
        self.fence, self.last_end = 0, 0
        self.runs, self.ended, self.closed = {}, [], {}
        self.lease_end_ms = None
        self.is_up = True
        await self.server.open()
        await self.report()
        self.record.write(f"executor {self.id} is up, born {self.born}")

    async def report(self):
        self.sequence += 1
        await self.store.put(f"servers/{self.id}", {
            "service": "svc", "address": self.server.address, "zone": self.zone, "version": "v1",
            "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": self.sequence,
            "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
            "labels": ["a", f"r{self.index // 8}"], "born": self.born})

    def crash(self):
        """Ends the process: what runs there ends with it, and nothing is said of it."""
        self.record.write(f"executor {self.id} crashes under {sorted(self.runs)}")
        self.is_up = False
        self.runs, self.ended = {}, []
        self.server.close()

    async def beat(self):
        """Reports to the store and ends runs in time."""
        next_beat = 0
        while True:
            await asyncio.sleep(0.01)
            if not self.is_up:
                continue
            if time.monotonic() >= next_beat and not self.is_cut:
                next_beat = time.monotonic() + BOUNDS["heartbeat_ms"] / 1000
                await self.report()
            self.advance()

    def clock_ms(self):
        return int((time.monotonic() - self.boot_s) * 1000)

    def advance(self):
        now_ms = self.clock_ms()
        for name, run in list(self.runs.items()):
            if run["stops_ms"] is not None and run["stops_ms"] <= now_ms:
                self.end(name, "stopped")
            elif run["ends_ms"] is not None and run["ends_ms"] <= now_ms:
                self.end(name, run["how"])
        if self.runs and self.lease_end_ms is not None and self.lease_end_ms <= now_ms:
            for name in list(self.runs):
                self.end(name, "lapsed")

    def end(self, name, how):
        task, attempt = name
        del self.runs[name]
        self.last_end += 1
        self.ended.append([self.last_end, task, attempt, how, ""])
        self.all_ends.append((time.monotonic(), task, attempt, how))
        self.closed[task] = max(attempt, self.closed.get(task, 0))
        self.record.write(f"executor {self.id} run {task} {attempt} ends {how}")

    def extend(self, deadline_ms):
        if deadline_ms is not None:
            limit_ms = min(deadline_ms, self.clock_ms() + BOUNDS["hold_max_ms"])
            self.lease_end_ms = max(limit_ms, self.lease_end_ms or 0)

    async def handle(self, method, target, headers, body):
        if self.is_cut or not self.is_up:
            return None
        answer = await self.execute(target, headers, json.loads(body) if body else {})
        return None if self.is_cut or not self.is_up else answer

    async def execute(self, path, headers, body):
        self.advance()
        clock = {"clock_ms": self.clock_ms()}
        if headers.get("expect-instance", self.id) != self.id:
            return 421, clock
        fence = body.get("fencing_token", 0)
        if fence < self.fence:
            return 409, {**clock, "reason": "fence"}
        self.fence = fence
        name = (body.get("task"), body.get("attempt"))
        if path == "/run-start":
            return self.start(name, body, clock)
        if path == "/run-stop":
            self.closed[name[0]] = max(name[1], self.closed.get(name[0], 0))
            if name in self.runs and self.runs[name]["stops_ms"] is None:
                self.runs[name]["stops_ms"] = self.clock_ms() + self.stop_ms
                self.record.write(f"executor {self.id} is told to stop {name[0]} {name[1]}")
            return 200, clock
        if path == "/hold":
            self.extend(body.get("deadline_ms"))
            seen = [row for row in self.ended if row[0] <= body["last_seen"]]
            for _, task, attempt, how, _ in seen:
                self.seen_ends.append((time.monotonic(), task, attempt, how))
            self.ended = [row for row in self.ended if row[0] > body["last_seen"]]
            born, end_s = self.born, time.monotonic() + body.get("wait_ms", 0) / 1000
            while not self.ended and time.monotonic() < end_s and self.is_up and born == self.born:
                await asyncio.sleep(0.01)
            if born != self.born:
                return None
            if fence < self.fence:
                return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
            active = [[task, attempt, "", run_percent(run, self.clock_ms())]
                      for (task, attempt), run in self.runs.items()]
            return 200, {"clock_ms": self.clock_ms(), "born": self.born, "active": active,
                         "finished": self.ended[:500]}
        return 404, {}

    def start(self, name, body, clock):
        task, attempt = name
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {**clock, "reason": "late"}
        if self.adviser is not None and not self.adviser.accepts(body.get("ticket", ""), task, self):
            self.refused_tickets += 1
            return 409, {**clock, "reason": "ticket"}
        self.extend(body["deadline_ms"])
        if name in self.runs:
            return 200, clock
        higher = any(own == task and number > attempt for own, number in self.runs)
        if higher or self.closed.get(task, 0) >= attempt:
            return 409, {**clock, "reason": "old"}
        spec = json.loads(body["spec"])
        now_ms = self.clock_ms()
        ends_ms = None if spec.get("lasts") else now_ms + spec["ms"]
        self.runs[name] = {"started_ms": now_ms, "ends_ms": ends_ms, "stops_ms": None,
                           "how": spec.get("how", "done")}
        self.starts.append((time.monotonic(), task, attempt, body["spec"]))
        self.record.write(f"executor {self.id} starts {task} {attempt}")
        return 200, clock


def run_percent(run, now_ms):
    if run["ends_ms"] is None:
        return 100
    return min(99, 100 * (now_ms - run["started_ms"]) // max(1, run["ends_ms"] - run["started_ms"]))


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Daemon:
    """A daemon, as the deploy file starts it."""

    def __init__(self, folder, record, index, door, adviser):
        self.record, self.door = record, door
        self.name = f"edge-{index}"
        host = f"127.0.0.{index + 10}"
        ports = {name: f"{host}:{free_port(host)}" for name in ("caller", "readiness", "metrics", "peer")}
        self.caller, self.readiness = ports["caller"], ports["readiness"]
        self.peer = ports["peer"]
        settings = {
            "host": self.name, "caller_address": self.caller, "readiness_address": self.readiness,
            "metrics_address": ports["metrics"], "peer_address": self.peer,
            "store_address": door["server"].address, "store_writes_per_s": 400,
            "adviser_address": adviser.address if adviser else "", "lease_ms": BOUNDS["hold_max_ms"],
            "worker_heartbeat_ms": BOUNDS["heartbeat_ms"], "key_withdrawal_ms": BOUNDS["revoke_ms"],
            "drain_ms": BOUNDS["drain_ms"], "retention_s": BOUNDS["status_s"], "cpu_share": 0.25,
            "link_mbps": 1000.0, "zone": "split-a", "grace_s": BOUNDS["grace_s"]}
        self.settings = os.path.join(folder, f"{self.name}.json")
        self.log = os.path.join(folder, f"{self.name}.log")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = None

    async def start(self):
        log = open(self.log, "a", encoding="utf-8")
        self.process = await asyncio.create_subprocess_exec(
            DAEMON, "--settings", self.settings, cwd=ROOT, stdout=log, stderr=log)
        self.record.write(f"daemon {self.name} started")

    def signal(self, number):
        self.record.write(f"daemon {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def call(address, method, path, headers, body=None, timeout_s=3.0):
    """Sends a request on a channel of its own; returns the status and the body, or `None`."""
    host, port = address.rsplit(":", 1)
    text = b"" if body is None else json.dumps(body).encode()
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    request = (f"{method} {path} HTTP/1.1\r\n{head}content-type: application/json\r\n"
               f"content-length: {len(text)}\r\n\r\n").encode() + text

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None
            (_, status, *_), _, answer = message
            return int(status), json.loads(answer) if answer else {}
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError):
        return None


class Cell:
    """A small installation: a store, executors and daemons."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.executors, self.daemons, self.tasks = [], [], []
        self.adviser = None

    async def start(self, executors, daemons, config, adviser=None):
        if not os.path.exists(DAEMON):
            raise CannotRun("the daemon is not built")
        self.tasks.append(asyncio.create_task(self.store.expire()))
        self.adviser = adviser
        await self.store.put("op/config", config)
        for index in range(executors):
            executor = Executor(self.store, self.record, index)
            if adviser is not None:
                executor.adviser = adviser
                adviser.executors[executor.id] = executor
            await executor.boot()
            self.executors.append(executor)
            self.tasks.append(asyncio.create_task(executor.beat()))
        for index in range(daemons):
            asks = await adviser.open_door(f"edge-{index}") if adviser else None
            daemon = Daemon(self.folder.name, self.record, index, await self.store.open_door(), asks)
            await daemon.start()
            self.daemons.append(daemon)
        await self.wait_ready(self.daemons)

    async def wait_ready(self, daemons, limit_s=15):
        end = time.monotonic() + limit_s
        for daemon in daemons:
            while (await call(daemon.readiness, "GET", "/readyz", {"host": "x"}, timeout_s=1) or (0,))[0] != 200:
                if time.monotonic() > end:
                    raise CannotRun(f"{daemon.name} does not become ready")
                await asyncio.sleep(0.1)
        self.record.write("the daemons are ready")

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            await daemon.kill()
        for executor in self.executors:
            executor.server.close()
        for door in self.store.doors:
            door["server"].close()
        for server in self.adviser.doors if self.adviser else []:
            server.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for daemon in self.daemons:
                with open(daemon.log, encoding="utf-8") as log, open(
                        os.path.join(keep, f"{daemon.name}.log"), "w", encoding="utf-8") as copy:
                    copy.write(log.read())
        self.folder.cleanup()

    def leader(self):
        """Returns the daemon whose peer address is in the row of the leader."""
        item = self.store.items.get("cell/leader")
        for daemon in self.daemons:
            if item is not None and daemon.peer.encode() in item["value"]:
                return daemon
        return None

    async def request(self, daemon, method, path, body=None, key="key-1", timeout_s=3.0):
        headers = {"host": "queue.example", "authorization": f"Token {key}", "deadline-ms": 3000}
        if key is None:
            del headers["authorization"]
        answer = await call(daemon.caller, method, path, headers, body, timeout_s)
        self.record.write(f"client {method} {path} at {daemon.name} -> {answer}")
        return answer

    async def submit(self, path, body, key="key-1"):
        """Submits as clients do: retries at other daemons until there is a 2xx."""
        for attempt in range(5):
            daemon = self.daemons[attempt % len(self.daemons)]
            answer = await self.request(daemon, "POST", path, body, key)
            if answer is not None and 200 <= answer[0] < 300:
                return
            await asyncio.sleep(0.5)
        raise CannotRun(f"{path} was not accepted")

    async def state(self, path):
        """Returns the state that a client gets, from the first daemon that answers."""
        for daemon in self.daemons:
            answer = await self.request(daemon, "GET", path)
            if answer is not None and answer[0] in (200, 410):
                return answer[1].get("state", "410")
        return None


def config(version=1, **route):
    return {
        "version": version, "limits": {"max_body_bytes": 262144}, "services": [{"name": "svc"}],
        "routes": [{"name": "r", "host": "queue.example", "prefix": "/q/", "service": "svc",
                    "priority": 0, "max_attempts": 2, "slack_factor": 4.0,
                    "target_latency_ms": 1000, **route}],
        "tenants": [{"name": "team", "api_keys": ["key-1"], "weight": 1.0,
                     "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}],
    }


def main(case, folder):
    """Runs a case, which returns whether the rule was broken, with what was seen."""
    record = Record(os.path.join(folder, "record.txt"))
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'yes' if is_troubled else 'no'}")

    async def run():
        cell = Cell(record)
        try:
            return await asyncio.wait_for(case(cell, is_troubled), 112)
        finally:
            await cell.stop()

    try:
        broken = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    text = f"rule broken: {broken}" if broken else "the rule held"
    record.write(text)
    print(text)
    sys.exit(1 if broken else 0)
