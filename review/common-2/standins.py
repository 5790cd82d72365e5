"""Stand-ins of the platform for the cases of the second review: the store, upstreams and callers, all on loopback.

Each behaves as the platform's pages say. A case starts entry hosts with the command of the deploy file."""

import base64
import http.client
import http.server
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = ["target/src/ragworthinge", "steer"]  # `run` of deploy/system.toml
ZONES = {"mty-a": "norte", "qro-a": "bajio", "mid-a": "sureste"}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of the sheet of a small installation (cpn-permisos).
CONTACT_S, APPLY_S, STRETCH_S, GRACE_S, DRAIN_S, HEARTBEAT_S = 3.0, 2.0, 5.0, 6.0, 2.0, 1.5


class cannot_run(Exception):
    """The case could not be played; it says nothing of the rule."""


class record:
    """record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.started, text))
            self.file.flush()


class quiet_server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        """Connections that the other side ends are part of the cases."""


class handler_base(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *arguments):
        pass

    def reply(self, status, body=b"", fields=()):
        self.send_response_only(status)
        for name, value in fields:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


class store:
    """The platform's metadata store. Leases, watches, conditional writes; `away` and `come_back_from` play the drill in
    which it returns from a copy."""

    def __init__(self):
        self.changed = threading.Condition()
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.next_lease, self.era = 100, 1, 1
        self.is_away = False
        owner = self

        class handler(handler_base):
            def do_GET(self):
                owner._serve(self, "GET")

            def do_POST(self):
                owner._serve(self, "POST")

            def do_DELETE(self):
                owner._serve(self, "DELETE")

        self.server = quiet_server(("127.0.0.1", 0), handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._expire_leases, daemon=True).start()

    # What the operator and the backends do. They can't write while the store is away.

    def put(self, key, value):
        with self.changed:
            if self.is_away:
                return None
            return self._put(key, json.dumps(value).encode(), 0)

    def remove(self, key):
        with self.changed:
            return None if self.is_away else self._remove(key)

    def copy(self):
        with self.changed:
            return {"items": dict(self.items), "history": list(self.history), "leases": dict(self.leases),
                    "revision": self.revision}

    def go_away(self):
        with self.changed:
            self.is_away = True
            self.changed.notify_all()

    def come_back_from(self, copy):
        """Returns with the state of the copy. Leases of the copy run on, those granted since are gone."""
        with self.changed:
            self.items, self.history, self.leases = dict(copy["items"]), list(copy["history"]), dict(copy["leases"])
            self.revision = copy["revision"]
            self.era += 1
            self.is_away = False

    # Calls.

    def _put(self, key, raw, lease):
        self.revision += 1
        created = self.items[key]["createRevision"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(raw).decode(), "rev": self.revision,
                           "createRevision": created, "lease": lease}
        self.history.append(self.items[key])
        self.changed.notify_all()
        return self.revision

    def _remove(self, key):
        if self.items.pop(key, None) is None:
            return None
        self.revision += 1
        self.history.append({"key": key, "rev": self.revision, "removed": True})
        self.changed.notify_all()
        return self.revision

    def _expire_leases(self):
        while True:
            time.sleep(0.1)
            with self.changed:
                if self.is_away:
                    continue
                now = time.monotonic()
                for lease in [lease for lease, (_, end) in self.leases.items() if end < now]:
                    del self.leases[lease]
                    for key in [key for key, item in self.items.items() if item["lease"] == lease]:
                        self._remove(key)

    def _serve(self, call, method):
        body = call.rfile.read(int(call.headers.get("Content-Length", 0)))
        path, _, text = call.path.partition("?")
        query = {}
        for pair in text.split("&"):
            name, _, value = pair.partition("=")
            query[name] = value.replace("%2F", "/")
        with self.changed:
            if self.is_away:
                call.close_connection = True  # No answer.
                return
            if path == "/api/kv-watch":
                status, answer = self._watch(query)
            else:
                status, answer = self._answer(method, path, query, json.loads(body) if body else {})
            era = self.era
        if status is None:
            call.close_connection = True
            return
        time.sleep(0.004)
        call.reply(status, json.dumps(answer).encode() if answer is not None else b"",
                   [("Content-Type", "application/json"), ("Store-Era", str(era))])

    def _watch(self, query):
        end, after, era = time.monotonic() + int(query["waitMs"]) / 1000, int(query["after"]), self.era
        if after > self.revision:
            return 410, None
        while True:
            events = [event for event in self.history if event["rev"] > after and event["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            self.changed.wait(left)
            if self.is_away or self.era != era:
                return None, None  # A waiting watch is cut.

    def _answer(self, method, path, query, body):
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, None)
        if path == "/api/kv-range":
            items = [item for key, item in sorted(self.items.items())
                     if key.startswith(query["prefix"]) and key > query.get("after", "")]
            return 200, {"items": items[:500], "truncated": len(items) > 500, "at": self.revision}
        if path == "/api/kv-lease":
            self.next_lease += 1
            lease = self.era * 1000000 + self.next_lease
            self.leases[lease] = (body["ttlMs"], time.monotonic() + body["ttlMs"] / 1000)
            return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, None
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        if path == "/api/kv-txn":
            puts, deletes = body.get("puts", []), body.get("deletes", [])
            if any(key.startswith(("op/", "servers/")) for key in [put["key"] for put in puts] + deletes):
                return 403, None
            for wanted in body.get("expect", []):
                if self.items.get(wanted["key"], {"rev": 0})["rev"] != wanted["rev"]:
                    return 412, {"items": [self.items[row["key"]] for row in body["expect"] if row["key"] in self.items]}
            if any(put.get("lease", 0) and put["lease"] not in self.leases for put in puts):
                return 404, None
            for put in puts:
                self._put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
            for key in deletes:
                self._remove(key)
            return 200, {"rev": self.revision}
        return 404, None


class upstream:
    """A backend: one request at a time on a connection, 421 for another's requests, an entry that it renews."""

    def __init__(self, name, service, zone, log, platform_store, slots=8, work=0.02):
        self.name, self.service, self.zone, self.log, self.store = name, service, zone, log, platform_store
        self.slots, self.work = slots, work
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000) - 60000
        self.runs = []  # (time, request id, fields)
        self.lock = threading.Lock()
        owner = self

        class handler(handler_base):
            def do_GET(self):
                owner.serve(self)

            do_POST = do_GET
            do_DELETE = do_GET

        self.handler = handler
        self.server = None
        self.listen(free_ports(1)[0])
        threading.Thread(target=self._beat, daemon=True).start()

    def listen(self, port):
        self.server = quiet_server(("127.0.0.1", port), self.handler)
        self.port = self.server.server_address[1]
        self.address = "127.0.0.1:%d" % self.port
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born}

    def announce(self):
        self.sequence += 1
        return self.store.put("servers/" + self.name, self.entry())

    def _beat(self):
        while True:
            self.announce()
            time.sleep(HEARTBEAT_S)

    def answer_fields(self, request_id):
        return [("Ragworthinge-Request-Id", request_id), ("Ragworthinge-Server-Load", "0,0,%d" % self.slots),
                ("Keep-Alive", "timeout=10")]

    def serve(self, call):
        """Reads the request and answers it. Cases replace this."""
        call.rfile.read(int(call.headers.get("Content-Length", 0)))
        if not self.accept(call):
            return
        time.sleep(self.work)
        self.answer(call)

    def accept(self, call):
        """Notes that the request runs here; false if it was rejected."""
        request_id = call.headers["Ragworthinge-Request-Id"]
        if call.headers["Ragworthinge-Expect-Instance"] not in (None, self.name):
            call.reply(421, b"", self.answer_fields(request_id))
            return False
        with self.lock:
            self.runs.append((time.monotonic(), request_id, dict(call.headers.items())))
        self.log.write("%s of %s runs %s for %s" % (self.name, self.service, request_id,
                                                    call.headers["Ragworthinge-Tenant"]))
        return True

    def answer(self, call):
        request_id = call.headers["Ragworthinge-Request-Id"]
        call.reply(200, ("%s %s\n" % (self.name, request_id)).encode(),
                   self.answer_fields(request_id) + [("Ragworthinge-Server-Stamp", "stamp-" + request_id)])

    def ran(self, request_id):
        with self.lock:
            return [run for run in self.runs if run[1] == request_id]


def free_ports(count):
    """Ports below the range from which the system takes those of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(15000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class entry_host:
    """One process of the deploy file's role, with settings as deploy/steering.json makes them."""

    def __init__(self, folder, name, zone, store_port, log):
        self.name, self.zone, self.store_port, self.log, self.folder, self.process = name, zone, store_port, log, folder, None
        self.settings = os.path.join(folder, name + ".json")
        self.take_ports()

    def take_ports(self):
        self.callers, self.ready, self.lookups, self.peers, self.metrics = free_ports(5)
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump({"host": self.name, "region": ZONES[self.zone], "failure_domain": self.zone, "capacity": 0.2, "link_mbps": 1000,
                       "memory_mb": 260, "descriptors": 4100,
                       "listen": {"callers": "127.0.0.1:%d" % self.callers, "readiness": "127.0.0.1:%d" % self.ready,
                                  "lookups": "127.0.0.1:%d" % self.lookups, "peers": "127.0.0.1:%d" % self.peers,
                                  "metrics": "127.0.0.1:%d" % self.metrics},
                       "store": "127.0.0.1:%d" % self.store_port,
                       "failure_domains": [{"name": one, "region": region} for one, region in ZONES.items()],
                       "bounds": {"lookup_lifetime_s": 5, "stop_time_s": GRACE_S, "retry_ratio": 0.2, "extra_retries": 56,
                                  "retry_window_s": 10}}, file)

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["RAGWORTHINGE_BOOT"] = self.settings
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as output:
            self.process = subprocess.Popen(PROGRAM, cwd=ROOT, env=environment, stdout=output, stderr=output)
        self.log.write("%s starts" % self.name)

    def signal(self, number):
        self.log.write("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self.ready, timeout=1)
            connection.request("GET", "/api/ready")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except (OSError, http.client.HTTPException):
            return False

    def ask(self, request_id, path, key="key-one", method="GET", body=None, limit_s=2.0, patience_s=None, object_name="17"):
        """One client attempt on a connection of its own. The status is 0 if no complete answer came."""
        self.log.write("client sends %s %s %s to %s with %s" % (request_id, method, path, self.name, key))
        connection = http.client.HTTPConnection("127.0.0.1", self.callers, timeout=patience_s or limit_s + 1)
        try:
            connection.request(method, path, body=body, headers={
                "Host": "permits.example", "Ragworthinge-Request-Id": request_id,
                "Ragworthinge-Affinity-Key": object_name, "Api-Key": key,
                "Ragworthinge-Request-Deadline-Ms": str(int(limit_s * 1000))})
            answer = connection.getresponse()
            text = answer.read()
            status, stamp = answer.status, answer.headers.get("Ragworthinge-Server-Stamp")
        except (OSError, http.client.HTTPException) as problem:
            status, text, stamp = 0, repr(problem).encode(), None
        finally:
            connection.close()
        self.log.write("client gets %d for %s%s: %s" % (status, request_id, "" if stamp is None else " with a receipt",
                                                        text[:80].decode(errors="replace").strip()))
        return status


def route(name, prefix, kind, service, timeout_ms=2000, target_ms=300, attempts=2):
    return [name, "permits.example", prefix, kind, timeout_ms, target_ms, 1, attempts, False, False, service]


def configuration(version, routes, services, keys):
    """A configuration with one tenant that holds the keys."""
    return {"version": "r%d" % version,
            "routes": {"columns": ["name", "host", "prefix", "kind", "timeoutMs", "targetLatencyMs", "priority",
                                   "maxAttempts", "public", "sticky", "service"], "rows": routes},
            "services": {"columns": ["name", "healthPath", "maxConnections", "coldStartS", "coldPerS"],
                         "rows": [[one, "/health", 330, 3.0, 4.9] for one in services]},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": {"columns": ["name", "apiKeys", "priority", "ratePerS", "burst", "allowedRegions"],
                        "rows": [["franchise", keys, 1, 1000, 1000, []]]}}


def wait_until(what, seconds, condition):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise cannot_run("%s not within %.0f s" % (what, seconds))


def start_hosts(hosts, folder, platform_store, log):
    """Starts one host in each zone and waits until all are ready. One whose port was taken meanwhile starts with others."""
    for zone in ZONES:
        hosts.append(entry_host(folder, "front-%s-1" % zone, zone, platform_store.port, log))
        hosts[-1].start()

    def are_ready():
        for host in hosts:
            if host.process.poll() is not None:
                host.take_ports()
                host.start()
        return all(host.is_ready() for host in hosts)

    wait_until("all hosts ready", 15, are_ready)


def play(case):
    """Runs `case(log, folder, hosts)`, which returns a text that tells how the rule was broken, or None. Exits with 1 if
    it was broken, 0 if it held and 2 if the case could not run."""
    def told_to_stop(*_):
        raise cannot_run("told to stop")

    signal.signal(signal.SIGTERM, told_to_stop)
    log = record(os.environ["CASE"])
    folder = tempfile.mkdtemp()
    hosts = []
    code = 2
    try:
        if not os.access(os.path.join(ROOT, PROGRAM[0]), os.X_OK):
            raise cannot_run(PROGRAM[0] + " is not built")
        broken = case(log, folder, hosts)
        code = 0 if broken is None else 1
        text = "rule held" if broken is None else "RULE BROKEN: " + broken
    except Exception as problem:  # Whatever it is, nothing was shown.
        text = "could not run: %r" % problem
    finally:
        for host in hosts:
            host.end()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    log.write(text)
    print(("with" if TROUBLE else "without") + " the disruption: " + text, flush=True)
    os._exit(code)
