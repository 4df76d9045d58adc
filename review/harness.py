"""Stand-ins and helpers for the review cases.

Starts entries and agents with the commands and settings templates of the deploy
file on loopback ports. Store, runners and clients are small stand-ins in this
process that follow the platform's protocol. Everything is recorded with its
time in record.txt beside the case, or in RECORD_FOLDER.
"""

import base64
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD_FOLDER = os.environ.get("BUILD_FOLDER", "target")
PROGRAM = os.path.join(BUILD_FOLDER, "bin/cyclamenwalk-site")
HOST = "127.0.0.1"

# Bounds of the sites' pages, in seconds.
LEASE_MAX = 1.0
STOP_TIME = 0.02
HEARTBEAT = 1.5
RESEND = 1.3
CANCEL = 3.0
STOP_BOUND = 0.05

# Long enough for the connection that replaces one that was reset.
RESET_PERIOD = 0.01

ROUTE_HOST = "gate.example"
PREFIX = "/coin/"
SERVICE = "gatepost"


class CannotRun(Exception):
    """The case could not be set up; nothing is said about the rule."""


class Record:
    def __init__(self, folder):
        self._lock = threading.Lock()
        self._start = time.monotonic()
        self._file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self._start

    def note(self, who, what):
        with self._lock:
            if self._file.closed:
                return
            self._file.write("%8.3f  %-12s %s\n" % (self.now(), who, what))
            self._file.flush()

    def close(self):
        self._file.close()


def free_ports(count):
    """Ports that are free now, below those that the system gives to clients."""
    found = []
    for port in random.sample(range(10000, 32000), 2000):
        with socket.socket() as item:
            try:
                item.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


def serve(port, handle):
    """Serves `handle(method, path, headers, body) -> (status, object)`."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def answer(self):
            size = int(self.headers.get("Content-Length") or 0)
            body = self.rfile.read(size)
            status, value = handle(self.command, self.path, self.headers, body)
            if status is None:
                self.close_connection = True
                return
            data = json.dumps(value).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)
            self.wfile.flush()

        do_GET = do_POST = do_PUT = do_DELETE = answer

        def log_message(self, *_):
            pass

    server = Server((HOST, port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Store:
    """The platform's store: the calls that the programs use."""

    def __init__(self, port):
        self.address = "%s:%d" % (HOST, port)
        self._changed = threading.Condition()
        self._version = 0
        self._rows = {}
        self._feed = []
        self._server = serve(port, self._handle)

    def put(self, table, key, text):
        value = base64.b64encode(text.encode()).decode()
        self._commit({"set-keys": [{"table": table, "part": "", "key": key,
                                    "value": value}]})

    def _commit(self, body):
        with self._changed:
            for row in body.get("expected-revision", []):
                name = (row["table"], row["key"])
                if self._rows.get(name, (0, ""))[0] != row["ver"]:
                    rows = [self._row(*name)] if name in self._rows else []
                    return 412, {"rows": rows, "ver": self._version}
            self._version += 1
            for row in body.get("set-keys", []):
                name = (row["table"], row["key"])
                self._rows[name] = (self._version, row["value"])
                self._feed.append((self._version, name, False))
            for row in body.get("remove", []):
                name = (row["table"], row["key"])
                self._rows.pop(name, None)
                self._feed.append((self._version, name, True))
            self._changed.notify_all()
            return 200, {"ver": self._version, "now-ms": self._clock()}

    @staticmethod
    def _clock():
        return int(time.monotonic() * 1000)

    def _row(self, table, key):
        version, value = self._rows[(table, key)]
        return {"table": table, "part": "", "key": key, "value": value,
                "ver": version}

    def _handle(self, method, path, _headers, body):
        time.sleep(0.004)
        call, _, query = path.partition("?")
        fields = dict(item.split("=", 1) for item in query.split("&") if item)
        if call == "/rows-tx":
            return self._commit(json.loads(body))
        table = fields.get("table", "")
        if call == "/rows-get":
            with self._changed:
                names = sorted(name for name in self._rows
                               if name[0] == table
                               and name[1] >= fields.get("from", "")
                               and ("to" not in fields or name[1] < fields["to"]))
                return 200, {"rows": [self._row(*name) for name in names],
                             "has-more": False, "ver": self._version,
                             "now-ms": self._clock()}
        if call == "/rows-feed":
            after = int(fields.get("after", 0))
            end = time.monotonic() + int(fields.get("wait-ms", 0)) / 1000
            with self._changed:
                while True:
                    rows = []
                    for version, name, is_removed in self._feed:
                        if version <= after or name[0] != table:
                            continue
                        if is_removed or name not in self._rows:
                            rows.append({"table": table, "part": "",
                                         "key": name[1], "ver": version,
                                         "deleted": True})
                        else:
                            rows.append(self._row(*name))
                    left = end - time.monotonic()
                    if rows or left <= 0:
                        return 200, {"rows": rows, "ver": self._version,
                                     "now-ms": self._clock()}
                    self._changed.wait(left)
        return 404, {}


class Runner:
    """A runner of the platform. The spec of a job is its run time in ms."""

    def __init__(self, site, name, port, agent_port, capacity,
                 announced_port):
        self._site = site
        self.name = name
        self.port = port
        self._agent_port = agent_port
        self._announced_port = announced_port
        self._capacity = capacity
        self._origin = time.monotonic()
        self.born = int(time.time() * 1000)
        self._lock = threading.Condition()
        self._token = 0
        self._deadline = 0.0
        self._running = {}
        self._last_runs = {}
        self._ends = []
        self._end_number = 0
        self._sequence = 0
        self.state = "ready"
        self.is_up = True
        self.is_beating = True
        self._server = serve(port, self._handle)
        threading.Thread(target=self._tick, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def clock_ms(self):
        return int((time.monotonic() - self._origin) * 1000) + 100000

    def running(self):
        with self._lock:
            return sorted(self._running)

    def _handle(self, _method, path, headers, body):
        if not self.is_up:
            return None, None
        if headers.get("X-Cyclamenwalk-Expected-Instance") != self.name:
            return 421, {"clock-ms": self.clock_ms()}
        call = json.loads(body)
        with self._lock:
            if call.get("fencing-token", 0) < self._token:
                return 409, self._reply({"reason": "fence"})
            self._token = call.get("fencing-token", 0)
            if path == "/run-start":
                return self._start(call)
            if path == "/run-stop":
                return self._stop(call)
            if path == "/hold":
                return self._hold(call)
        return 404, {}

    def _reply(self, fields):
        return {"clock-ms": self.clock_ms(), "born": self.born, **fields}

    def _extend(self, call):
        if "deadline-ms" not in call:
            return
        until = min(call["deadline-ms"] - self.clock_ms(), LEASE_MAX * 1000)
        self._deadline = max(self._deadline, time.monotonic() + until / 1000)

    def _start(self, call):
        task, run = call["task"], call["run"]
        if call["deadline-ms"] <= self.clock_ms():
            return 409, self._reply({"reason": "late"})
        self._extend(call)
        active = self._running.get(task)
        if active and active["run"] == run:
            return 200, self._reply({})
        if active or run <= self._last_runs.get(task, 0):
            return 409, self._reply({"reason": "old"})
        now = time.monotonic()
        self._running[task] = {"run": run, "from": now,
                               "to": now + int(call["spec"]) / 1000}
        self._site.run_started(self, task, run)
        return 200, self._reply({})

    def _stop(self, call):
        task, run = call["task"], call["run"]
        active = self._running.get(task)
        self._last_runs[task] = max(self._last_runs.get(task, 0), run)
        if active and active["run"] <= run:
            active["to"] = min(active["to"], time.monotonic() + STOP_TIME)
            active["how"] = "stopped"
        return 200, self._reply({})

    def _hold(self, call):
        self._extend(call)
        seen = call.get("last-seen", 0)
        self._ends = [end for end in self._ends if end[0] > seen]
        until = time.monotonic() + min(call.get("wait-ms", 0), 2000) / 1000
        while not self._ends and time.monotonic() < until:
            self._lock.wait(until - time.monotonic())
        now = time.monotonic()
        running = [[task, item["run"], "", min(99, int(
            100 * (now - item["from"]) / max(0.001, item["to"] - item["from"])))]
            for task, item in self._running.items()]
        return 200, self._reply({"running": running,
                                 "finished": self._ends[:500]})

    def _tick(self):
        while True:
            time.sleep(0.003)
            with self._lock:
                now = time.monotonic()
                for task, item in list(self._running.items()):
                    if now >= self._deadline:
                        self._end(task, "lapsed")
                    elif now >= item["to"]:
                        self._end(task, item.get("how", "done"))

    def _end(self, task, how):
        item = self._running.pop(task)
        self._last_runs[task] = max(self._last_runs.get(task, 0), item["run"])
        self._end_number += 1
        self._ends.append([self._end_number, task, item["run"], how, ""])
        self._site.run_ended(self, task, item["run"], how)
        self._lock.notify_all()

    def leave(self):
        """The runner ends; whatever runs on it ends too."""
        with self._lock:
            for task in list(self._running):
                self._end(task, "left")
            self.is_up = False

    def announcement(self, **changes):
        self._sequence += 1
        fields = {"service": SERVICE, "address": "%s:%d" % (HOST, self._announced_port),
                  "zone": "kingston", "version": "v1", "slots": 8,
                  "state": self.state, "cold-remaining-ms": 0,
                  "capacity": {"cpu": self._capacity, "mem-mb": 65536, "gpu": 0},
                  "labels": ["a", "r1-%d" % (int(self.name[2:]) // 3)],
                  "clock-ms": self.clock_ms(), "sequence": self._sequence,
                  "born": self.born}
        fields.update(changes)
        return json.dumps(fields)

    def send_beat(self):
        return http_call(self._agent_port, "POST",
                         "/Instances.Heartbeat/" + self.name,
                         self.announcement(), timeout=1.0)[0]

    def _beat(self):
        while self.is_up and self.is_beating:
            self.send_beat()
            time.sleep(HEARTBEAT)


class Proxy:
    """Forwards connections to a local port, and resets them on demand."""

    def __init__(self, port, target):
        self._port = port
        self._target = target
        self._lock = threading.Lock()
        self._open = set()
        self._lost_call = None
        # The connection whose answer is being lost.
        self._muted = None
        self._listen()

    def _listen(self):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((HOST, self._port))
        self._listener.listen(128)
        threading.Thread(target=self._accept, args=(self._listener,),
                         daemon=True).start()

    def lose_next_answer(self, path):
        """After the next call of `path` was passed on, resets its connection in
        place of the answer, and the connection that replaces it."""
        self._lost_call = b"POST " + path.encode()

    def _accept(self, listener):
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            far = socket.create_connection((HOST, self._target))
            for item in (near, far):
                item.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._open.add(near)
            for pair in ((near, far), (far, near)):
                threading.Thread(target=self._pump, args=pair,
                                 daemon=True).start()

    def _pump(self, source, target):
        try:
            while data := source.recv(65536):
                is_lost = self._lost_call and data.startswith(self._lost_call)
                if is_lost:
                    self._lost_call = None
                    self._muted = source
                if target is not self._muted:
                    target.sendall(data)
                if is_lost:
                    # Time for the runner to carry the call out.
                    time.sleep(0.003)
                    self.reset_connections(RESET_PERIOD, source)
        except OSError:
            pass
        with self._lock:
            self._open.discard(source)
            self._open.discard(target)
        for item in (source, target):
            try:
                item.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def reset_connections(self, period, only=None):
        """Resets the open connections, or just one of them, and for `period`
        seconds those that are being opened. Returns the number of the former.
        """
        # Without a listener the opening packet is answered with a reset.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            found = [only] if only else list(self._open)
            self._open.difference_update(found)
        for connection in found:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      struct.pack("ii", 1, 0))
                # Wakes the thread that reads it; close() sends the reset.
                connection.shutdown(socket.SHUT_RD)
            except OSError:
                pass  # The agent has closed it.
            connection.close()
        time.sleep(period)
        self._listen()
        return len(found)


def http_call(port, method, path, body="", headers=None, timeout=10.0):
    """Returns (status, body); status 0 without an answer."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        connection.request(method, path, body, {
            "Host": ROUTE_HOST, "Content-Type": "application/json",
            **(headers or {})})
        response = connection.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException):
        return 0, ""
    finally:
        connection.close()


class Site:
    """A small deployment: a store, entries, and agents with a runner each."""

    def __init__(self, folder, entries, agents, capacity=32000):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self._lock = threading.Lock()
        self.runs = []
        self._programs = {}
        self._entry_count = entries
        self._agent_count = agents
        ports = iter(sorted(free_ports(1 + 4 * entries + 4 * agents)))
        self.store = Store(next(ports))
        self.entries = ["edge-%d" % i for i in range(entries)]
        self.agents = ["side-%d" % i for i in range(agents)]
        self.ports = {}
        for name in self.entries:
            self.ports[name] = {"control": next(ports), "front": next(ports),
                                "ready": next(ports), "metrics": next(ports)}
        for name in self.agents:
            self.ports[name] = {"control": next(ports), "internal": next(ports),
                                "app": next(ports), "metrics": next(ports)}
        self._capacity = capacity
        self.runners = {}
        # Ports that runners announce instead of their own.
        self.announced = {}
        self.proxies = {}

    def configure(self):
        self.store.put("op", "config", json.dumps({
            "version": 7,
            "routes": [{"name": "r-1", "host": ROUTE_HOST,
                        "path-prefix": PREFIX, "kind": "non_idempotent",
                        "timeout-ms": 1500, "target-latency-ms": 60,
                        "priority": 0, "service": SERVICE, "max-attempts": 4,
                        "slack-factor": 1.6}],
            "services": [{"name": SERVICE, "health-path": "/healthz",
                          "max-conns": 64, "protocol": "h1", "tls": False,
                          "enforces-capacity": False, "standby": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144}}))

    def add_proxies(self):
        """Puts a proxy between each agent and its runner."""
        for agent in self.agents:
            port = free_ports(1)[0]
            self.proxies[agent] = Proxy(port, self.ports[agent]["app"])
            self.announced[agent] = port

    def settings(self, name):
        """Fills in the template of the deploy file as the platform does."""
        is_entry = name in self.entries
        ports = self.ports[name]
        template = "deploy/entry.ini" if is_entry else "deploy/agent.ini"
        seeds = ",".join("%s:%d" % (HOST, self.ports[seed]["control"])
                         for seed in self.entries[:3])
        values = {
            "node-name": name, "zone": "kingston", "ip": HOST, "seeds": seeds,
            "limits.cpu-share": "0.25" if is_entry else "0.15",
            "listen-addrs.control-plane": "%s:%d" % (HOST, ports["control"]),
            "platform.address": self.store.address,
            "internal-port-range.0": str(ports.get("internal", 0)),
            "internal-port-range.1": str(ports["metrics"]),
            "bounds.hold-max-ms": "1000", "bounds.grace-s": "6",
            "bounds.remote-penalty": "1.5", "contracts": ""}
        if is_entry:
            values["listen-addrs.frontend"] = "%s:%d" % (HOST, ports["front"])
            values["listen-addrs.readiness"] = "%s:%d" % (HOST, ports["ready"])
        with open(os.path.join(REPOSITORY, template)) as file:
            text = file.read().replace("target/", BUILD_FOLDER + "/")
        return re.sub(r"{{([^}]*)}}", lambda found: values[found.group(1)], text)

    def start_program(self, name):
        path = os.path.join(self.folder, name + ".ini")
        with open(path, "w") as file:
            file.write(self.settings(name))
        role = "entry" if name in self.entries else "agent"
        log = open(os.path.join(self.folder, name + ".log"), "a")
        self._programs[name] = subprocess.Popen(
            [PROGRAM, role], cwd=REPOSITORY, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder,
                 "CYCLAMENWALK_SETTINGS": path})
        self.record.note(name, "started")

    def start_runner(self, agent):
        ports = self.ports[agent]
        name = agent.replace("side-", "i-")
        self.runners[agent] = Runner(self, name, ports["app"], ports["control"],
                                     self._capacity,
                                     self.announced.get(agent, ports["app"]))

    def start(self):
        if not os.access(os.path.join(REPOSITORY, PROGRAM), os.X_OK):
            raise CannotRun(PROGRAM + " has not been built")
        self.configure()
        for name in self.entries + self.agents:
            self.start_program(name)
        for agent in self.agents:
            self.start_runner(agent)
        for entry in self.entries:
            self.wait_ready(entry)
        # Each entry learns of all agents and of the other entries.
        time.sleep(3)

    def wait_ready(self, entry, timeout=20.0):
        end = time.monotonic() + timeout
        while http_call(self.ports[entry]["ready"], "GET", "/readyz",
                        timeout=1.0)[0] != 200:
            if time.monotonic() > end:
                raise CannotRun(entry + " is not ready")
            time.sleep(0.02)
        self.record.note(entry, "ready")

    def signal(self, name, number):
        self.record.note(name, "gets " + signal.Signals(number).name)
        program = self._programs[name]
        program.send_signal(number)
        if number == signal.SIGKILL:
            program.wait()

    def wait_exit(self, name, timeout=10.0):
        try:
            self._programs[name].wait(timeout)
        except subprocess.TimeoutExpired:
            raise CannotRun(name + " does not exit") from None
        self.record.note(name, "has exited")

    def run_started(self, runner, task, run):
        with self._lock:
            self.runs.append({"task": task, "run": run, "runner": runner.name,
                              "from": self.record.now(), "to": None})
        self.record.note(runner.name, "starts %s run %d" % (task, run))

    def run_ended(self, runner, task, run, how):
        with self._lock:
            for item in self.runs:
                if (item["task"], item["run"], item["runner"], item["to"]) == (
                        task, run, runner.name, None):
                    item["to"] = self.record.now()
                    item["how"] = how
        self.record.note(runner.name, "ends %s run %d: %s" % (task, run, how))

    def submit(self, entry, job, run_ms, tasks=1, cpu=32000, estimated_ms=None,
               deadline_ms=10000):
        """Submits a job and waits for its answer."""
        body = json.dumps({"spec": str(run_ms), "best-effort": True, "steps": [
            {"count": tasks, "cpu": cpu, "mem-mb": 64,
             "estimated-ms": estimated_ms or run_ms}]})
        self.record.note("client", "POST %s to %s" % (job, entry))
        status, text = http_call(
            self.ports[entry]["front"], "POST", PREFIX + job, body,
            {"X-Cyclamenwalk-Deadline-Ms": str(deadline_ms)},
            timeout=deadline_ms / 1000)
        self.record.note("client", "%s: %s %s" % (
            job, status or "no answer", text))
        return status, text

    def submit_with_resends(self, entries, job, **options):
        """Sends a job again after no answer, 502 or 504, as clients do."""
        for entry in entries:
            status, text = self.submit(entry, job, **options)
            if status not in (0, 502, 504):
                break
            time.sleep(RESEND)
        return status, text

    def deregister(self, agent, is_answer_lost):
        """Sends the deregistration of a runner; the connection may be reset
        before its answer arrives."""
        runner = self.runners[agent]
        runner.is_beating = False
        path = "/Instances.Deregister/" + runner.name
        port = self.ports[agent]["control"]
        if is_answer_lost:
            connection = socket.create_connection((HOST, port))
            connection.sendall(("POST %s HTTP/1.1\r\nHost: a\r\n"
                                "Content-Length: 0\r\n\r\n" % path).encode())
            time.sleep(0.005)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  struct.pack("ii", 1, 0))
            connection.close()
            status = 0
        else:
            status, _ = http_call(port, "POST", path, timeout=1.0)
        self.record.note(runner.name, "deregisters: %s" % (
            status or "connection reset, no answer"))
        return status

    def cancel(self, entry, job):
        self.record.note("client", "DELETE %s at %s" % (job, entry))
        status, text = http_call(self.ports[entry]["front"], "DELETE",
                                 PREFIX + job, timeout=4.0)
        self.record.note("client", "DELETE %s: %s %s" % (
            job, status or "no answer", text))
        return status

    def wait_running(self, task, timeout=5.0):
        """Returns the agent beside the runner that runs the task."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            for agent, runner in self.runners.items():
                if task in runner.running():
                    return agent
            time.sleep(0.002)
        raise CannotRun(task + " was not started")

    def ended_runs(self, task):
        """The runs of a task; one that has not ended yet ends now."""
        with self._lock:
            return [dict(item, to=item["to"] or self.record.now())
                    for item in self.runs if task in (None, item["task"])]

    def overlaps(self, min_overlap=0.0):
        """Pairs of runs of one task that ran at the same time."""
        runs = self.ended_runs(None)
        found = []
        for index, first in enumerate(runs):
            for second in runs[index + 1:]:
                shared = (min(first["to"], second["to"]) -
                          max(first["from"], second["from"]))
                if first["task"] == second["task"] and shared > min_overlap:
                    found.append("%s: run %d at %s and run %d at %s, together "
                                 "for %.0f ms" % (
                                     first["task"], first["run"],
                                     first["runner"], second["run"],
                                     second["runner"], shared * 1000))
        return found

    def close(self):
        for program in self._programs.values():
            if program.poll() is None:
                program.send_signal(signal.SIGCONT)
                program.kill()
                program.wait()
        self.record.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_file, case, prepare=None, **site_options):
    """Runs `case(site, has_trouble)`, which returns the breaches it saw.

    Exits with 1 if there were any, 0 if not, 2 if the case could not run.
    """
    folder = os.environ.get(
        "RECORD_FOLDER", os.path.dirname(os.path.abspath(case_file)))
    site = Site(folder, **site_options)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    status = 2
    # The time limit of run.sh ends the programs too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        if prepare:
            prepare(site)
        site.start()
        breaches = case(site, has_trouble)
        for breach in breaches:
            site.record.note("BROKEN", breach)
            print("broken: " + breach)
        status = 1 if breaches else 0
        site.record.note("result", "broken" if breaches else "held")
    except CannotRun as caught:
        site.record.note("result", "cannot run: %s" % caught)
        print("cannot run: %s" % caught)
    except Exception:
        # Python's own exit status would be that of a broken rule.
        traceback.print_exc()
    finally:
        site.close()
    sys.exit(status)
