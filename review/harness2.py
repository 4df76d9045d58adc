"""Stand-ins and process control for the cases 6 to 10 of the second review.

One event loop holds the platform's store, the runners, the clients and the
proxies. The entries and agents are the project's own programs, started as
separate processes with the commands of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "bin", "cyclamenwalk-site")

HOLD_MAX_MS = 1000
STOP_MS = 50
RESEND_MS = 1300


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


TAKEN_PORTS = set()


def free_port():
    """A port below those that the system gives to outgoing connections, so that
    a process that is started again finds it free."""
    while True:
        port = random.randrange(20000, 32000)
        if port in TAKEN_PORTS:
            continue
        TAKEN_PORTS.add(port)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def has_disruption():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt beside the script, with seconds since the start."""

    def __init__(self, script):
        folder = os.path.dirname(os.path.abspath(script))
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write("%9.3f  %s\n" % (self.now(), text))
        self.file.flush()


# ---------------------------------------------------------------- HTTP/1.1


async def read_message(reader):
    """Returns the first line, the headers and the body, or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode("latin1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return line.decode("latin1").strip(), headers, body


def no_delay(writer):
    sock = writer.get_extra_info("socket")
    if sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class HttpStandin:
    """A server whose handle(method, path, query, headers, body) returns the
    status and the JSON of the answer, or None for no answer."""

    def __init__(self):
        self.server = None
        self.writers = set()

    async def listen(self, port):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=1 << 20
        )

    async def close(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        no_delay(writer)
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
                answer = await self.handle(method, parts.path, query, headers, body)
                if answer is None:
                    continue
                status, content = answer
                text = json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, path, query, headers, body):
        raise NotImplementedError


async def call(port, method, path, body=None, headers=None, timeout=5.0):
    """One request on a connection of its own. Returns the status and the JSON;
    status 0 when the connection broke or no answer came in time."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        no_delay(writer)
        text = json.dumps(body).encode() if body is not None else b""
        lines = ["%s %s HTTP/1.1" % (method, path)]
        fields = {"Host": "127.0.0.1", "Content-Length": str(len(text))}
        fields.update(headers or {})
        lines += ["%s: %s" % item for item in fields.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
        message = await read_message(reader)
        if message is None:
            return 0, None
        status = int(message[0].split(" ")[1])
        try:
            return status, json.loads(message[2]) if message[2] else None
        except ValueError:
            return status, None

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError):
        return 0, None
    finally:
        if writer:
            writer.close()


# ------------------------------------------------------------------- store


class Store(HttpStandin):
    """The platform's metadata store: rows in tables, transactions, a feed."""

    def __init__(self):
        super().__init__()
        self.rows = {}  # (table, part, key) -> (value or None, version)
        self.version = 0
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, "", key)] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def put_config(self, config):
        self.put("op", "config", json.dumps(config).encode())

    def _row(self, key):
        value, version = self.rows[key]
        row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    async def handle(self, method, path, query, headers, body):
        if path == "/rows-tx":
            await asyncio.sleep(0.004)
            return self._transact(json.loads(body))
        if path == "/rows-get":
            low, high = query.get("from", ""), query.get("to", "")
            rows = [
                self._row(key)
                for key in sorted(self.rows)
                if key[0] == query["table"]
                and self.rows[key][0] is not None
                and key[2] >= low
                and (not high or key[2] < high)
            ]
            return 200, {"rows": rows, "has-more": False, "ver": self.version,
                         "now-ms": int(time.monotonic() * 1000)}
        if path == "/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, changes):
        key_of = lambda row: (row["table"], row.get("part", ""), row["key"])
        for row in changes.get("expected-revision", []):
            value, version = self.rows.get(key_of(row), (None, 0))
            if (version if value is not None else 0) != row["ver"]:
                return 412, {"rows": [self._row(key_of(row))]
                             if key_of(row) in self.rows else []}
        for row in changes.get("set-keys", []):
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in changes.get("remove", []):
            self.put(row["table"], row["key"], None)
        return 200, {"ver": self.version, "now-ms": int(time.monotonic() * 1000)}

    async def _feed(self, query):
        after = int(query["after"])
        ends_at = time.monotonic() + min(int(query.get("wait-ms", 0)), 30000) / 1000
        while True:
            changed = [k for k in self.rows
                       if k[0] == query["table"] and self.rows[k][1] > after]
            left = ends_at - time.monotonic()
            if changed or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        rows = [self._row(k) for k in sorted(changed, key=lambda k: self.rows[k][1])]
        return 200, {"rows": rows, "ver": self.version,
                     "now-ms": int(time.monotonic() * 1000)}


# ------------------------------------------------------------------ runner


class Observer:
    """What all runners have started and ended."""

    def __init__(self, record):
        self.record = record
        self.active = {}  # task -> set of (runner, life, run)
        self.starts = []  # (time, runner, task, run)
        self.overlaps = []

    def started(self, runner, task, run):
        now = self.record.now()
        runner.most_runs = max(runner.most_runs, len(runner.runs))
        active = self.active.setdefault(task, set())
        if active:
            self.overlaps.append((now, task, sorted(active), (runner.id, runner.life, run)))
            self.record.write("OVERLAP %s: %s and %s" % (task, sorted(active), (runner.id, runner.life, run)))
        active.add((runner.id, runner.life, run))
        self.starts.append((now, runner.id, task, run))
        self.record.write("%s (life %d) starts %s run %d" % (runner.id, runner.life, task, run))

    def ended(self, runner, task, run, how):
        self.active.get(task, set()).discard((runner.id, runner.life, run))
        self.record.write("%s (life %d) ends %s run %d: %s" % (runner.id, runner.life, task, run, how))


class Runner(HttpStandin):
    """A runner as PROTOCOL.md describes it. The spec of a task is its run time
    in milliseconds."""

    def __init__(self, record, observer, identity, agent_port, service="svc",
                 cpu=16000, rack="r1", heartbeat_ms=1500, clock_rate=1.0):
        super().__init__()
        self.record, self.observer = record, observer
        self.id, self.agent_port, self.service = identity, agent_port, service
        self.cpu, self.rack = cpu, rack
        self.heartbeat_s = heartbeat_ms / 1000
        self.clock_rate = clock_rate
        self.clock_offset_ms = 0  # of the time of day of its machine
        self.port = free_port()
        self.life = 0
        self.is_up = False
        self.heartbeat_task = None
        self.cut_until = 0.0

    def clock(self):
        return int((time.monotonic() - self.origin) * 1000 * self.clock_rate) + 1000

    async def start(self):
        self.life += 1
        self.origin = time.monotonic()
        self.born = int(time.time() * 1000) + self.clock_offset_ms
        self.token = 0
        self.lease = 0
        self.sequence = 0
        self.most_runs = 0  # at the same time, with what is being stopped
        self.runs = {}  # (task, run) -> dict
        self.last_run = {}
        self.ends = []
        self.end_number = 0
        self.draining = False
        self.drain_acked_at = None
        self.ended = asyncio.Event()
        await self.listen(self.port)
        self.is_up = True
        self.record.write("%s starts (life %d), born %d" % (self.id, self.life, self.born))
        self.timer_task = asyncio.ensure_future(self._timer(self.life))
        self.heartbeat_task = asyncio.ensure_future(self._heartbeats(self.life))

    async def crash(self):
        self.is_up = False
        for key in list(self.runs):
            del self.runs[key]
            self.observer.ended(self, key[0], key[1], "lost with the runner")
        self.record.write("%s ends" % self.id)
        self.heartbeat_task.cancel()
        self.timer_task.cancel()
        await self.close()

    def drain(self):
        self.draining = True
        self.record.write("%s begins to drain" % self.id)
        self.heartbeat_task.cancel()
        self.heartbeat_task = asyncio.ensure_future(self._heartbeats(self.life))

    async def cut_off(self, seconds):
        """Nothing passes between the runner and its agent; it runs on."""
        self.record.write("%s is cut off for %.1f s" % (self.id, seconds))
        self.cut_until = time.monotonic() + seconds
        await asyncio.sleep(seconds)

    async def leave(self):
        """Deregisters and ends; what runs is terminated."""
        status, _ = await call(self.agent_port, "POST", "/Instances.Deregister/" + self.id, timeout=1.0)
        self.record.write("%s deregisters: status %d" % (self.id, status))
        await self.crash()

    def heartbeat_body(self):
        self.sequence += 1
        return {
            "service": self.service, "address": "127.0.0.1:%d" % self.port,
            "zone": "z1", "version": "v1", "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold-remaining-ms": 0,
            "capacity": {"cpu": self.cpu, "mem-mb": 32768, "gpu": 0},
            "labels": ["a", self.rack], "clock-ms": self.clock(),
            "born": self.born, "sequence": self.sequence,
        }

    async def foreign_heartbeat(self, **fields):
        """One heartbeat from another writer under the id of this runner: without
        "zone", "version" and "clock-ms", and with a text as "slots"."""
        body = self.heartbeat_body()
        self.sequence -= 1
        for name in ("zone", "version", "clock-ms"):
            del body[name]
        body["slots"] = "eight"
        body.update(fields)
        status, _ = await call(self.agent_port, "POST", "/Instances.Heartbeat/" + self.id, body,
                               timeout=1.0)
        self.record.write("another writer sends %s: status %d" % (json.dumps(body), status))

    async def _heartbeats(self, life):
        while self.is_up and self.life == life:
            await asyncio.sleep(max(0.0, self.cut_until - time.monotonic()))
            body = self.heartbeat_body()
            status, _ = await call(self.agent_port, "POST",
                                   "/Instances.Heartbeat/" + self.id, body, timeout=1.0)
            acked = 200 <= status < 300
            self.record.write("%s heartbeat %d (%s): %s" % (
                self.id, body["sequence"], body["state"],
                "acknowledged" if acked else "status %d" % status))
            if acked and body["state"] == "draining" and self.drain_acked_at is None:
                self.drain_acked_at = self.record.now()
            await asyncio.sleep(self.heartbeat_s if acked else 0.2)

    async def _timer(self, life):
        while self.is_up and self.life == life:
            await asyncio.sleep(0.003)
            now = time.monotonic()
            lapsed = self.clock() >= self.lease
            for key, run in list(self.runs.items()):
                if lapsed:
                    self._finish(key, "lapsed")
                elif run["stop"] is not None and now >= run["stop"]:
                    self._finish(key, "stopped")
                elif now >= run["end"]:
                    self._finish(key, "done")

    def _finish(self, key, how):
        del self.runs[key]
        self.end_number += 1
        self.ends.append([self.end_number, key[0], key[1], how, ""])
        self.last_run[key[0]] = max(self.last_run.get(key[0], 0), key[1])
        self.observer.ended(self, key[0], key[1], how)
        self.ended.set()
        self.ended = asyncio.Event()

    def _answer(self, status, **more):
        return status, dict({"clock-ms": self.clock(), "born": self.born}, **more)

    def _fenced(self, body):
        token = body.get("fencing-token", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def _extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + HOLD_MAX_MS))

    async def handle(self, method, path, query, headers, body):
        if not self.is_up or time.monotonic() < self.cut_until:
            return None
        if headers.get("x-cyclamenwalk-expected-instance", self.id) != self.id:
            return self._answer(421)
        content = json.loads(body)
        if self._fenced(content):
            return self._answer(409, reason="fence")
        if path == "/run-start":
            return self.run_start(content)
        if path == "/run-stop":
            key = (content["task"], content["run"])
            self.last_run[key[0]] = max(self.last_run.get(key[0], 0), key[1])
            if key in self.runs and self.runs[key]["stop"] is None:
                self.runs[key]["stop"] = time.monotonic() + 0.7 * STOP_MS / 1000
            return self._answer(200)
        if path == "/hold":
            return await self.hold(content)
        return self._answer(404)

    def run_start(self, body):
        key = (body["task"], body["run"])
        if key in self.runs:
            self._extend(body["deadline-ms"])
            return self._answer(200)
        if key[1] <= self.last_run.get(key[0], 0):
            self._extend(body["deadline-ms"])
            return self._answer(409, reason="old")
        if body["deadline-ms"] <= self.clock():
            return self._answer(409, reason="late")
        self._extend(body["deadline-ms"])
        self.runs[key] = {"begin": time.monotonic(), "stop": None,
                          "end": time.monotonic() + float(body["spec"]) / 1000}
        self.observer.started(self, *key)
        return self._answer(200)

    async def hold(self, body):
        if "deadline-ms" in body:
            self._extend(body["deadline-ms"])
        seen = body.get("last-seen", 0)
        self.ends = [end for end in self.ends if end[0] > seen]
        wait = min(body.get("wait-ms", 0), 2000) / 1000
        if wait and not self.ends:
            try:
                await asyncio.wait_for(self.ended.wait(), wait)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = []
        for (task, run), state in self.runs.items():
            span = max(state["end"] - state["begin"], 0.001)
            percent = int(100 * min(1, (now - state["begin"]) / span))
            running.append([task, run, "", percent, 1000])
        return self._answer(200, running=running, finished=self.ends[:500])


# -------------------------------------------------------------------- site


class Site:
    """Entries, agents and their runners on loopback, with one route."""

    def __init__(self, script, entries=2, agents=2, services=("svc",), cpu=16000):
        """Runner N serves services[N], modulo their number. The route of each
        service has its name."""
        self.record = Record(script)
        self.observer = Observer(self.record)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.store_port = free_port()
        self.processes = {}
        self.services = services
        self.entries = ["entry-%d" % (i + 1) for i in range(entries)]
        self.agents = ["agent-%d" % (i + 1) for i in range(agents)]
        self.ports = {}
        for name in self.entries + self.agents:
            self.ports[name] = {key: free_port() for key in
                                ("messages", "calls", "metrics", "readiness")}
        self.runners = []
        for number, name in enumerate(self.agents):
            self.runners.append(Runner(self.record, self.observer, "i-%d" % (number + 1),
                                       self.ports[name]["calls"],
                                       service=services[number % len(services)], cpu=cpu,
                                       rack="r%d" % (number + 1)))

    def config(self, version):
        return {
            "version": version,
            "routes": [
                {"name": name, "host": "127.0.0.1", "path-prefix": "/%s/" % name,
                 "service": name, "priority": 0, "max-attempts": 3,
                 "slack-factor": 4, "target-latency-ms": 1000, "timeout-ms": 10000}
                for name in self.services
            ],
            "services": [{"name": name, "enforces-capacity": False} for name in self.services],
            "limits": {},
        }

    def write_settings(self, name):
        ports = self.ports[name]
        is_entry = name in self.entries
        seeds = ",".join("127.0.0.1:%d" % self.ports[e]["messages"] for e in self.entries[:3])
        text = "[process]\nname = %s\nfailure_domain = z1\nprocessor_share = 1\n" % name
        text += "charts = target/share/cyclamenwalk/charts\n[listen]\n"
        text += "messages = 127.0.0.1:%d\ncalls = 127.0.0.1:%d\nmetrics = 127.0.0.1:%d\n" % (
            ports["messages"], ports["calls"], ports["metrics"])
        if is_entry:
            text += "readiness = 127.0.0.1:%d\n" % ports["readiness"]
        text += "[entries]\nseeds = %s\n[store]\naddress = 127.0.0.1:%d\n" % (seeds, self.store_port)
        text += "[bounds]\nlease = %dms\ndrain_limit = 6s\nremote_penalty = 1.5\n" % HOLD_MAX_MS
        text += "[policy]\ncontracts = base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n"
        text += "learned_speeds = on\n"
        if not is_entry:
            text += "loss_backoff = on\n"
        text += "[limits]\nmemory_mb = %d\ndescriptors = 4096\n" % (260 if is_entry else 128)
        path = os.path.join(self.folder, name + ".ini")
        with open(path, "w") as file:
            file.write(text)
        return path

    def launch(self, name):
        path = self.write_settings(name)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment.update(CYCLAMENWALK_SETTINGS=path, CYCLAMENWALK_RESUBMIT_MS=str(RESEND_MS))
        log = open(os.path.join(self.folder, name + ".log"), "a")
        role = "entry" if name in self.entries else "agent"
        self.processes[name] = subprocess.Popen([PROGRAM, role], cwd=ROOT, env=environment,
                                                stdout=log, stderr=log)
        self.record.write("%s started" % name)

    def signal(self, name, number):
        self.record.write("%s gets %s" % (name, signal.Signals(number).name))
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    async def is_ready(self, name):
        status, _ = await call(self.ports[name]["readiness"], "GET", "/readyz", timeout=1)
        return status == 200

    async def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("no %s; run scripts/deploybuild.sh target" % PROGRAM)
        await self.store.listen(self.store_port)
        self.store.put_config(self.config(3))
        for name in self.entries + self.agents:
            self.launch(name)
        for runner in self.runners:
            await runner.start()
        for _ in range(200):
            if all([await self.is_ready(name) for name in self.entries]):
                await asyncio.sleep(1.0)
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the entries were not ready within 20 s")

    async def stop(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for runner in self.runners:
            if runner.is_up:
                await runner.crash()
        await self.store.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def submit(self, entry, job, run_ms, tasks=1, cpu=1000, deadline_ms=4000, route=None):
        route = route or self.services[0]
        body = {"best-effort": True, "spec": str(run_ms),
                "steps": [{"count": tasks, "cpu": cpu, "mem-mb": 16, "estimated-ms": run_ms}]}
        sent = self.record.now()
        self.record.write("client posts %s to %s, queue %s: %d tasks of %d ms on %d millicores" % (
            job, entry, route, tasks, run_ms, cpu))
        status, answer = await call(self.ports[entry]["calls"], "POST", "/%s/%s" % (route, job),
                                    body, {"X-Cyclamenwalk-Deadline-Ms": str(deadline_ms),
                                           "Content-Type": "application/json"},
                                    timeout=deadline_ms / 1000)
        self.record.write("client gets %s for %s from %s after %.3f s" % (
            status or "no answer", job, entry, self.record.now() - sent))
        return status, answer


def job_name():
    return "%016x" % random.getrandbits(64)


def run_case(script, body, **options):
    """Runs body(site), which returns a list of texts, one for each time that
    the rule was broken, and exits as run.sh has to."""

    async def main():
        # Connections that end with the loop are no news.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        site = Site(script, **options)
        try:
            await site.start()
            broken = await body(site)
        finally:
            await site.stop()
        for text in broken:
            site.record.write("BROKEN " + text)
        site.record.write("%d times broken" % len(broken))
        print("%d times broken" % len(broken))
        for text in broken[:3]:
            print(text)
        return 1 if broken else 0

    try:
        sys.exit(asyncio.run(asyncio.wait_for(main(), 115)))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print("cannot run: %r" % error)
        sys.exit(2)
