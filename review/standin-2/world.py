"""A small deployment on loopback addresses: the platform's store, its executors and adviser as
stand-ins, the project's daemons as separate processes, and a client.

The stand-ins follow PROTOCOL.md. Everything that is sent, answered and run goes into the record.
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
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST, PREFIX, KEY = "shop.example", "/q/", "key-1"

# Figures of the small sites (SYSTEM.md, DEPLOY.md), in milliseconds if no unit is named.
HEARTBEAT_MS = 1500
HOLD_MAX_MS = 6000
STOP_TIMEOUT_MS = 900
STOP_TAKES_MS = 100
GANG_TIMEOUT_MS = 3000
STORE_ANSWER_MS = 4
VALUE_BYTES = 1048576
TTL_MIN_MS = 1000
EXECUTOR_CPU = 16000
EXECUTOR_MEM_MB = 32768


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def __call__(self, *words):
        self.file.write(f"{now() - self.start:8.3f} s  " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


class NoAnswer(Exception):
    """The call is not answered and its channel is closed."""


class HttpServer:
    """An HTTP/1.1 server whose open channels can be reset."""

    def __init__(self, handle):
        self.handle, self.server, self.writers = handle, None, set()

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    if line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                parsed = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parsed.query, keep_blank_values=True))
                body = json.loads(body) if body else {}
                status, answer = await self.handle(method, parsed.path, query, headers, body)
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (NoAnswer, asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        if self.server:
            self.server.close()
            self.server = None
        self.reset()


class Store:
    """The platform's metadata store: linearizable, loses nothing that it has acknowledged."""

    def __init__(self, record):
        self.record, self.items, self.revision = record, {}, 1
        self.events, self.leases, self.changed = [], {}, asyncio.Event()
        self.last_lease = 1000
        self.server = HttpServer(self.handle)

    def _render(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "created": created, "lease": lease}

    def _put(self, key, value, lease=0):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.events.append((self.revision, key, self._render(key)))

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            event = {"key": key, "revision": self.revision, "deleted": True}
            self.events.append((self.revision, key, event))

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put_json(self, key, value):
        self.revision += 1
        self._put(key, json.dumps(value).encode())
        self._notify()

    def delete(self, key):
        self.revision += 1
        self._remove(key)
        self._notify()

    def expire(self):
        for lease in [lease for lease, (end, _) in self.leases.items() if end <= now()]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        self.revision += 1
        for key in [key for key, item in self.items.items() if item[3] == lease]:
            self._remove(key)
        self._notify()

    async def run(self):
        while True:
            await asyncio.sleep(0.02)
            self.expire()

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_ANSWER_MS / 1000)
        self.expire()
        if path == "/kv-key":
            key = query["key"]
            return (200, self._render(key)) if key in self.items else (404, {})
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self._render(key) for key in keys[:500]]
            return 200, {"items": page, "has_more": len(keys) > 500, "at": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transact(body)
        if path == "/kv-lease":
            ttl_ms = max(int(body["ttl_ms"]), TTL_MIN_MS)
            self.last_lease += 1
            self.leases[self.last_lease] = (now() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl_ms}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (now() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        if path.startswith("/kv-lease-end/"):
            self._end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = now() + int(query.get("wait_ms", "0")) / 1000
        while True:
            self.expire()
            events = [e for at, key, e in self.events if at > after and key.startswith(prefix)]
            if events or now() >= end:
                return 200, {"events": events, "at": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), max(0.001, end - now()))
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        expected = body.get("expected_rev") or []
        puts, remove = body.get("puts") or [], body.get("remove") or []
        if len(expected) + len(puts) + len(remove) > 32:
            return 400, {}
        values = [base64.b64decode(put["value"]) for put in puts]
        if any(len(value) > VALUE_BYTES for value in values):
            return 400, {}
        keys = [put["key"] for put in puts] + remove
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        current = lambda key: self.items[key][1] if key in self.items else 0
        if any(current(row["key"]) != row["revision"] for row in expected):
            rows = [self._render(row["key"]) if row["key"] in self.items
                    else {"key": row["key"], "revision": 0} for row in expected]
            return 412, {"items": rows}
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        self.revision += 1
        for put, value in zip(puts, values):
            self._put(put["key"], value, put.get("lease", 0))
        for key in remove:
            self._remove(key)
        self._notify()
        return 200, {"revision": self.revision}


class Adviser:
    """The service at `recommendation`, as one machine reaches it: one call at a time, in turn."""

    MAX_WAITING = 32

    def __init__(self, world):
        self.world, self.lock, self.waiting = world, asyncio.Lock(), 0
        self.server = HttpServer(self.handle)

    async def handle(self, method, path, query, headers, body):
        if path != "/advise":
            return 404, {}
        if self.waiting >= self.MAX_WAITING:
            return 429, {}
        self.waiting += 1
        try:
            async with self.lock:
                phase, workers = body["phase"], body["workers"]
                policy = self.world.policies[phase.split(".")[0]]
                await asyncio.sleep((policy["decide_ms"] + policy["period_ms"] * len(workers)) / 1000)
                allowed = [[one.id, one.ticket_for(phase)] for one in self.world.executors
                           if one.is_up and one.id in workers and one.id in policy["allowed"]]
                self.world.record("adviser:", phase, "asked about", len(workers), workers, "allows",
                                  len(allowed))
                return 200, {"allowed": allowed}
        finally:
            self.waiting -= 1


class Run:
    def __init__(self, task, attempt, spec):
        self.task, self.attempt, self.spec = task, attempt, spec
        self.started, self.end_at, self.how = now(), None, None
        run_ms = spec.get("run_ms")
        if run_ms is not None:
            self.end_at, self.how = self.started + run_ms / 1000, spec.get("ends", "done")


class Executor:
    """An executor. Its tasks' spec is JSON: `run_ms` for a task that ends, none for one that lasts,
    `crash_ms` for one that crashes its executor, which is back after `back_s`."""

    def __init__(self, world, name, zone="z1", labels=("a", "rack-1"), cpu=EXECUTOR_CPU,
                 service="svc"):
        self.world, self.record, self.id = world, world.record, name
        self.zone, self.labels, self.cpu, self.service = zone, list(labels), cpu, service
        self.host, self.port = world.host, free_port(world.host)
        self.server = HttpServer(self.handle)
        self.is_up, self.last_beat, self.born = False, 0, 0
        self.runs, self.ends, self.closed = {}, [], {}

    async def boot(self):
        """Starts the executor; it knows nothing of an earlier boot."""
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.booted, self.fence, self.deadline, self.last_end = now(), 0, 0, 0
        self.runs, self.ends, self.closed, self.sequence = {}, [], {}, 0
        await self.server.listen(self.host, self.port)
        self.is_up = True
        self.record("executor", self.id, "boots, born", self.born)
        self.beat()

    def crash(self):
        """The process ends: it sends nothing, and its channels are reset."""
        self.record("executor", self.id, "crashes with", [f"{t}#{a}" for t, a in self.runs])
        for run in self.runs.values():
            self.world.history.append((now(), "lost", self.id, run.task, run.attempt))
        self.is_up, self.runs = False, {}
        self.server.close()

    def beat(self):
        self.sequence, self.last_beat = self.sequence + 1, now()
        self.world.store.put_json("servers/" + self.id, {
            "service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born, "labels": self.labels,
            "capacity": {"cpu": self.cpu, "mem_mb": EXECUTOR_MEM_MB, "gpu": 0},
        })

    def clock_ms(self):
        return int((now() - self.booted) * 1000)

    def ticket_for(self, phase):
        """A ticket holds for all tasks of a step during this life, for a limited time."""
        return f"{phase}/{self.id}/{self.born}/{self.clock_ms()}"

    def holds_ticket(self, task, ticket):
        policy = self.world.policies.get(task.split(".")[0])
        if policy is None:
            return True
        words = ticket.split("/")
        return words[:3] == [task.rsplit(".", 1)[0], self.id, str(self.born)] \
            and self.clock_ms() <= int(words[3]) + policy["valid_ms"]

    def advance(self):
        if not self.is_up:
            return
        if self.runs and self.clock_ms() >= self.deadline:
            for run in list(self.runs.values()):
                if run.end_at is None or run.end_at > now():
                    self.end(run, "lapsed")
        for run in list(self.runs.values()):
            if run.end_at is not None and run.end_at <= now():
                self.end(run, run.how)
        for run in self.runs.values():
            if "crash_ms" in run.spec and now() >= run.started + run.spec["crash_ms"] / 1000:
                asyncio.ensure_future(self.come_back(run.spec["back_s"]))
                self.crash()
                return

    async def come_back(self, seconds):
        await asyncio.sleep(seconds)
        await self.boot()

    def end(self, run, how):
        del self.runs[(run.task, run.attempt)]
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.attempt)
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.attempt, how, ""])
        self.record("executor", self.id, "ends", f"{run.task}#{run.attempt}", how)
        self.world.history.append((now(), how, self.id, run.task, run.attempt))

    def extend(self, deadline_ms):
        if deadline_ms is not None:
            self.deadline = max(self.deadline, min(deadline_ms, self.clock_ms() + HOLD_MAX_MS))

    async def handle(self, method, path, query, headers, body):
        self.advance()
        if not self.is_up:
            raise NoAnswer
        clock = {"clock_ms": self.clock_ms()}
        if headers.get("expect-instance", self.id) != self.id:
            return 421, clock
        if body.get("fencing_token", 0) < self.fence:
            return 409, {**clock, "reason": "fence"}
        self.fence = body.get("fencing_token", 0)
        if path == "/run-start":
            return self.start(body, clock)
        if path == "/run-stop":
            self.stop(body["task"], body["attempt"])
            return 200, clock
        if path == "/hold":
            return await self.hold(body)
        return 404, {}

    def start(self, body, clock):
        task, attempt = body["task"], body["attempt"]
        self.record("order: start", f"{task}#{attempt}", "at", self.id)
        if body["deadline_ms"] < self.clock_ms():
            return 409, {**clock, "reason": "late"}
        if not self.holds_ticket(task, body.get("ticket", "")):
            return 409, {**clock, "reason": "ticket"}
        self.extend(body["deadline_ms"])
        if (task, attempt) in self.runs:
            return 200, clock
        if attempt <= self.closed.get(task, 0) or any(
                t == task and a > attempt for t, a in self.runs):
            return 409, {**clock, "reason": "old"}
        self.runs[(task, attempt)] = Run(task, attempt, json.loads(body["spec"]))
        self.record("executor", self.id, "starts", f"{task}#{attempt}")
        self.world.history.append((now(), "start", self.id, task, attempt))
        self.world.started.set()
        return 200, clock

    def stop(self, task, attempt):
        self.record("order: stop", f"{task}#{attempt}", "at", self.id)
        self.closed[task] = max(self.closed.get(task, 0), attempt)
        run = self.runs.get((task, attempt))
        if run:
            run.end_at, run.how = now() + STOP_TAKES_MS / 1000, "stopped"

    async def hold(self, body):
        self.extend(body.get("deadline_ms"))
        self.ends = [end for end in self.ends if end[0] > body.get("last_seen", 0)]
        end, born = now() + body.get("wait_ms", 0) / 1000, self.born
        while not self.ends and now() < end:
            await asyncio.sleep(0.01)
            self.advance()
            if not self.is_up or born != self.born:
                raise NoAnswer
        if body.get("fencing_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        active = [[run.task, run.attempt, "", 50, 0] for run in self.runs.values()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "active": active,
                     "finished": self.ends[:500]}


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def fill(template, values):
    """Fills the `{{...}}` fields of the settings template."""
    def value(match):
        found = values
        for name in match.group(1).split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return str(found)
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, template)


class Daemon:
    """A process of the deploy file's role on an address of its own."""

    def __init__(self, world, index, zone):
        self.world, self.name, self.zone = world, f"edge-{index}", zone
        self.ip = f"127.{world.net[0]}.{world.net[1]}.{10 + index}"
        self.frontend, self.process = f"{self.ip}:{free_port(self.ip)}", None
        values = {
            "node_name": self.name, "ip": self.ip, "zone": zone, "heartbeat_ms": HEARTBEAT_MS,
            "listen_addrs": {"frontend": self.frontend,
                             "readiness": f"{self.ip}:{free_port(self.ip)}"},
            "internal_ports": [free_port(self.ip)], "recommendation": world.adviser_address(),
            "platform": {"address": world.store_address, "writes_per_s": 400},
            "bounds": {"hold_max_ms": HOLD_MAX_MS, "revoke_ms": 5000, "drain_ms": 2000,
                       "status_s": 120, "grace_s": 6},
            "limits": {"cpu_shares": 0.25, "link_mbps": 1000.0},
        }
        with open(os.path.join(ROOT, "deploy", "settings.json"), encoding="utf-8") as file:
            settings = fill(file.read(), values)
        self.readiness = values["listen_addrs"]["readiness"]
        self.settings = os.path.join(world.folder, self.name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings)

    async def start(self):
        self.log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        program = os.path.join(ROOT, "target", "release", "damaskrack-edge")
        self.process = await asyncio.create_subprocess_exec(
            program, "--settings", self.settings, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)
        self.world.record("daemon", self.name, "starts")

    def send_signal(self, number):
        if self.process and self.process.returncode is None:
            self.world.record("daemon", self.name, "gets", signal.Signals(number).name)
            self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class World:
    def __init__(self, folder, record_path):
        self.folder, self.record = folder, Record(record_path)
        self.net = (random.randrange(1, 255), random.randrange(0, 255))
        self.host = f"127.{self.net[0]}.{self.net[1]}.1"
        self.store, self.history, self.started = Store(self.record), [], asyncio.Event()
        self.executors, self.daemons, self.tasks, self.advisers = [], [], [], []
        # By submission: which executors the queue's policy allows, and the adviser's figures.
        self.policies = {}

    def adviser_address(self):
        """An address of the adviser for one more machine."""
        port = free_port(self.host)
        self.advisers.append((Adviser(self), port))
        return f"{self.host}:{port}"

    async def start(self, executors, config, daemons=3):
        store_port = free_port(self.host)
        self.store_address = f"{self.host}:{store_port}"
        await self.store.server.listen(self.host, store_port)
        self.store.put_json("op/config", config)
        self.tasks = [asyncio.create_task(self.store.run()), asyncio.create_task(self._tick())]
        for options in executors:
            self.executors.append(Executor(self, **options))
            await self.executors[-1].boot()
        for index in range(daemons):
            self.daemons.append(Daemon(self, index, f"z{index % 3 + 1}"))
            adviser, port = self.advisers[-1]
            await adviser.server.listen(self.host, port)
            await self.daemons[-1].start()
        for daemon in self.daemons:
            await self.wait_ready(daemon)

    async def wait_ready(self, daemon, seconds=20):
        end = now() + seconds
        while now() < end:
            status, _ = await http(daemon.readiness, "GET", "/readyz", {}, None, 1)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise Unable(f"{daemon.name} is not ready")

    async def _tick(self):
        """Heartbeats, ends of runs, and the platform's removal of silent entries."""
        while True:
            await asyncio.sleep(0.01)
            for executor in self.executors:
                executor.advance()
                if executor.is_up and now() - executor.last_beat >= HEARTBEAT_MS / 1000:
                    executor.beat()
                key = "servers/" + executor.id
                if not executor.is_up and key in self.store.items \
                        and now() - executor.last_beat >= 3 * HEARTBEAT_MS / 1000:
                    self.record("the store's entry of", executor.id, "is removed")
                    self.store.delete(key)

    async def call(self, method, job, body=None, daemon=None, deadline_ms=3000, quiet=False,
                   prefix=PREFIX):
        """Calls a daemon as a client; retries go to other daemons. Returns status and body."""
        others = [one for one in self.daemons if one is not daemon]
        random.shuffle(others)
        order = ([daemon] if daemon else []) + others
        for one in order:
            headers = {"Host": HOST, "Authorization": "Token " + KEY, "Deadline-Ms": deadline_ms}
            status, answer = await http(one.frontend, method, prefix + job, headers, body,
                                        deadline_ms / 1000)
            if not quiet:
                self.record("client:", method, job, "at", one.name, "->", status, answer)
            if status in (200, 404, 410, 401):
                return status, answer
        return status, answer

    def running(self, task):
        return [one for one in self.executors for name, _ in one.runs if name == task]

    async def wait_running(self, task, seconds):
        end = now() + seconds
        while now() < end:
            found = self.running(task)
            if found:
                return found[0]
            await asyncio.sleep(0.02)
        return None

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            await daemon.end()
        for executor in self.executors:
            executor.server.close()
        for adviser, _ in self.advisers:
            adviser.server.close()
        self.store.server.close()


class Unable(Exception):
    """The case could not run."""


async def http(address, method, path, headers, body, seconds):
    """One call on a channel of its own; status 0 if it has no answer."""
    host, port = address.rsplit(":", 1)
    try:
        return await asyncio.wait_for(_http(host, int(port), method, path, headers, body), seconds)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
        return 0, None


async def _http(host, port, method, path, headers, body):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        text = json.dumps(body).encode() if body is not None else b""
        lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
        if "Host" not in headers:
            lines.append("Host: x")
        if text:
            lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(text)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        length = int(re.search(r"content-length: *(\d+)", head).group(1))
        answer = await reader.readexactly(length)
        return int(head.split(" ")[1]), json.loads(answer) if answer else None
    finally:
        writer.close()


def config(version=1, routes=None, cap=None):
    """A configuration with one queue and one tenant, if no routes are given."""
    route = {"name": "r1", "host": HOST, "prefix": PREFIX, "service": "svc", "priority": 1,
             "max_attempts": 2, "slack_factor": 2.0, "target_latency_ms": 500}
    return {"version": version, "routes": routes or [route], "services": [{"name": "svc"}],
            "limits": {"max_body_bytes": 262144},
            "tenants": [{"name": "t1", "api_keys": [KEY], "weight": 1, "cap": cap or {}}]}


def new_id():
    return f"{random.getrandbits(64):016x}"


def main(case, executors, configuration, folder):
    """Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            world = World(temporary, os.path.join(folder, "record.txt"))
            trouble = os.environ.get("TROUBLE", "1") != "0"
            world.record("TROUBLE =", int(trouble))
            try:
                await asyncio.wait_for(world.start(executors, configuration), 30)
                verdict = await asyncio.wait_for(case(world, trouble), 85)
                world.record("the rule was broken:" if verdict else "the rule held", verdict or "")
                return 1 if verdict else 0
            except Exception as error:  # an error of the test is no broken rule
                world.record("could not run:", repr(error))
                return 2
            finally:
                await world.stop()

    async def run_until_signal():
        # A script that is ended early ends its processes too.
        task = asyncio.ensure_future(run())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await task
        except asyncio.CancelledError:
            return 2

    sys.exit(asyncio.run(run_until_signal()))
