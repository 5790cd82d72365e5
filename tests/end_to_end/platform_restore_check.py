"""The platform's store comes back from a copy that is some seconds old, with real processes and stand-ins.

Guards against configurations, drains, removals and evacuations that never take effect because their revisions were given
out before, and against what the copy does not have being taken for removed before it can have been written again."""

import os
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.dirname(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import platform_standin  # noqa: E402
from platform_path_check import CONFIGURATION_SECONDS, DRAIN_SECONDS, check, entry_host, wait_until  # noqa: E402

AWAY_SECONDS = 1.0
PEER_SECONDS = 5.0  # Until a host that is cut off from the store has what its peers know.
REWRITE_SECONDS = 1.0  # Until the operator and the upstreams have written again.
EVACUATED = "op/evacuate/gulf-b"


class store_link:
    """The path of one host to the store; it can be cut."""

    def __init__(self, store_port):
        self.store_port, self.is_cut, self.sockets = store_port, False, []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            host, _ = self.listener.accept()
            if self.is_cut:
                host.close()
                continue
            store = socket.create_connection(("127.0.0.1", self.store_port))
            self.sockets += [host, store]
            for source, target in ((host, store), (store, host)):
                threading.Thread(target=self.forward, args=(source, target), daemon=True).start()

    def forward(self, source, target):
        try:
            while data := source.recv(65536):
                target.sendall(data)
        except OSError:
            pass  # The other direction has closed it, or the link is cut.
        for end in (source, target):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def cut(self):
        self.is_cut = True
        for one in self.sockets:
            try:
                one.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class caller:
    """Sends requests to all hosts all the time and notes what is not served."""

    def __init__(self, hosts):
        self.hosts, self.sent, self.rounds, self.failures, self.is_stopped = hosts, 0, 0, [], False
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        while not self.is_stopped:
            for host in list(self.hosts):
                self.sent += 1
                name = "steady-%d" % self.sent
                try:
                    status = host.ask(name, object_name=str(self.sent % 60))[0]
                except OSError as problem:
                    status = repr(problem)
                if status != 200:
                    self.failures.append((host.name, name, status))
            self.rounds += 1
            time.sleep(0.02)

    def leave_first_host(self):
        """Returns the first host when its last request has been answered."""
        host = self.hosts.pop(0)
        rounds = self.rounds
        wait_until("the round in which the host was asked ends", 20, lambda: self.rounds > rounds)
        return host

    def stop(self):
        self.is_stopped = True
        self.thread.join()


class fleet:
    """Three upstreams, one of them in another failure domain, and the store in which they and the operator write."""

    def __init__(self, store, upstreams):
        self.store, self.upstreams, self.sequence = store, upstreams, 1
        self.states = {upstream.name: "ready" for upstream in upstreams}
        self.version, self.keys = 2, ["good-key", "old-key"]
        self.is_evacuated = False
        self.write_all()

    def submit(self, keys, versions=1):
        """Submits configurations in quick succession; only the last has the keys."""
        for _ in range(versions - 1):
            self.version += 1
            self.store.put("op/config", platform_standin.configuration(self.version, self.keys))
        self.version, self.keys = self.version + 1, keys
        self.store.put("op/config", platform_standin.configuration(self.version, keys))

    def announce(self, name=None, state=None):
        self.sequence += 1
        for upstream in self.upstreams:
            if name in (None, upstream.name):
                self.states[upstream.name] = state or self.states[upstream.name]
                zone = "gulf-b" if upstream is self.upstreams[2] else "gulf-a"
                self.store.put("servers/" + upstream.name,
                               upstream.entry(self.states[upstream.name], sequence=self.sequence, zone=zone))

    def evacuate(self, is_evacuated):
        self.is_evacuated = is_evacuated
        if is_evacuated:
            self.store.put(EVACUATED, {})
        else:
            self.store.remove(EVACUATED)

    def write_all(self):
        self.store.put("op/config", platform_standin.configuration(self.version, self.keys))
        self.announce()
        if self.is_evacuated:
            self.store.put(EVACUATED, {})


def runs_in(upstream, seconds):
    before = len(upstream.runs)
    time.sleep(seconds)
    return len(upstream.runs) - before


def check_lost_seconds(world, hosts, start_host):
    """Operator, upstreams and a host write what the copy does not have. Returns the copy."""
    draining, evacuated = world.upstreams[1], world.upstreams[2]
    counts = [len(upstream.runs) for upstream in world.upstreams]
    wait_until("all upstreams are used", DRAIN_SECONDS + 1,
               lambda: all(len(upstream.runs) > count for upstream, count in zip(world.upstreams, counts)))
    copy = world.store.copy()
    world.submit(["good-key"], versions=12)
    world.announce(draining.name, "draining")
    world.evacuate(True)
    start_host()
    for _ in range(4):
        world.announce()
        time.sleep(0.1)
    wait_until("the key is taken away everywhere", CONFIGURATION_SECONDS,
               lambda: all(host.ask("old", key="old-key")[0] == 401 for host in hosts))
    time.sleep(DRAIN_SECONDS)
    check("a draining upstream and an evacuated failure domain get nothing more",
          runs_in(draining, 0.4) == 0 and runs_in(evacuated, 0.4) == 0)
    return copy


def check_return(world, hosts, copy):
    """The store is away for a moment and comes back from the copy. Returns the revision before."""
    store, (_, draining, evacuated) = world.store, world.upstreams
    known = store.revision
    store.is_silent = True
    time.sleep(AWAY_SECONDS)
    before = len(draining.runs) + len(evacuated.runs)
    store.come_back_from(copy)
    end = time.monotonic() + REWRITE_SECONDS
    revived = 0
    while time.monotonic() < end:
        revived += sum(host.ask("old", key="old-key")[0] != 401 for host in hosts)
    check("a key that was taken away is refused before it is written again", revived == 0)
    world.write_all()
    time.sleep(1)
    check("a draining upstream and an evacuated failure domain still get nothing",
          len(draining.runs) + len(evacuated.runs) == before)
    check("revisions are given out again", store.revision < known)
    key = "ragworthinge/hosts/" + hosts[-1].name
    wait_until("a host whose record was lost writes it again", 4, lambda: key in store.items)
    return known


def check_changes_after_return(world, hosts, known):
    """Operator and upstreams make changes; the store's revision was `known` before it came back."""
    _, drained, evacuated = world.upstreams
    world.submit(["good-key", "new-key"])
    check("the configuration's revision was given out before", world.store.revision < known)
    wait_until("a configuration submitted after the return takes effect", CONFIGURATION_SECONDS,
               lambda: all(host.ask("new", key="new-key")[0] == 200 for host in hosts))
    world.evacuate(False)
    world.announce(drained.name, "ready")
    time.sleep(DRAIN_SECONDS)
    check("an upstream that is ready again and a failure domain that is taken back are used",
          runs_in(drained, 0.4) > 0 and runs_in(evacuated, 0.4) > 0)
    world.announce(drained.name, "draining")
    world.evacuate(True)
    time.sleep(DRAIN_SECONDS)
    check("a drain and an evacuation take effect", runs_in(drained, 0.4) == 0 and runs_in(evacuated, 0.4) == 0)
    world.evacuate(False)
    world.announce(drained.name, "ready")


def check_return_beside_failures(world, steady, copy, link):
    """Guards against a host that is cut off from the store and keeps to the state from before the return, which counts
    the higher revisions, and against a host that starts after a kill and takes that state from it."""
    killed, hosts = steady.leave_first_host(), steady.hosts
    killed.process.kill()
    killed.process.wait()
    link.cut()
    check_return(world, hosts, copy)
    world.submit(["good-key", "last-key"])
    wait_until("a host that is cut off from the store learns of the return from its peers", PEER_SECONDS,
               lambda: all(host.ask("last", key="last-key")[0] == 200 for host in hosts))
    killed.start()
    wait_until("the killed host is back", 5, killed.is_ready)
    check("it serves as the others", killed.ask("last", key="last-key")[0] == 200)
    time.sleep(1)
    world.submit(["good-key"])
    wait_until("the key is taken away everywhere", PEER_SECONDS,
               lambda: all(host.ask("last", key="last-key")[0] == 401 for host in hosts + [killed]))


def main():
    build = sys.argv[1]
    store = platform_standin.kv_standin()
    world = fleet(store, [platform_standin.upstream_standin("i-%d" % number) for number in range(3)])
    hosts, steady = [], None
    with tempfile.TemporaryDirectory() as folder:
        started = []

        def start_host(store_port=store.port):
            host = entry_host(build, folder, "front-%d" % len(started), store_port, subprocess.DEVNULL,
                              domains=("gulf-a", "gulf-b"))
            started.append(host)
            wait_until("%s is ready" % host.name, 10, host.is_ready)
            hosts.append(host)

        try:
            start_host()
            link = store_link(store.port)
            start_host(link.port)
            steady = caller(hosts)
            time.sleep(1)
            copy = check_lost_seconds(world, hosts, start_host)
            known = check_return(world, hosts, copy)
            check_changes_after_return(world, hosts, known)
            # Once more, with a copy of the era that has just begun.
            check_return_beside_failures(world, steady, check_lost_seconds(world, hosts, start_host), link)
        finally:
            if steady is not None:
                steady.stop()
            for host in started:
                host.process.kill()
                host.process.wait()
    check("no request of %d was lost: %s" % (steady.sent, steady.failures[:3]), not steady.failures)


if __name__ == "__main__":
    main()
