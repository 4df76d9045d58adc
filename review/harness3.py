"""Stand-ins and process control for the cases 11 to 15.

Starts the programs of deploy/system.toml as separate processes on loopback
addresses, beside stand-ins of the platform's store and of the runners. The
stand-ins do what the users' pages say; a case adds its disruption.
"""

import base64
import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"

BROKEN = 1
HELD = 0
COULD_NOT_RUN = 2

# The bounds of sites/sulkuvoitelu.toml that the cases use.
BOUNDS = {
    "hold-max-ms": 1000,
    "stop-ms": 50,
    "grace-s": 6,
    "drain-ms": 2000,
    "contact-ms": 3000,
    "config-apply-ms": 2000,
    "cancel_ms": 3000,
    "resend-ms": 1300,
    "remote-penalty": 1.5,
}
HEARTBEAT_S = 1.5
SERVICE = "huvo11a"
ROUTE_HOST = "nony24.example"
ROUTE_PREFIX = "/lohu930/"


class CannotRun(Exception):
    """The case cannot be decided."""


def now():
    return time.monotonic()


class Record:
    """Lines of record.txt, with seconds since the start of the case."""

    def __init__(self, folder):
        self._start = now()
        self._lock = threading.Lock()
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.log(f"TROUBLE={int(TROUBLE)}")

    def log(self, text):
        with self._lock:
            self._file.write(f"{now() - self._start:8.3f} {text}\n")
            self._file.flush()

    def close(self):
        self._file.close()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


# --- settings -------------------------------------------------------------


def _lookup(context, name):
    for scope in reversed(context):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def _text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(_text(item) for item in value)
    return str(value)


def render(template, fields):
    """Fills in a template as DEPLOY.md describes."""
    context = [fields]

    def section(match):
        value = _lookup(context, match.group(2))
        is_set = value not in (None, False, [], {})
        return match.group(3) if is_set == (match.group(1) == "#") else ""

    text = re.sub(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([^}]+)\}\}",
                  lambda match: _text(_lookup(context, match.group(1))), text)


# --- HTTP -----------------------------------------------------------------


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def body(self):
        length = int(self.headers.get("Content-Length") or 0)
        return self.rfile.read(length)

    def reply(self, status, value):
        data = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def handle_any(self):
        try:
            self.server.owner.handle(self)
        except (BrokenPipeError, ConnectionResetError):
            self.close_connection = True

    do_GET = do_POST = do_PUT = do_DELETE = handle_any


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, *_):
        pass


def serve(owner, port):
    server = Server((HOST, port), Handler)
    server.owner = owner
    threading.Thread(target=server.serve_forever, args=(0.05,),
                     daemon=True).start()
    return server


def call(port, method, path, value=None, headers=None, timeout=10):
    """One request on a connection of its own; (status, body), or None when
    there is no whole answer."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        data = None if value is None else json.dumps(value)
        connection.request(method, path, body=data, headers=headers or {})
        response = connection.getresponse()
        text = response.read()
        try:
            return response.status, json.loads(text or b"{}")
        except ValueError:
            return response.status, {}
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


# --- the platform's store -------------------------------------------------


class Store:
    """Rows and their feed; linearizable, and loses nothing."""

    def __init__(self, record):
        self.record = record
        self.port, = free_ports(1)
        self._rows = {}
        self._version = 0
        self._changed = threading.Condition()
        self._server = serve(self, self.port)

    def put(self, table, key, value):
        with self._changed:
            self._version += 1
            self._rows[(table, key)] = (self._version, value)
            self._changed.notify_all()

    def handle(self, request):
        url = urlsplit(request.path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/rows-tx":
            return self._transact(request)
        if url.path == "/rows-get":
            return self._get(request, query)
        if url.path == "/rows-feed":
            return self._feed(request, query)
        return request.reply(404, {})

    @staticmethod
    def _row(key, stored):
        version, value = stored
        row = {"table": key[0], "part": "", "key": key[1], "ver": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def _answer(self, **more):
        return {"ver": self._version, "now-ms": int(now() * 1000), **more}

    def _transact(self, request):
        body = json.loads(request.body())
        time.sleep(0.004)
        with self._changed:
            failed = []
            for row in body["expected-revision"]:
                key = (row["table"], row["key"])
                stored = self._rows.get(key)
                current = stored[0] if stored and stored[1] is not None else 0
                if current != row["ver"]:
                    failed.append((key, stored))
            if failed:
                rows = [self._row(key, stored) for key, stored in failed
                        if stored]
                return request.reply(412, self._answer(rows=rows))
            self._version += 1
            for row in body["set-keys"]:
                self._rows[(row["table"], row["key"])] = (
                    self._version, base64.b64decode(row["value"]))
            for row in body["remove"]:
                self._rows[(row["table"], row["key"])] = (self._version, None)
            self._changed.notify_all()
            answer = self._answer()
        return request.reply(200, answer)

    def _get(self, request, query):
        start, end = query.get("from", ""), query.get("to")
        time.sleep(0.004)
        with self._changed:
            rows = [self._row(key, stored)
                    for key, stored in sorted(self._rows.items())
                    if key[0] == query["table"] and key[1] >= start
                    and (end is None or key[1] < end)
                    and stored[1] is not None]
            answer = self._answer(rows=rows, **{"has-more": False})
        return request.reply(200, answer)

    def _feed(self, request, query):
        after = int(query["after"])
        until = now() + int(query.get("wait-ms", "0")) / 1000

        def changes():
            return sorted(
                (self._row(key, stored) for key, stored in self._rows.items()
                 if key[0] == query["table"] and stored[0] > after),
                key=lambda row: row["ver"])

        with self._changed:
            while not changes() and now() < until:
                self._changed.wait(until - now())
            answer = self._answer(rows=changes())
        return request.reply(200, answer)


# --- runners --------------------------------------------------------------


class Run:
    def __init__(self, task, number, spec, work_s):
        self.task, self.number, self.spec = task, number, spec
        self.started = now()
        self.ends_at = self.started + work_s
        self.work_s = work_s
        self.stopping_at = None


class Runner:
    """A sound runner that takes `call` orders. The spec of a task is its work
    in milliseconds."""

    def __init__(self, record, name, agent_port, cores=16):
        self.record, self.name = record, name
        self.agent_port = agent_port
        self.capacity = {"cpu": cores * 1000, "mem-mb": 65536, "gpu": 0}
        self.port, = free_ports(1)
        self.state = "ready"
        self.starts = []  # (time, task, run)
        self.ends = []  # (time, task)
        self.heartbeats_acked = []  # (time, state)
        self.born = int(time.time() * 1000)
        self._clock_start = now() - 1
        self._token = 0
        self._lease = 0.0
        self._running = {}
        self._highest = {}
        self._ended = []
        self._last_number = 0
        self._sequence = 0
        self._is_open = True
        self._changed = threading.Condition()
        self._server = serve(self, self.port)
        threading.Thread(target=self._beat, daemon=True).start()
        threading.Thread(target=self._work, daemon=True).start()

    def close(self):
        self._is_open = False

    def clock(self):
        return int((now() - self._clock_start) * 1000)

    def running_tasks(self):
        with self._changed:
            return list(self._running)

    def heartbeat(self):
        return {"service": SERVICE, "address": f"{HOST}:{self.port}",
                "zone": "ylaportti", "version": "v1", "slots": 8,
                "state": self.state, "cold-remaining-ms": 0,
                "capacity": self.capacity, "labels": ["a", "r1-1"],
                "clock-ms": self.clock(), "sequence": self._sequence,
                "born": self.born}

    def beat_once(self):
        self._sequence += 1
        body = self.heartbeat()
        answer = call(self.agent_port, "POST",
                      f"/Instances.Heartbeat/{self.name}", body, timeout=1)
        if answer and answer[0] // 100 == 2:
            self.heartbeats_acked.append((now(), body["state"]))

    def _beat(self):
        while self._is_open:
            self.beat_once()
            time.sleep(HEARTBEAT_S if self.heartbeats_acked else 0.2)

    def _end(self, run, how):
        del self._running[run.task]
        self._last_number += 1
        self._ended.append([self._last_number, run.task, run.number, how, ""])
        self.ends.append((now(), run.task))
        self.record.log(f"{self.name} end {run.task} run {run.number} {how}")
        self._changed.notify_all()

    def _work(self):
        while self._is_open:
            time.sleep(0.002)
            with self._changed:
                for run in list(self._running.values()):
                    if run.stopping_at and now() >= run.stopping_at:
                        self._end(run, "stopped")
                    elif self.clock() > self._lease:
                        self._end(run, "lapsed")
                    elif now() >= run.ends_at:
                        self._end(run, "done")

    def handle(self, request):
        body = json.loads(request.body() or b"{}")
        expected = request.headers.get("X-Cyclamenwalk-Expected-Instance")
        if expected not in (None, self.name):
            return request.reply(421, {"clock-ms": self.clock()})
        orders = {"/run-start": self._start, "/run-stop": self._stop,
                  "/hold": self._hold}
        order = orders.get(request.path)
        if not order:
            return request.reply(404, {})
        return order(request, body)

    def _conflict(self, request, reason):
        return request.reply(409, {"clock-ms": self.clock(),
                                   "reason": reason})

    def _renew(self, body):
        if "deadline-ms" in body:
            limit = self.clock() + BOUNDS["hold-max-ms"]
            self._lease = max(self._lease, min(body["deadline-ms"], limit))

    def _is_fenced(self, body):
        token = body.get("fencing-token", 0)
        if token < self._token:
            return True
        self._token = token
        return False

    def _start(self, request, body):
        task, number = body["task"], body["run"]
        with self._changed:
            if self._is_fenced(body):
                return self._conflict(request, "fence")
            current = self._running.get(task)
            if current and current.number == number:
                self._renew(body)
                return request.reply(200, {"clock-ms": self.clock()})
            if body["deadline-ms"] <= self.clock():
                return self._conflict(request, "late")
            self._renew(body)
            if number <= self._highest.get(task, 0):
                return self._conflict(request, "old")
            self._highest[task] = number
            run = Run(task, number, body["spec"], int(body["spec"]) / 1000)
            self._running[task] = run
            self.starts.append((now(), task, number))
            self.record.log(f"{self.name} start {task} run {number}")
        return request.reply(200, {"clock-ms": self.clock()})

    def _stop(self, request, body):
        with self._changed:
            if self._is_fenced(body):
                return self._conflict(request, "fence")
            task, number = body["task"], body["run"]
            self._highest[task] = max(self._highest.get(task, 0), number)
            run = self._running.get(task)
            if run and run.number == number and not run.stopping_at:
                run.stopping_at = now() + 0.03
                self.record.log(f"{self.name} stop {task} run {number}")
        return request.reply(200, {"clock-ms": self.clock()})

    def _hold(self, request, body):
        until = now() + body.get("wait-ms", 0) / 1000
        with self._changed:
            if self._is_fenced(body):
                return self._conflict(request, "fence")
            self._renew(body)
            seen = body["last-seen"]
            self._ended = [end for end in self._ended if end[0] > seen]
            while not self._ended and now() < until:
                self._changed.wait(until - now())
            running = [[run.task, run.number, "",
                        min(99, int(100 * (now() - run.started) /
                                    max(run.work_s, 0.001))), 0]
                       for run in self._running.values()]
            answer = {"clock-ms": self.clock(), "born": self.born,
                      "running": running, "finished": self._ended[:500]}
        return request.reply(200, answer)


# --- the programs ---------------------------------------------------------


class Machine:
    """One machine with one role of the deploy file."""

    def __init__(self, fleet, role, name):
        self.fleet, self.role, self.name = fleet, role, name
        self.frontend, self.readiness, self.control, self.first, self.last = \
            free_ports(5)
        self.process = None
        self.exits = []
        self.seeds = None  # ports; else those of the first three entries

    def fields(self):
        return {
            "node-name": self.name, "zone": "ylaportti", "ip": HOST,
            "listen-addrs": {"frontend": f"{HOST}:{self.frontend}",
                             "readiness": f"{HOST}:{self.readiness}",
                             "control-plane": f"{HOST}:{self.control}"},
            "internal-port-range": [self.first, self.last],
            "seeds": [f"{HOST}:{port}" for port in self.seeds or
                      [entry.control for entry in self.fleet.entries[:3]]],
            "limits": {"cpu-share": 0.25, "memory-mb": 260, "max-fds": 4100},
            "contracts": ["base", "drain", "config", "recover", "sched",
                          "platform"],
            "platform": {"address": f"{HOST}:{self.fleet.store.port}"},
            "bounds": self.fleet.bounds,
        }

    def start(self):
        deploy = self.fleet.deploy["roles"][self.role]
        fields = self.fields()
        settings = self.fleet.folder / f"{self.name}.ini"
        template = (ROOT / deploy["template"]).read_text(encoding="utf-8")
        settings.write_text(render(template, fields), encoding="utf-8")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        for key, value in deploy.get("env", {}).items():
            environment[key] = render(value, fields)
        environment["CYCLAMENWALK_SETTINGS"] = str(settings)
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(deploy["run"].split(), cwd=ROOT,
                                        env=environment, stdout=log,
                                        stderr=subprocess.STDOUT)
        log.close()
        self.fleet.record.log(f"{self.name} started")

    def signal(self, number):
        self.fleet.record.log(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log_text(self):
        return (self.fleet.folder / f"{self.name}.log").read_text(
            encoding="utf-8", errors="replace")

    def is_ready(self):
        answer = call(self.readiness, "GET", "/readyz", timeout=1)
        return bool(answer) and answer[0] == 200


class Fleet:
    """Entries, agents with a runner each, and the store."""

    def __init__(self, record, entries, agents, bounds=None, cores=16):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="cyclamenwalk-case-"))
        self.deploy = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.store = Store(record)
        self.entries = [Machine(self, "entry", f"edge-ylaportti-{i + 1}")
                        for i in range(entries)]
        self.agents = [Machine(self, "agent", f"side-ylaportti-{i + 1}")
                       for i in range(agents)]
        self.runners = [Runner(record, f"i-{i + 1:08x}", machine.control,
                               cores)
                        for i, machine in enumerate(self.agents)]
        self.configure(7)

    def configure(self, version):
        route = {"name": "r-wrr6x73", "host": ROUTE_HOST,
                 "path-prefix": ROUTE_PREFIX, "kind": "non_idempotent",
                 "timeout-ms": 1500, "target-latency-ms": 60, "priority": 0,
                 "service": SERVICE, "max-attempts": 4, "slack-factor": 1.6}
        service = {"name": SERVICE, "health-path": "/healthz",
                   "max-conns": 64, "protocol": "h1", "tls": False,
                   "enforces-capacity": False, "standby": False}
        limits = {"max-header-bytes": 16384, "max-body-bytes": 262144,
                  "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
        self.store.put("op", "config", json.dumps(
            {"version": version, "routes": [route], "services": [service],
             "limits": limits}).encode())

    def start(self, timeout=20):
        for machine in self.entries + self.agents:
            machine.start()
        self.await_ready(self.entries, timeout)

    def await_ready(self, machines, timeout=20):
        until = now() + timeout
        while not all(machine.is_ready() for machine in machines):
            if now() > until:
                raise CannotRun("the entries don't become ready")
            time.sleep(0.05)

    def all_starts(self):
        return sorted((at, task, run, runner.name) for runner in self.runners
                      for at, task, run in runner.starts)

    def stop(self):
        for runner in self.runners:
            runner.close()
        for machine in self.entries + self.agents:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def path_of(job):
    return ROUTE_PREFIX + job


def submit(entry, job, tasks=1, work_ms=500, cpu=1000, deadline_ms=5000):
    """POSTs a best-effort job; (status, body) or None."""
    body = {"spec": str(work_ms), "best-effort": True,
            "steps": [{"count": tasks, "cpu": cpu, "mem-mb": 64,
                       "estimated-ms": work_ms}]}
    headers = {"Host": ROUTE_HOST, "Content-Type": "application/json",
               "X-Cyclamenwalk-Deadline-Ms": str(deadline_ms)}
    return call(entry.frontend, "POST", path_of(job), body, headers,
                timeout=deadline_ms / 1000 + 1)


def cancel(entry, job, deadline_ms=4000):
    headers = {"Host": ROUTE_HOST,
               "X-Cyclamenwalk-Deadline-Ms": str(deadline_ms)}
    return call(entry.frontend, "DELETE", path_of(job), headers=headers,
                timeout=deadline_ms / 1000 + 1)


def new_job():
    return os.urandom(8).hex()


def run_case(folder, play):
    """Plays a case; returns its exit status."""
    record = Record(folder)
    try:
        status = play(record)
    except CannotRun as error:
        record.log(f"could not run: {error}")
        status = COULD_NOT_RUN
    record.log(f"exit {status}")
    record.close()
    return status
