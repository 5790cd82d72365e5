"""A host that a late write removed from the store is unknown to hosts that start later. See claim.txt."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import kit  # noqa: E402

ZONES = {"gulf-a": "gulf", "delta-a": "delta", "piedmont-a": "piedmont"}
GRACE_S = 6.0
RATE, BURST = 100, 30
QUOTA_WINDOW_S, QUOTA_OVER, QUOTA_SLACK = 5, 0.1, 20
LATE_S = 5.0          # The store does a write without an answer 1 to 6 s later.
LOAD_PER_HOST = 120   # Requests a second of the account at each host; 3.6 times its rate in all.
LIMIT_MS = 2000


def fields(request_id):
    return [("Host", "lots.example"), ("Ragworthinge-Request-Id", request_id), ("Ragworthinge-Affinity-Key", "17"),
            ("Ragworthinge-Request-Deadline-Ms", str(LIMIT_MS)), ("Api-Key", "florist-key-0001")]


async def case(record, folder, hosts):
    store = kit.Store(record)
    await store.start()
    backends = [kit.Backend(record, "i-%d" % n, "lots", list(ZONES)[n % 3], slots=30, queue=90, work=0.02) for n in range(6)]
    for backend in backends:
        await backend.start()
        store.put("servers/" + backend.name, backend.entry())
    store.put("op/config", kit.configuration(
        2, [["lot", "lots.example", "/lot/", "safe", LIMIT_MS, 500, 1, 2, "lots"]],
        [["florist", "florist-key-0001", RATE, BURST]], ["lots"]))
    for number, zone in enumerate(ZONES):
        hosts.append(kit.Host(record, folder, "front-%d" % number, store.port, ZONES, zone))
        hosts[-1].start()
    for host in hosts:
        await kit.until("%s ready" % host.name, 10, host.is_ready)
    await asyncio.sleep(8)  # Traffic starts 8 s after the machines do.
    sent = {}
    counts = {}
    stop = False

    async def client(host, worker, workers):
        """Sends on a kept connection, as fast as its part of the load says, and comes back when the host is back."""
        number, writer = 0, None
        next_at = time.monotonic()
        while not stop:
            next_at += workers / LOAD_PER_HOST
            await asyncio.sleep(max(0, next_at - time.monotonic()))
            number += 1
            request_id = "%s-%d-%d" % (host.name, worker, number)
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection("127.0.0.1", host.callers)
                sent[request_id] = time.monotonic()
                writer.write(kit.message("GET /lot/1 HTTP/1.1", fields(request_id), length=False))
                status, head, _ = await asyncio.wait_for(kit.read_answer(reader), LIMIT_MS / 1000)
                counts[status] = counts.get(status, 0) + 1
                if head.get("connection", "").lower() == "close":
                    writer.close()
                    writer = None
            except (OSError, asyncio.TimeoutError):
                if writer is not None:
                    writer.close()
                writer = None
                next_at = time.monotonic() + 0.2

    tasks = [asyncio.create_task(client(host, worker, 12)) for host in hosts for worker in range(12)]
    await asyncio.sleep(4)

    def lose(path, body):
        key = "ragworthinge/hosts/" + hosts[0].name
        if kit.TROUBLE and path == "/api/kv-txn" and key in body.get("deletes", []):
            record.write("store: the removal of %s stays without an answer" % key)
            return LATE_S
        return None
    store.lose_late = lose

    for host in hosts:  # Planned: each host is stopped and started, one after the other.
        host.signal(signal.SIGTERM)
        await host.ended(GRACE_S)
        await asyncio.sleep(0.3)
        host.start()
        await kit.until("%s ready" % host.name, 10, host.is_ready)
        await asyncio.sleep(5 if host is hosts[0] else 3)
    store.lose_late = None
    await asyncio.sleep(12)  # All hosts run, the store is sound, nothing is changed.
    for host in hosts:
        record.say("%s names %d hosts" % (host.name, len(await host.named_hosts(host.name))))
    stop = True
    for task in tasks:
        task.cancel()

    runs = sorted(at for backend in backends for at, request_id, tenant, _ in backend.runs if tenant == "florist")
    limit = (RATE * QUOTA_WINDOW_S + BURST) * (1 + QUOTA_OVER) + QUOTA_SLACK
    begun = record.started
    most, most_at, over_s, first = 0, 0.0, set(), 0
    for last, at in enumerate(runs):
        while runs[first] <= at - QUOTA_WINDOW_S:
            first += 1
        if last - first + 1 > most:
            most, most_at = last - first + 1, at
        if last - first + 1 > limit:
            over_s.add(int(at - begun))
    for second in range(int(record.now())):
        record.write("second %d: %d runs" % (second, sum(1 for at in runs if second <= at - begun < second + 1)))
    record.say("most runs of the account in %d s: %d at %.1f s, allowed %.0f; over it in %d seconds; answers %s" % (
        QUOTA_WINDOW_S, most, most_at - begun, limit, len(over_s), counts))
    return kit.BROKEN if most > limit else kit.HELD


kit.run_case(case, HERE)
