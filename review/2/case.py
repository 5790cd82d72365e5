"""A host that was told to stop ends with requests in its queue and answers none of them. See claim.txt."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import kit  # noqa: E402

ZONES = {"gulf-a": "gulf"}
GRACE_S = 6.0          # graceS: SIGKILL follows SIGTERM after this time.
LOSS_SLACK_S = 0.2     # lossSlackMs.
COLD_MS = 3000         # coldStartS of the services, as in the site files.
LIMIT_MS = 6000        # Time limit of the clients and time-out of the route.


def fields(request_id):
    return [("Host", "lots.example"), ("Ragworthinge-Request-Id", request_id), ("Ragworthinge-Affinity-Key", "17"),
            ("Ragworthinge-Request-Deadline-Ms", str(LIMIT_MS)), ("Api-Key", "florist-key-0001")]


async def case(record, folder, hosts):
    store = kit.Store(record)
    await store.start()
    backends = [kit.Backend(record, "i-book-%d" % n, "refunds", "gulf-a", slots=3, work=0.36) for n in range(2)]
    for backend in backends:
        await backend.start()
        store.put("servers/" + backend.name, backend.entry())
    store.put("op/config", kit.configuration(
        2, [["refund", "lots.example", "/refund/", "unsafe", LIMIT_MS, 800, 1, 2, "refunds"]],
        [["florist", "florist-key-0001", 1000, 1000]], ["refunds"]))
    for name in ("front-1", "front-2"):
        hosts.append(kit.Host(record, folder, name, store.port, ZONES, "gulf-a"))
        hosts[-1].start()
    for host in hosts:
        await kit.until("%s ready" % host.name, 10, host.is_ready)
    await asyncio.sleep(3)
    stopping = hosts[0]
    at = time.monotonic()
    results = {}

    async def send(number):
        request_id = "refund-%d" % number
        sent_at = time.monotonic()
        record.write("client: %s is sent" % request_id)
        try:
            status, _, _ = await kit.call("127.0.0.1", stopping.callers, "POST", "/refund/1", fields(request_id),
                                          b"r" * 1200, LIMIT_MS / 1000)
            outcome = str(status)
        except asyncio.TimeoutError:
            outcome = "time limit"
        except ConnectionRefusedError:
            outcome = "refused"
        except OSError:
            outcome = "closed"
        results[request_id] = (sent_at, time.monotonic(), outcome)
        record.write("client: %s ends: %s" % (request_id, outcome))

    if kit.TROUBLE:
        stopping.signal(signal.SIGTERM)
    async def go_cold(moment):
        await asyncio.sleep(moment)
        for backend in backends:
            backend.cold_ms = COLD_MS
            store.put("servers/" + backend.name, backend.entry())
            record.write("backend %s is cold for %d ms" % (backend.name, COLD_MS))

    # The backends become cold, and once more before they are warm. That is so with and without SIGTERM.
    tasks = [asyncio.create_task(go_cold(moment)) for moment in (1.8, 4.2)]
    number = 0
    while time.monotonic() - at < 2.75:  # Requests at 20 a second to this host, while it takes new connections.
        number += 1
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(0.05)
    if kit.TROUBLE:
        await stopping.ended(GRACE_S - (time.monotonic() - at))
        record.write("the host's process ended %.2f s after SIGTERM" % (time.monotonic() - at))
    await asyncio.gather(*tasks)

    ran = {run[1] for backend in backends for run in backend.runs}
    lost = [name for name, (sent_at, ended_at, outcome) in results.items()
            if outcome == "closed" and name not in ran and LOSS_SLACK_S < ended_at - sent_at < LIMIT_MS / 1000]
    ends = {}
    for _, _, outcome in results.values():
        ends[outcome] = ends.get(outcome, 0) + 1
    for name, (sent_at, ended_at, outcome) in results.items():
        record.write("%s: sent %+.2f s, ended %+.2f s of SIGTERM, %s, %s" % (
            name, sent_at - at, ended_at - at, outcome, "run" if name in ran else "not run"))
    record.say("of %d requests: %s; read, never passed on and cut without an answer: %d" % (len(results), ends, len(lost)))
    return kit.BROKEN if lost else kit.HELD


kit.run_case(case, HERE)
