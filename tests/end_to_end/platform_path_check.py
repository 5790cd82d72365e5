"""The whole path on the platform with real processes: entry hosts, a stand-in of the store and of upstreams.

Guards against an adapter that translates but does not serve, keys and drains that take too long, requests that are lost
in a planned stop, and a host that stops because nobody reads its log."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import platform_standin  # noqa: E402

CONFIGURATION_SECONDS = 2.0
DRAIN_SECONDS = 2.0
STOP_SECONDS = 6.0


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class entry_host:
    def __init__(self, build, folder, name, store_port, output, bounds=None, domains=("gulf-a",)):
        self.build, self.name, self.output = build, name, output
        self.callers, self.ready, self.lookups, self.peers, self.metrics = free_ports(5)
        self.settings = os.path.join(folder, name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump({"host": name, "region": "gulf", "failure_domain": "gulf-a",
                       "listen": {"callers": "127.0.0.1:%d" % self.callers, "readiness": "127.0.0.1:%d" % self.ready,
                                  "lookups": "127.0.0.1:%d" % self.lookups, "peers": "127.0.0.1:%d" % self.peers,
                                  "metrics": "127.0.0.1:%d" % self.metrics},
                       "store": "127.0.0.1:%d" % store_port,
                       "failure_domains": [{"name": domain, "region": "gulf"} for domain in domains],
                       "bounds": bounds or {}}, file)
        self.start()

    def start(self):
        environment = dict(os.environ, RAGWORTHINGE_BOOT=self.settings)
        self.process = subprocess.Popen([os.path.join(self.build, "src", "ragworthinge"), "steer"], env=environment,
                                        stdout=self.output)

    def get(self, port, target, fields=None, method="GET"):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        try:
            connection.request(method, target, headers=fields or {})
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()

    def is_ready(self):
        try:
            return self.get(self.ready, "/api/ready")[0] == 200
        except OSError:
            return False

    def named_hosts(self):
        status, body = self.get(self.lookups, "/api/resolve?name=lots.example&region=gulf&zone=gulf-a")
        return set(json.loads(body)["addresses"]) if status == 200 else set()

    def ask(self, request_id, key="good-key", path="/lots/1", method="GET", object_name="17"):
        return self.get(self.callers, path, {
            "Host": "lots.example", "Ragworthinge-Request-Id": request_id, "Ragworthinge-Affinity-Key": object_name,
            "Ragworthinge-Request-Deadline-Ms": "3000", "Api-Key": key}, method)


def wait_until(what, seconds, condition):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise SystemExit("FAILED: %s not within %.1f s" % (what, seconds))


def check(what, condition):
    print(("ok: " if condition else "FAILED: ") + what, flush=True)
    if not condition:
        raise SystemExit(1)


def check_serving(hosts, upstreams):
    wait_until("all hosts ready", 10, lambda: all(host.is_ready() for host in hosts))
    addresses = {"127.0.0.1:%d" % host.callers for host in hosts}
    wait_until("look-ups name all hosts", 5, lambda: all(host.named_hosts() == addresses for host in hosts))
    for number in range(60):
        host = hosts[number % len(hosts)]
        status, body = host.ask("serve-%d" % number)
        if status != 200 or json.loads(body)["for"] != "serve-%d" % number:
            check("request %d is served, got %d" % (number, status), False)
    heads = [head for upstream in upstreams for head in upstream.heads]
    check("60 requests are served", len(heads) == 60)
    check("no upstream sees a key", all("Api-Key" not in head for head in heads))
    check("upstreams get the account", all(head["Ragworthinge-Tenant"] == "florist" for head in heads))


def check_changes(store, hosts, upstreams):
    check("an unknown key is refused", all(host.ask("k", key="bad-key")[0] == 401 for host in hosts))
    started = time.monotonic()
    store.put("op/config", platform_standin.configuration(4, ["new-key"]))
    wait_until("the withdrawn key is refused everywhere", CONFIGURATION_SECONDS,
               lambda: all(host.ask("k", key="good-key")[0] == 401 for host in hosts))
    print("ok: a configuration is in force after %.2f s" % (time.monotonic() - started))
    check("the new key is served", all(host.ask("k", key="new-key")[0] == 200 for host in hosts))
    store.put("op/config", platform_standin.configuration(3, ["good-key"]))
    time.sleep(0.5)
    check("an older version changes nothing", all(host.ask("k", key="good-key")[0] == 401 for host in hosts))
    store.put("op/config", platform_standin.configuration(6, ["good-key"]))
    wait_until("the key is back", CONFIGURATION_SECONDS, lambda: all(host.ask("k")[0] == 200 for host in hosts))

    busy = max(upstreams, key=lambda upstream: len(upstream.runs))
    store.put("servers/" + busy.name, busy.entry("draining", sequence=5))
    time.sleep(DRAIN_SECONDS)
    before = len(busy.runs)
    check("requests are served while an upstream drains",
          all(host.ask("drain-%d" % number)[0] == 200 for host in hosts for number in range(10)))
    check("a draining upstream gets nothing more", len(busy.runs) == before)
    store.put("servers/" + busy.name, busy.entry("ready", sequence=4))
    time.sleep(DRAIN_SECONDS)
    check("requests are served after a late announcement",
          all(host.ask("late-%d" % number)[0] == 200 for host in hosts for number in range(10)))
    check("a late announcement does not end the drain", len(busy.runs) == before)
    store.put("servers/" + busy.name, busy.entry("ready", sequence=6))
    time.sleep(DRAIN_SECONDS)
    check("requests are served by the upstream that is ready again",
          all(host.ask("ready-%d" % number)[0] == 200 for host in hosts for number in range(10)) and len(busy.runs) > before)
    store.put("servers/forged", busy.entry(slots="many"))


def check_lost_record(store, hosts):
    """Guards against a host that serves on although its record in the store is gone: hosts that start do not know it."""
    key = "ragworthinge/hosts/" + hosts[0].name
    store.remove(key)
    wait_until("the host writes its record again", 4, lambda: key in store.items)


def check_signals(store, host, upstreams):
    """Guards against requests to an upstream that says in its answers that it leaves or wants none for a time."""
    def ask(name):
        return [host.ask("%s-%d" % (name, number))[0] for number in range(10)]

    ask("find")
    leaving = max(upstreams, key=lambda upstream: upstream.runs[-1][0] if upstream.runs else 0)
    leaving.extra_fields = [("Server-Leaving", "1")]
    check("an answer that says that its upstream leaves is passed on", host.ask("leaving")[0] == 200)
    before = len(leaving.runs)
    store.put("servers/" + leaving.name, leaving.entry("ready", sequence=7))
    time.sleep(DRAIN_SECONDS)
    check("requests are served by others", ask("left") == [200] * 10)
    check("an upstream that says that it leaves gets nothing more, whatever its entry says", len(leaving.runs) == before)
    leaving.extra_fields = []
    store.put("servers/" + leaving.name, leaving.entry("ready", sequence=1, born=1700000100000))
    time.sleep(DRAIN_SECONDS)

    for upstream in upstreams:
        upstream.quiet_seconds = 3.0
    check("requests are refused while all upstreams want quiet", ask("quiet") == [503] * 10)
    time.sleep(0.6)
    started = time.monotonic()
    check("they are refused for the whole time", ask("still") == [503] * 10)
    check("no upstream that wants quiet gets a request", not [at for upstream in upstreams
                                                              for at in upstream.rejected if at > started])
    for upstream in upstreams:
        upstream.quiet_seconds = None
    time.sleep(3)
    check("requests are served after the quiet time", ask("served") == [200] * 10)


def check_outage(store, hosts):
    store.is_down = True
    time.sleep(3)
    check("requests are served while the store is down", all(host.ask("down")[0] == 200 for host in hosts))
    check("hosts stay ready while the store is down", all(host.is_ready() for host in hosts))
    store.is_down = False


def check_blocked_output(host):
    statuses = [host.ask("blocked-%d" % number)[0] for number in range(400)]
    check("a host whose log nobody reads serves on", statuses == [200] * 400)


def check_stop(hosts, upstreams):
    """Stops one host under load; every request that it read must be answered."""
    for upstream in upstreams:
        upstream.work_seconds = 0.2
    stopping, rest = hosts[0], hosts[1:]
    failures, answered, stop = [], [], threading.Event()

    def call(worker):
        number = 0
        while not stop.is_set():
            number += 1
            try:
                status, _ = stopping.ask("stop-%d-%d" % (worker, number), path="/book/1", method="POST")
                (answered if status == 200 else failures).append(status)
            except ConnectionRefusedError:
                return
            except OSError as problem:
                failures.append(repr(problem))

    workers = [threading.Thread(target=call, args=(worker,)) for worker in range(8)]
    for worker in workers:
        worker.start()
    time.sleep(0.5)
    started = time.monotonic()
    stopping.process.send_signal(signal.SIGTERM)
    wait_until("the stopping host is not ready", 1, lambda: not stopping.is_ready())
    wait_until("the others no longer name it", 2,
               lambda: all("127.0.0.1:%d" % stopping.callers not in host.named_hosts() for host in rest))
    code = stopping.process.wait(STOP_SECONDS)
    stop.set()
    for worker in workers:
        worker.join()
    check("it ends by itself with code 0 after %.1f s" % (time.monotonic() - started), code == 0)
    check("no request was lost in the stop, of %d: %s" % (len(answered), failures[:3]), not failures and len(answered) > 20)
    for upstream in upstreams:
        upstream.work_seconds = 0


def check_kill(hosts):
    killed, rest = hosts[1], [hosts[2]]
    killed.process.kill()
    killed.process.wait()
    wait_until("the others no longer name the killed host", 3,
               lambda: all("127.0.0.1:%d" % killed.callers not in host.named_hosts() for host in rest))
    check("the rest serves", rest[0].ask("kill")[0] == 200)
    killed.start()
    wait_until("the killed host is back", 5, killed.is_ready)
    check("it serves", killed.ask("back")[0] == 200)


def main():
    build = sys.argv[1]
    store = platform_standin.kv_standin()
    upstreams = [platform_standin.upstream_standin("i-%d" % number) for number in range(3)]
    store.put("op/config", platform_standin.configuration(2, ["good-key"]))
    for upstream in upstreams:
        store.put("servers/" + upstream.name, upstream.entry())
    hosts = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for number in range(3):
                # The last host's log is a pipe that nobody reads.
                output = subprocess.PIPE if number == 2 else subprocess.DEVNULL
                hosts.append(entry_host(build, folder, "front-%d" % number, store.port, output))
            check_serving(hosts, upstreams)
            check_changes(store, hosts, upstreams)
            check_lost_record(store, hosts)
            check_signals(store, hosts[0], upstreams)
            check_outage(store, hosts)
            check_blocked_output(hosts[2])
            status, body = hosts[0].get(hosts[0].metrics, "/metrics")
            check("metrics are served", status == 200 and b"ragworthinge_requests_total" in body)
            check_stop(hosts, upstreams)
            check_kill(hosts)
        finally:
            for host in hosts:
                host.process.kill()
                host.process.wait()


if __name__ == "__main__":
    main()
