"""An older beat of a backend that is done late makes hosts use the draining backend again. See claim.txt."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import kit  # noqa: E402

ZONES = {"gulf-a": "gulf", "gulf-b": "gulf"}
HEARTBEAT_S = 1.5
DRAIN_S = 2.5         # drainMs.
CONTACT_S = 3.0       # contactMs: the store counts as stable this long after its disruption.
LATE_S = 4.6          # A write without an answer is done 1 to 6 s later.
STAYS_S = 3.6         # The backend serves for drainMs after its report was accepted and a little longer, then it exits.
WORK_S = 0.4
LIMIT_MS = 4000


def fields(request_id):
    return [("Host", "lots.example"), ("Ragworthinge-Request-Id", request_id), ("Ragworthinge-Affinity-Key", "17"),
            ("Ragworthinge-Request-Deadline-Ms", str(LIMIT_MS)), ("Api-Key", "florist-key-0001")]


class LeavingBackend(kit.Backend):
    """Ends all connections when it exits."""

    async def start(self):
        self.writers = set()
        await super().start()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        await super()._serve(reader, writer)
        self.writers.discard(writer)

    def exit(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def case(record, folder, hosts):
    store = kit.Store(record)
    await store.start()
    backends = [LeavingBackend(record, "i-%d" % n, "bookings", list(ZONES)[n % 2], slots=4, work=WORK_S) for n in range(3)]
    for backend in backends:
        await backend.start()
        store.put("servers/" + backend.name, backend.entry())
    store.put("op/config", kit.configuration(
        2, [["book", "lots.example", "/book/", "unsafe", LIMIT_MS, 800, 1, 2, "bookings"]],
        [["florist", "florist-key-0001", 1000, 1000]], ["bookings"]))
    for name, zone in (("front-1", "gulf-a"), ("front-2", "gulf-b")):
        hosts.append(kit.Host(record, folder, name, store.port, ZONES, zone))
        hosts[-1].start()
    for host in hosts:
        await kit.until("%s ready" % host.name, 10, host.is_ready)
    await asyncio.sleep(3)
    leaving = backends[0]
    sent, answers = {}, {}
    stop = False

    async def send(host, request_id):
        sent[request_id] = time.monotonic()
        try:
            status, _, _ = await kit.call("127.0.0.1", host.callers, "DELETE", "/book/1", fields(request_id), None,
                                          LIMIT_MS / 1000)
            answers[request_id] = str(status)
        except asyncio.TimeoutError:
            answers[request_id] = "time limit"
        except OSError:
            answers[request_id] = "closed"
        record.write("client: %s ends: %s" % (request_id, answers[request_id]))

    async def load(host):
        number, tasks = 0, []
        while not stop:
            number += 1
            tasks.append(asyncio.create_task(send(host, "%s-%d" % (host.name, number))))
            await asyncio.sleep(0.08)
        await asyncio.gather(*tasks)

    async def beat():
        """Changes of the entry; a beat that changes only the sequence is written too."""
        while True:
            store.put("servers/" + leaving.name, leaving.entry(state))
            record.write("store: %s is %s, sequence %d" % (leaving.name, state, leaving.sequence))
            await asyncio.sleep(HEARTBEAT_S)

    async def late(entry):
        await asyncio.sleep(LATE_S)
        store.put("servers/" + leaving.name, entry)
        record.write("store: the beat with sequence %d is done %.1f s late, unanswered: %s is %s" % (
            entry["sequence"], LATE_S, leaving.name, entry["state"]))

    loads = [asyncio.create_task(load(host)) for host in hosts]
    state = "ready"
    beats = asyncio.create_task(beat())
    await asyncio.sleep(2 * HEARTBEAT_S - 0.2)
    # The last write in the store's disruption: one beat stays without an answer. The next ones are answered.
    if kit.TROUBLE:
        record.write("store: the beat with sequence %d stays without an answer" % (leaving.sequence + 1))
        asyncio.create_task(late(leaving.entry("ready")))
    else:
        leaving.entry("ready")
    await asyncio.sleep(CONTACT_S + 0.05)  # From here on the store is stable.
    beats.cancel()
    state = "draining"
    drained_at = time.monotonic()
    beats = asyncio.create_task(beat())
    await asyncio.sleep(STAYS_S)
    beats.cancel()
    leaving.exit()
    store.remove("servers/" + leaving.name)
    record.write("backend %s exits, its entry is removed" % leaving.name)
    await asyncio.sleep(2)
    stop = True
    await asyncio.gather(*loads)

    late_runs = [(at, name) for at, name in leaving.arrivals if at > drained_at + DRAIN_S]
    lost = [name for _, name in late_runs if answers.get(name) != "200"]
    for at, name in late_runs:
        record.write("%s reaches %s %.2f s after the store accepted that it drains; sent at %+.2f s; the client gets %s" % (
            name, leaving.name, at - drained_at, sent[name] - drained_at, answers.get(name)))
    ends = {}
    for outcome in answers.values():
        ends[outcome] = ends.get(outcome, 0) + 1
    record.say("%d requests reached the draining backend later than drainMs, %d of them were lost; answers %s" % (
        len(late_runs), len(lost), ends))
    return kit.BROKEN if late_runs else kit.HELD


kit.run_case(case, HERE)
