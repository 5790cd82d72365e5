"""Stand-ins of the platform's store, of backends and of clients, and what a case needs to start entry hosts.

All on loopback addresses, in one asyncio loop. They follow PROTOCOL.md; each fault that a case needs is switched on by
that case."""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


def program():
    """The program as the deploy file's build leaves it."""
    return os.environ.get("RAGWORTHINGE", os.path.join(ROOT, "target", "src", "ragworthinge"))


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write("%9.3f %s\n" % (self.now(), text))
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


async def read_message(reader):
    """One HTTP message with a length or in chunks: first line, header fields in lower case, body. None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = b""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], fields, body


def message(first, fields, body=b"", length=True):
    lines = [first] + ["%s: %s" % pair for pair in fields]
    if length:
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store: keys with revisions, leases, a history that can be watched."""

    def __init__(self, record):
        self.record = record
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.last_lease = 1, 1000
        self.changed = asyncio.Condition()
        self.mode = "up"          # "up", "busy" (503) or "silent"
        self.lapse = False        # Whether leases run out while the store is not up.
        self.lose_late = None     # Decides by (path, body) whether a call is done later and not answered: seconds or None.

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.create_task(self._expire())

    def put(self, key, value, lease=0):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["createRevision"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(raw).decode(), "rev": self.revision,
                           "createRevision": created, "lease": lease}
        self.history.append(self.items[key])
        self._notify()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"key": key, "rev": self.revision, "removed": True})
            self._notify()

    def _notify(self):
        async def tell():
            async with self.changed:
                self.changed.notify_all()
        asyncio.get_running_loop().create_task(tell())

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            if self.mode != "up" and not self.lapse:
                for lease in self.leases:
                    self.leases[lease][1] += 0.1
                continue
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self.leases.items() if end < now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.record.write("store: lease %d has ended, %s is removed" % (lease, key))
            self.remove(key)

    async def _serve(self, reader, writer):
        try:
            while True:
                read = await read_message(reader)
                if read is None:
                    break
                first, fields, body = read
                method, target, _ = first.split(" ")
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                parsed = json.loads(body) if body else {}
                delay = self.lose_late(url.path, parsed) if self.lose_late else None
                if delay is not None:
                    asyncio.create_task(self._do_late(delay, method, url.path, query, parsed))
                    await asyncio.sleep(3600)
                if self.mode == "busy":
                    status, answer = 503, None
                elif url.path == "/api/kv-watch":
                    status, answer = await self._watch(query)
                else:
                    status, answer = self._answer(method, url.path, query, parsed)
                text = b"" if answer is None else json.dumps(answer).encode()
                writer.write(message("HTTP/1.1 %d X" % status, [("Content-Type", "application/json")], text))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _do_late(self, delay, method, path, query, body):
        await asyncio.sleep(delay)
        status, _ = self._answer(method, path, query, body)
        self.record.write("store: %s is done %.1f s late and not answered, status %d: %s"
                          % (path, delay, status, json.dumps(body)[:200]))

    async def _watch(self, query):
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if self.mode != "up":
                return 503, None
            events = [event for event in self.history
                      if event["rev"] > int(query["after"]) and event["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    def _answer(self, method, path, query, body):
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, at=self.revision)) if item else (404, None)
        if path == "/api/kv-range":
            items = [item for key, item in sorted(self.items.items())
                     if key.startswith(query["prefix"]) and key > query.get("after", "")]
            return 200, {"items": items, "truncated": False, "at": self.revision}
        if path == "/api/kv-lease":
            self.last_lease += 1
            self.leases[self.last_lease] = [body["ttlMs"], time.monotonic() + body["ttlMs"] / 1000]
            return 200, {"lease": self.last_lease, "ttlMs": body["ttlMs"]}
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, None
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0] / 1000
            return 200, {"ttlMs": self.leases[lease][0]}
        if path.startswith("/api/kv-lease-end/"):
            self._end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/api/kv-txn":
            for wanted in body["expect"]:
                if self.items.get(wanted["key"], {"rev": 0})["rev"] != wanted["rev"]:
                    return 412, {"items": [self.items[row["key"]] for row in body["expect"] if row["key"] in self.items]}
            if any(put.get("lease", 0) and put["lease"] not in self.leases for put in body["puts"]):
                return 404, None
            for put in body["puts"]:
                self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
            for key in body["deletes"]:
                self.remove(key)
            return 200, {"rev": self.revision}
        return 404, None


class Backend:
    """A backend with slots and a queue. Notes each run: (seconds, request id, tenant, method and path)."""

    def __init__(self, record, name, service, zone, slots=3, queue=9, work=0.05, cold_ms=0):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.slots, self.queue, self.work, self.cold_ms = slots, queue, work, cold_ms
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.runs, self.ends, self.arrivals = [], {}, []
        self.sequence = 1

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "coldRemainingMs": self.cold_ms, "sequence": self.sequence,
                "born": 1700000000000}

    def load(self):
        return "%d,%d,%d" % (self.running, self.waiting, self.slots)

    async def _serve(self, reader, writer):
        try:
            while True:
                read = await read_message(reader)
                if read is None:
                    break
                await self.handle(read, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, read, writer):
        first, fields, body = read
        request_id = fields.get("ragworthinge-request-id", "")
        echo = [("Ragworthinge-Request-Id", request_id), ("Ragworthinge-Server-Load", self.load())]
        if fields.get("ragworthinge-expect-instance", self.name) != self.name:
            writer.write(message("HTTP/1.1 421 X", echo + [("Ragworthinge-Instance-Id", self.name)]))
            return await writer.drain()
        self.arrivals.append((time.monotonic(), request_id))
        if self.running >= self.slots and self.waiting >= self.queue:
            self.record.write("backend %s rejects %s" % (self.name, request_id))
            writer.write(message("HTTP/1.1 503 X", echo + [("Ragworthinge-Not-Run", "1")]))
            return await writer.drain()
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        self.running += 1
        try:
            self.runs.append((time.monotonic(), request_id, fields.get("ragworthinge-tenant", ""), first))
            self.record.write("backend %s runs %s" % (self.name, request_id))
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
            self.free.release()
        self.ends[request_id] = time.monotonic()
        answer = message("HTTP/1.1 200 OK", [("Ragworthinge-Request-Id", request_id),
                                             ("Ragworthinge-Server-Load", self.load()),
                                             ("Ragworthinge-Server-Stamp", "stamp." + self.name)],
                         self.answer_body(request_id))
        writer.write(answer)
        await writer.drain()

    def answer_body(self, request_id):
        return json.dumps({"by": self.name, "for": request_id}).encode()


class Host:
    """An entry host: the project's program with the command of the deploy file."""

    def __init__(self, record, folder, name, store_port, zones, zone, grace_s=6):
        self.record, self.folder, self.name = record, folder, name
        self.callers, self.ready, self.lookups, self.peers, self.metrics = free_ports(5)
        self.settings = os.path.join(folder, name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump({"host": name, "region": zones[zone], "failure_domain": zone, "capacity": 0.2,
                       "listen": {"callers": "127.0.0.1:%d" % self.callers, "readiness": "127.0.0.1:%d" % self.ready,
                                  "lookups": "127.0.0.1:%d" % self.lookups, "peers": "127.0.0.1:%d" % self.peers,
                                  "metrics": "127.0.0.1:%d" % self.metrics},
                       "store": "127.0.0.1:%d" % store_port,
                       "failure_domains": [{"name": each, "region": region} for each, region in zones.items()],
                       "bounds": {"lookup_lifetime_s": 5, "stop_time_s": grace_s, "retry_ratio": 0.2, "extra_retries": 64,
                                  "retry_window_s": 10}}, file)
        self.process = None

    def start(self):
        self.output = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen([program(), "steer"], cwd=ROOT, stdout=self.output, stderr=self.output,
                                        env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "LANG": "C",
                                             "RAGWORTHINGE_BOOT": self.settings})
        self.record.write("host %s starts" % self.name)

    def signal(self, number):
        self.record.write("host %s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def ended(self, limit):
        """Waits for the process; kills it after the limit, as the platform does."""
        end = time.monotonic() + limit
        while self.process.poll() is None:
            if time.monotonic() >= end:
                self.process.kill()
                self.process.wait()
                self.record.write("host %s is killed after %.1f s" % (self.name, limit))
                return
            await asyncio.sleep(0.005)
        self.record.write("host %s has ended with code %d" % (self.name, self.process.returncode))

    async def is_ready(self):
        try:
            status, _, _ = await call("127.0.0.1", self.ready, "GET", "/api/ready", [("Host", "ready")], limit=1)
            return status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def named_hosts(self, region):
        try:
            status, _, body = await call("127.0.0.1", self.lookups, "GET",
                                         "/api/resolve?name=a.example&region=%s&zone=z" % region, [("Host", "x")], limit=1)
            return json.loads(body)["addresses"] if status == 200 else []
        except (OSError, asyncio.TimeoutError):
            return []


class Closed(OSError):
    """The connection ended without a complete answer."""


async def call(address, port, method, path, fields, body=None, limit=5.0):
    """One request on a new connection: status, header fields, body. Closed if it ends without a complete answer."""

    async def one():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            writer.write(message("%s %s HTTP/1.1" % (method, path), fields, body or b"", length=body is not None))
            await writer.drain()
            return await read_answer(reader)
        except ConnectionError as problem:
            raise Closed(str(problem)) from problem
        finally:
            writer.close()
    return await asyncio.wait_for(one(), limit)


async def read_answer(reader):
    read = await read_message(reader)
    if read is None:
        raise Closed("no complete answer")
    first, fields, body = read
    return int(first.split(" ")[1]), fields, body


def configuration(version, routes, tenants, services, body_bytes=67108864):
    """`routes`: rows of name, host, prefix, kind, timeoutMs, targetLatencyMs, priority, maxAttempts, service."""
    return {
        "version": "r%d" % version,
        "routes": {"columns": ["name", "host", "prefix", "kind", "timeoutMs", "targetLatencyMs", "priority",
                               "maxAttempts", "service", "public", "sticky", "allowedRegions"],
                   "rows": [list(row) + [False, False, []] for row in routes]},
        "services": {"columns": ["name", "healthPath", "maxConnections", "coldStartS", "coldPerS"],
                     "rows": [[name, "/health", 390, 3.0, 3.0] for name in services]},
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": body_bytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": {"columns": ["name", "apiKeys", "priority", "ratePerS", "burst", "allowedRegions"],
                    "rows": [[name, [key], 1, rate, burst, []] for name, key, rate, burst in tenants]},
    }


async def until(what, limit, condition):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.02)
    raise RuntimeError("%s: not within %.0f s" % (what, limit))


def run_case(case, folder, limit=110):
    """Runs the case and exits with 0 (the rule held), 1 (it was broken) or 2 (the case could not run)."""
    record = Record(os.path.join(folder, "record.txt"))
    hosts = []
    code = NOT_RUN

    async def guarded(temporary):
        return await asyncio.wait_for(case(record, temporary, hosts), limit)

    with tempfile.TemporaryDirectory() as temporary:
        try:
            if not os.access(program(), os.X_OK):
                raise RuntimeError("the program is not built")
            record.say("trouble is %s" % ("on" if TROUBLE else "off"))
            code = asyncio.run(guarded(temporary))
        except Exception as problem:  # Whatever stops the case, it then counts as not run.
            record.say("the case could not run: %r" % problem)
            code = NOT_RUN
        finally:
            for host in hosts:
                if host.process is not None and host.process.poll() is None:
                    host.process.kill()
                    host.process.wait()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for host in hosts:
                    path = os.path.join(temporary, host.name + ".log")
                    if os.path.exists(path):
                        with open(path, "rb") as source, open(os.path.join(keep, host.name + ".log"), "wb") as copy:
                            copy.write(source.read())
    record.say({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[code])
    sys.stdout.flush()
    os._exit(code)
