"""What callers get from an entry host that is told to stop, with real processes and stand-ins of the platform.

Each request that the host has read must be answered before it exits, and one that is refused must not have run."""

import http.client
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.dirname(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import platform_standin  # noqa: E402
from platform_path_check import check, entry_host, wait_until  # noqa: E402

STOP_SECONDS = 6.0
LONG_STOP_SECONDS = 10.0
TIME_LIMIT_MS = 9000  # Of the routes and the callers: later than any exit.


class caller:
    """One request that is not idempotent: its outcome is a status, "closed" or "refused connection"."""

    def __init__(self, host, name):
        self.host, self.name = host, name
        self.outcome, self.seconds = None, None

    def head(self, body_bytes=0):
        return ("POST /book/1 HTTP/1.1\r\nHost: lots.example\r\nRagworthinge-Request-Id: %s\r\n"
                "Ragworthinge-Affinity-Key: %s\r\nRagworthinge-Request-Deadline-Ms: %d\r\nApi-Key: good-key\r\n"
                "Content-Length: %d\r\n\r\n" % (self.name, self.name, TIME_LIMIT_MS, body_bytes)).encode()

    def send(self, pieces, pause=0.0):
        """Sends the pieces with a pause before each but the first, then reads the response."""
        try:
            connection = socket.create_connection(("127.0.0.1", self.host.callers), timeout=TIME_LIMIT_MS / 1000)
        except ConnectionRefusedError:
            self.outcome = "refused connection"
            return
        try:
            for number, piece in enumerate(pieces):
                if number:
                    time.sleep(pause)
                connection.sendall(piece)
            started = time.monotonic()
            response = http.client.HTTPResponse(connection)
            response.begin()
            response.read()
            self.outcome, self.seconds = response.status, time.monotonic() - started
        except (OSError, http.client.HTTPException):
            self.outcome = "closed"
        finally:
            connection.close()


def run_together(functions):
    threads = [threading.Thread(target=function) for function in functions]
    for thread in threads:
        thread.start()
    return threads


def wait_for_exit(host, limit, threads):
    """Waits for a host that was told to stop, and for its callers."""
    code = host.process.wait(limit)
    for thread in threads:
        thread.join()
    check("the host ends by itself with code 0", code == 0)


def check_refusals(callers, upstreams):
    """A refused request has not run; every other request has a response."""
    ran = {request_id for upstream in upstreams for _, request_id in upstream.runs}
    refused = [each for each in callers if each.outcome == 503]
    check("no refused request ran", not [each.name for each in refused if each.name in ran])
    outcomes = {}
    for each in callers:
        outcomes[each.outcome] = outcomes.get(each.outcome, 0) + 1
    print("outcomes: %s" % outcomes)
    return refused


def check_waiting_requests(host, store, upstreams):
    """Guards against a stop that drops requests waiting for cold upstreams: they never ran, but their callers get a
    closed connection and must not send them again."""
    for upstream in upstreams:
        store.put("servers/" + upstream.name, upstream.entry(coldRemainingMs=20000, sequence=2))
    time.sleep(1.5)
    callers = [caller(host, "waiting-%d" % number) for number in range(40)]
    threads = run_together([lambda one=one: one.send([one.head()]) for one in callers])
    time.sleep(0.5)
    host.process.send_signal(signal.SIGTERM)
    wait_for_exit(host, STOP_SECONDS, threads)
    refused = check_refusals(callers, upstreams)
    check("every waiting request is answered", all(each.outcome in (200, 503) for each in callers))
    check("requests still waited when the host had to refuse them", len(refused) > 5)
    check("refused callers keep half of the stop time to ask another host",
          all(each.seconds < 0.5 + STOP_SECONDS / 2 for each in refused))


def check_late_requests(host, store, upstreams):
    """Guards against requests that arrive late in the stop and are passed on although their answer cannot come before
    the exit: an upstream runs them, and their callers get a closed connection."""
    for upstream in upstreams:
        upstream.work_seconds = 2.5
    slow_heads = [caller(host, "head-%d" % number) for number in range(4)]
    slow_bodies = [caller(host, "body-%d" % number) for number in range(4)]

    def send_head_slowly(one):
        time.sleep(2.1)  # Connections are accepted until 2.8 s, and a head may take 3 s.
        one.send([one.head()[:40], one.head()[40:]], pause=2.4)

    def send_body_slowly(one):
        time.sleep(1)
        one.send([one.head(2000), b"b" * 1000, b"b" * 1000], pause=1.9)

    host.process.send_signal(signal.SIGTERM)
    threads = run_together([lambda one=one: send_head_slowly(one) for one in slow_heads] +
                           [lambda one=one: send_body_slowly(one) for one in slow_bodies])
    wait_for_exit(host, STOP_SECONDS, threads)
    check_refusals(slow_heads + slow_bodies, upstreams)
    check("every request that was read late is refused", all(each.outcome == 503 for each in slow_heads + slow_bodies))


def check_long_stop(host, store, upstreams):
    """Guards against a long stop time in which new requests are taken for a part of it, whatever they need."""
    for upstream in upstreams:
        upstream.work_seconds = 6.5
    callers = [caller(host, "long-%d" % number) for number in range(6)]

    def send_late(number, one):
        time.sleep(4.0 + 0.1 * number)
        one.send([one.head()])

    host.process.send_signal(signal.SIGTERM)
    threads = run_together([lambda number=number, one=one: send_late(number, one) for number, one in enumerate(callers)])
    wait_for_exit(host, LONG_STOP_SECONDS, threads)
    check_refusals(callers, upstreams)
    check("nothing is taken that cannot be answered", all(each.outcome in (503, "refused connection") for each in callers))


def check_partly_read_requests(host, store, upstreams):
    """Guards against an exit while heads are still arriving: their callers get a closed connection although the host
    has the time to refuse them."""
    callers = [caller(host, "partial-%d" % number) for number in range(4)]

    def send_head_slowly(one):
        time.sleep(2.1)
        one.send([one.head()[:40], one.head()[40:]], pause=2.4)

    host.process.send_signal(signal.SIGTERM)
    threads = run_together([lambda one=one: send_head_slowly(one) for one in callers])
    wait_for_exit(host, STOP_SECONDS, threads)
    check_refusals(callers, upstreams)
    check("every head that arrived before the exit is answered", all(each.outcome == 503 for each in callers))


def check_delayed_stop(host, store, upstreams):
    """Guards against a stop whose times count from when the process sees the signal: a process that gets no processor
    time at that moment passes requests on although the platform kills it before their answers."""
    for upstream in upstreams:
        upstream.work_seconds = 1.2
    callers = [caller(host, "delayed-%d" % number) for number in range(6)]

    def send_late(number, one):
        time.sleep(1.6 + 0.1 * number)
        one.send([one.head()[:40], one.head()[40:]], pause=3.2)

    host.process.send_signal(signal.SIGSTOP)
    host.process.send_signal(signal.SIGTERM)
    ordered_at = time.monotonic()
    threads = run_together([lambda number=number, one=one: send_late(number, one) for number, one in enumerate(callers)])
    time.sleep(2.5)
    host.process.send_signal(signal.SIGCONT)
    try:
        host.process.wait(ordered_at + STOP_SECONDS - time.monotonic())
    except subprocess.TimeoutExpired:
        host.process.kill()
    for thread in threads:
        thread.join()
    check_refusals(callers, upstreams)
    check("the host ends by itself before the platform kills it", host.process.wait() == 0)
    check("no request is cut off after it was passed on",
          not [run for upstream in upstreams for run in upstream.runs if run[1].startswith("delayed")])


def check_interrupted_requests(host, store, upstreams):
    """Guards against closed connections at the exit: a caller could take its request for one that was never read and
    send it again, although an upstream works on it."""
    for upstream in upstreams:
        upstream.work_seconds = 8
    callers = [caller(host, "interrupted-%d" % number) for number in range(4)]
    threads = run_together([lambda one=one: one.send([one.head()]) for one in callers])
    time.sleep(0.5)
    host.process.send_signal(signal.SIGTERM)
    wait_for_exit(host, STOP_SECONDS, threads)
    check_refusals(callers, upstreams)
    check("callers learn that their requests may have run", all(each.outcome == 502 for each in callers))


SCENARIOS = [(check_waiting_requests, STOP_SECONDS), (check_late_requests, STOP_SECONDS),
             (check_long_stop, LONG_STOP_SECONDS), (check_interrupted_requests, STOP_SECONDS),
             (check_partly_read_requests, STOP_SECONDS), (check_delayed_stop, STOP_SECONDS)]


def run_scenario(scenario, stop_seconds, configuration, build):
    print(scenario.__name__)
    store = platform_standin.kv_standin()
    upstreams = [platform_standin.upstream_standin("i-%d" % number) for number in range(2)]
    store.put("op/config", configuration)
    for upstream in upstreams:
        store.put("servers/" + upstream.name, upstream.entry())
    with tempfile.TemporaryDirectory() as folder:
        hosts = [entry_host(build, folder, "front-%d" % number, store.port, subprocess.DEVNULL,
                            {"stop_time_s": stop_seconds}) for number in range(2)]
        try:
            wait_until("all hosts ready", 10, lambda: all(host.is_ready() for host in hosts))
            time.sleep(1)
            scenario(hosts[0], store, upstreams)
        finally:
            for host in hosts:
                host.process.kill()
                host.process.wait()


def main():
    configuration = platform_standin.configuration(2, ["good-key"])
    for row in configuration["routes"]["rows"]:
        row[4] = TIME_LIMIT_MS
    chosen = sys.argv[2:] or [scenario.__name__ for scenario, _ in SCENARIOS]
    for scenario, stop_seconds in SCENARIOS:
        if scenario.__name__ in chosen:
            run_scenario(scenario, stop_seconds, configuration, sys.argv[1])


if __name__ == "__main__":
    main()
