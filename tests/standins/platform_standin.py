"""Stand-ins of the users' platform for checks on loopback: the key-value store and upstreams."""

import base64
import http.server
import json
import threading
import time
import urllib.parse


class quiet_server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Connections that the other side resets are part of the checks."""


class json_handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        pass

    def reply(self, status, body=None, fields=()):
        text = b"" if body is None else json.dumps(body).encode()
        self.send_response(status)
        for name, value in fields:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))


class kv_standin:
    """Keys with revisions, leases and a history that can be watched. `is_down` refuses all calls, `is_silent` answers
    none. `come_back_from` a copy loses what was written since, gives revisions out again and begins a new era."""

    def __init__(self):
        self.lock = threading.Condition()
        self.items = {}
        self.history = []
        self.leases = {}
        self.revision = 1
        self.era = 1
        self.next_lease = 1000
        self.is_down = False
        self.is_silent = False
        self.calls = 0
        store = self

        class handler(json_handler):
            def do_GET(self):
                store.serve(self, "GET")

            def do_POST(self):
                store.serve(self, "POST")

        self.server = quiet_server(("127.0.0.1", 0), handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value, lease=0):
        with self.lock:
            self._put(key, value.encode() if isinstance(value, str) else json.dumps(value).encode(), lease)

    def remove(self, key):
        with self.lock:
            self._remove(key)

    def copy(self):
        with self.lock:
            return {"items": dict(self.items), "history": list(self.history), "leases": dict(self.leases),
                    "revision": self.revision}

    def come_back_from(self, copy):
        with self.lock:
            self.items, self.history, self.leases = dict(copy["items"]), list(copy["history"]), dict(copy["leases"])
            self.revision = copy["revision"]
            self.era += 1
            self.is_silent = False
            self.lock.notify_all()

    def _put(self, key, raw, lease):
        self.revision += 1
        created = self.items[key]["createRevision"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(raw).decode(), "rev": self.revision,
                           "createRevision": created, "lease": lease}
        self.history.append(self.items[key])
        self.lock.notify_all()

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"key": key, "rev": self.revision, "removed": True})
            self.lock.notify_all()

    def _expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (_, end) in self.leases.items() if end < now]:
            del self.leases[lease]
            for key in [key for key, item in self.items.items() if item["lease"] == lease]:
                self._remove(key)

    def serve(self, call, method):
        body = call.read_body()
        with self.lock:
            self.calls += 1
            self._expire()
            if self.is_silent:
                call.close_connection = True
                return
            if self.is_down:
                return call.reply(503)
        url = urllib.parse.urlsplit(call.path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/api/kv-watch":
            return self._watch(call, query)
        with self.lock:
            status, answer = self._answer(method, url.path, query, json.loads(body) if body else {})
            era = self.era
        call.reply(status, answer, [("Store-Era", str(era))])

    def _watch(self, call, query):
        end = time.monotonic() + int(query["waitMs"]) / 1000
        with self.lock:
            era = self.era
            if int(query["after"]) > self.revision:
                return call.reply(410, None, [("Store-Era", str(era))])
            while True:
                self._expire()
                if self.is_silent or era != self.era:  # A watch that waits is cut.
                    call.close_connection = True
                    return
                events = [event for event in self.history
                          if event["rev"] > int(query["after"]) and event["key"].startswith(query["prefix"])]
                left = end - time.monotonic()
                if events or left <= 0 or self.is_down:
                    break
                self.lock.wait(left)
            revision = self.revision
        call.reply(503 if self.is_down else 200, {"events": events, "at": revision}, [("Store-Era", str(era))])

    def _answer(self, method, path, query, body):
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, None)
        if path == "/api/kv-range":
            items = [item for key, item in sorted(self.items.items()) if key.startswith(query["prefix"])]
            return 200, {"items": items, "truncated": False, "at": self.revision}
        if path == "/api/kv-lease":
            self.next_lease += 1
            lease = self.next_lease
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
            for wanted in body["expect"]:
                if self.items.get(wanted["key"], {"rev": 0})["rev"] != wanted["rev"]:
                    return 412, {"items": []}
            if any(put.get("lease", 0) and put["lease"] not in self.leases for put in body["puts"]):
                return 404, None
            for put in body["puts"]:
                self._put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
            for key in body["deletes"]:
                self._remove(key)
            return 200, {"rev": self.revision}
        return 404, None


class upstream_standin:
    """Answers requests as an upstream of the platform does and notes what it ran."""

    def __init__(self, name, work_seconds=0.0):
        self.name = name
        self.runs = []
        self.heads = []
        self.work_seconds = work_seconds
        self.extra_fields = []  # Header fields of each answer.
        self.quiet_seconds = None  # Rejects requests and asks for no others for this long.
        self.rejected = []
        upstream = self

        class handler(json_handler):
            def do_GET(self):
                self.read_body()
                request_id = self.headers["Ragworthinge-Request-Id"]
                if self.headers["Ragworthinge-Expect-Instance"] != upstream.name:
                    return self.reply(421, None, [("Ragworthinge-Request-Id", request_id)])
                if upstream.quiet_seconds is not None:
                    upstream.rejected.append(time.monotonic())
                    return self.reply(503, None, [("Ragworthinge-Request-Id", request_id), ("Ragworthinge-Not-Run", "1"),
                                                  ("Retry-After", "%.1f" % upstream.quiet_seconds)])
                upstream.runs.append((time.monotonic(), request_id))
                upstream.heads.append(dict(self.headers.items()))
                time.sleep(upstream.work_seconds)
                self.reply(200, {"by": upstream.name, "for": request_id},
                           [("Ragworthinge-Request-Id", request_id), ("Ragworthinge-Server-Stamp", "stamp"),
                            ("Ragworthinge-Server-Load", "0,0,8")] + upstream.extra_fields)

            do_POST = do_GET

        self.server = quiet_server(("127.0.0.1", 0), handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def entry(self, state="ready", **changes):
        return {"service": "lots", "address": self.address, "zone": "gulf-a", "version": "v1", "slots": 8, "state": state,
                "coldRemainingMs": 0, "sequence": 1, "born": 1700000000000, **changes}


def configuration(version, keys):
    """A configuration with one route and one client account."""
    return {
        "version": "r%d" % version,
        "routes": {"columns": ["name", "host", "prefix", "kind", "timeoutMs", "targetLatencyMs", "priority", "maxAttempts",
                               "public", "sticky", "service"],
                   "rows": [["read", "lots.example", "/lots/", "safe", 2000, 250, 2, 2, False, True, "lots"],
                            ["book", "lots.example", "/book/", "unsafe", 2000, 250, 1, 1, False, True, "lots"]]},
        "services": {"columns": ["name", "healthPath", "maxConnections", "coldStartS", "coldPerS"],
                     "rows": [["lots", "/health", 300, 3.0, 4.9]]},
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": {"columns": ["name", "apiKeys", "priority", "ratePerS", "burst", "allowedRegions"],
                    "rows": [["florist", keys, 1, 10000, 10000, []]]},
    }
