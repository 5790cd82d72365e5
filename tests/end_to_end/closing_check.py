"""Connections that close behind an answer while their callers still send, with real processes.

Guards against callers that never close and keep descriptors and memory of the host, or hold up its stop."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import platform_standin  # noqa: E402
from platform_path_check import check, entry_host, wait_until  # noqa: E402

CALLERS = 3000
CLOSING_SECONDS = 1.0
STOP_SECONDS = 6.0
UNREAD_BYTES = 8000


def request(name):
    """A request that no key admits, the last of its connection, with bytes behind it that are no request."""
    return ("GET /lots/1 HTTP/1.1\r\nHost: lots.example\r\nRagworthinge-Request-Id: %s\r\nConnection: close\r\n\r\n"
            % name).encode() + b"x" * UNREAD_BYTES


def open_callers(host, count):
    callers = []
    for number in range(count):
        callers.append(socket.create_connection(("127.0.0.1", host.callers), timeout=5))
        callers[-1].sendall(request("never-%d" % number))
    return callers


def descriptors(host):
    return len(os.listdir("/proc/%d/fd" % host.process.pid))


def resident_mb(host):
    with open("/proc/%d/statm" % host.process.pid, encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def hold_and_release(host):
    """Opens callers that never close; returns the descriptors and memory of the host after the bound."""
    callers = open_callers(host, CALLERS)
    print("%d callers opened: %d descriptors, %.1f MB" % (CALLERS, descriptors(host), resident_mb(host)))
    time.sleep(CLOSING_SECONDS + 0.5)
    after = descriptors(host), resident_mb(host)
    answers = [caller.recv(4096) for caller in callers]
    check("each caller received its answer", all(answer.startswith(b"HTTP/1.1 401") for answer in answers))
    for caller in callers:
        caller.close()
    return after


def check_never_closing_callers(host):
    before = descriptors(host)
    first = hold_and_release(host)
    second = hold_and_release(host)
    print("descriptors before %d, after %d and %d; MB after the first round %.1f, after the second %.1f" % (
        before, first[0], second[0], first[1], second[1]))
    # A keep-alive connection to the store or a peer may open meanwhile.
    check("no descriptors are held after the bound", max(first[0], second[0]) <= before + 10)
    check("the second round needs no further memory", second[1] <= first[1] * 1.1)


def check_stop(host):
    callers = open_callers(host, 300)
    started = time.monotonic()
    host.process.send_signal(signal.SIGTERM)
    code = host.process.wait(STOP_SECONDS)
    print("ended %.2f s after the signal" % (time.monotonic() - started))
    check("the host ends by itself within its time", code == 0)
    for caller in callers:
        caller.close()


def main():
    store = platform_standin.kv_standin()
    upstream = platform_standin.upstream_standin("i-1")
    store.put("op/config", platform_standin.configuration(2, ["good-key"]))
    store.put("servers/" + upstream.name, upstream.entry())
    with tempfile.TemporaryDirectory() as folder:
        hosts = [entry_host(sys.argv[1], folder, "front-1", store.port, subprocess.DEVNULL,
                            {"stop_time_s": STOP_SECONDS})]
        try:
            wait_until("the host is ready", 10, hosts[0].is_ready)
            time.sleep(1)
            check_never_closing_callers(hosts[0])
            check_stop(hosts[0])
        finally:
            for host in hosts:
                host.process.kill()
                host.process.wait()


if __name__ == "__main__":
    main()
