"""A host that was told to stop passes requests on that it can no longer answer. See claim.txt."""

import asyncio
import os
import signal
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import kit  # noqa: E402

ZONES = {"gulf-a": "gulf"}
GRACE_S = 6.0            # graceS: SIGKILL follows SIGTERM after this time.
LONG_GRACE_S = 10.0      # The same on the large installation (cpn-permisos-large).
LONG_WORK_S = 5.5        # Of a zoning read there; the longest take 6.72 s.
LONG_LIMIT_MS = 12000    # Time limit of zoning reads.
EXCUSED_SENT_S = 3.0     # Requests sent later than this after SIGTERM have no excuse for a backend at work.
HEADER_TIMEOUT_S = 3.0   # headerTimeoutMs of the configuration.
LIMIT_MS = 6000          # Time limit of the clients and time-out of the routes.
WORK_S = 1.16            # Time that a backend works on a request.
DOWNLOAD_BYTES = 12 * 1024 * 1024


class Sent:
    """One request of a client and what became of it."""

    def __init__(self, how, request_id):
        self.how, self.id = how, request_id
        self.first_at = self.last_at = self.ended_at = None
        self.outcome = "never sent"


class DownloadBackend(kit.Backend):
    def answer_body(self, request_id):
        return b"x" * DOWNLOAD_BYTES


def fields(request_id, limit_ms=LIMIT_MS):
    return [("Host", "lots.example"), ("Ragworthinge-Request-Id", request_id), ("Ragworthinge-Affinity-Key", "17"),
            ("Ragworthinge-Request-Deadline-Ms", str(limit_ms)), ("Api-Key", "florist-key-0001")]


async def long_grace(record, folder, hosts):
    """Ordinary reads on new connections, 4.0 to 4.5 s after SIGTERM, with a graceS of 10. Returns how many were lost."""
    store = kit.Store(record)
    await store.start()
    backends = [kit.Backend(record, "i-zone-%d" % n, "normas", "gulf-a", slots=3, work=LONG_WORK_S) for n in range(4)]
    for backend in backends:
        await backend.start()
        store.put("servers/" + backend.name, backend.entry())
    store.put("op/config", kit.configuration(
        2, [["zoning", "lots.example", "/zoning/", "safe", LONG_LIMIT_MS, 1500, 2, 2, "normas"]],
        [["florist", "florist-key-0001", 1000, 1000]], ["normas"]))
    own = [kit.Host(record, folder, name, store.port, ZONES, "gulf-a", LONG_GRACE_S) for name in ("large-1", "large-2")]
    hosts += own
    for host in own:
        host.start()
    for host in own:
        await kit.until("%s ready" % host.name, 10, host.is_ready)
    await asyncio.sleep(3)
    if kit.TROUBLE:
        own[0].signal(signal.SIGTERM)
    at = time.monotonic()
    outcomes = {}

    async def read(number):
        await asyncio.sleep(4.0 + 0.1 * number)
        name = "late-%d" % number
        sent_at = time.monotonic()
        try:
            status, _, _ = await kit.call("127.0.0.1", own[0].callers, "GET", "/zoning/1", fields(name, LONG_LIMIT_MS), None,
                                          LONG_LIMIT_MS / 1000)
            outcome = str(status)
        except ConnectionRefusedError:
            outcome = "refused"
        except asyncio.TimeoutError:
            outcome = "time limit"
        except OSError:
            outcome = "closed"
        outcomes[name] = outcome
        record.write("client: %s, sent %+.2f s and ended %+.2f s of SIGTERM: %s" % (
            name, sent_at - at, time.monotonic() - at, outcome))

    await asyncio.gather(*[read(number) for number in range(6)])
    if kit.TROUBLE:
        await own[0].ended(LONG_GRACE_S - (time.monotonic() - at))
    ran = {run[1] for backend in backends for run in backend.runs}
    lost = [name for name, outcome in outcomes.items() if outcome == "closed" and name in ran]
    record.say("graceS 10, of %d reads sent 4.0 to 4.5 s after SIGTERM, lost after they were passed on: %d; %s" % (
        len(outcomes), len(lost), sorted(outcomes.values())))
    return len(lost)


async def case(record, folder, hosts):
    store = kit.Store(record)
    await store.start()
    books = [kit.Backend(record, "i-book-%d" % n, "refunds", "gulf-a", slots=8, work=WORK_S) for n in range(4)]
    guides = [DownloadBackend(record, "i-guide-%d" % n, "guides", "gulf-a", slots=8, work=0.1) for n in range(2)]
    for backend in books + guides:
        await backend.start()
        store.put("servers/" + backend.name, backend.entry())
    store.put("op/config", kit.configuration(
        2, [["refund", "lots.example", "/refund/", "unsafe", LIMIT_MS, 800, 1, 2, "refunds"],
            ["guide", "lots.example", "/guide/", "safe", LIMIT_MS, 800, 2, 2, "guides"]],
        [["florist", "florist-key-0001", 1000, 1000]], ["refunds", "guides"]))
    for name in ("front-1", "front-2"):
        hosts.append(kit.Host(record, folder, name, store.port, ZONES, "gulf-a"))
        hosts[-1].start()
    for host in hosts:
        await kit.until("%s ready" % host.name, 10, host.is_ready)
    await asyncio.sleep(3)
    stopping = hosts[0]
    requests = []
    told = asyncio.get_running_loop().create_future()  # The moment of SIGTERM.

    def begin(how, number):
        sent = Sent(how, "%s-%d" % (how, number))
        requests.append(sent)
        return sent

    async def finish(sent, reader):
        """Waits for the answer until the client's time limit."""
        try:
            status, _, _ = await asyncio.wait_for(kit.read_answer(reader), sent.first_at + LIMIT_MS / 1000 - time.monotonic())
            sent.outcome = str(status)
        except asyncio.TimeoutError:
            sent.outcome = "time limit"
        except OSError:
            sent.outcome = "closed"
        sent.ended_at = time.monotonic()
        record.write("client: %s ends: %s" % (sent.id, sent.outcome))

    async def write_slowly(sent, writer, text, pieces, over):
        sent.first_at = time.monotonic()
        record.write("client: %s begins" % sent.id)
        size = -(-len(text) // pieces)
        for piece in range(pieces):
            if piece:
                await asyncio.sleep(over / (pieces - 1))
            writer.write(text[piece * size:(piece + 1) * size])
            await writer.drain()
        sent.last_at = time.monotonic()
        record.write("client: %s is sent" % sent.id)

    async def send_slow_body(number):
        """A client on a slow line: a refund with 6,000 bytes of body, over 3.3 s."""
        await asyncio.sleep(1.5 + 0.02 * number)
        sent = begin("slow-body", number)
        reader, writer = await asyncio.open_connection("127.0.0.1", stopping.callers)
        text = kit.message("POST /refund/1 HTTP/1.1", fields(sent.id), b"r" * 6000)
        try:
            await write_slowly(sent, writer, text, 12, 3.3)
        except ConnectionError:
            sent.outcome = "closed while it was sent"
            return
        await finish(sent, reader)
        writer.close()

    async def send_slow_head(number):
        """A client that takes 2.8 s for the head of a refund, inside headerTimeoutMs."""
        await asyncio.sleep(2.4 + 0.02 * number)
        sent = begin("slow-head", number)
        reader, writer = await asyncio.open_connection("127.0.0.1", stopping.callers)
        text = kit.message("DELETE /refund/1 HTTP/1.1", fields(sent.id), length=False)
        try:
            await write_slowly(sent, writer, text, 8, HEADER_TIMEOUT_S - 0.2)
        except ConnectionError:
            sent.outcome = "closed while it was sent"
            return
        await finish(sent, reader)
        writer.close()

    async def download_then_refund(number):
        """A kept connection: a guide that takes until 4.6 s after SIGTERM to read, then a refund."""
        line = socket.socket()
        line.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        line.connect(("127.0.0.1", stopping.callers))
        reader, writer = await asyncio.open_connection(sock=line, limit=64 * 1024)
        writer.write(kit.message("GET /guide/1 HTTP/1.1", fields("guide-%d" % number), length=False))
        await writer.drain()
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
        length = int([line for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")][0].split(b":")[1])
        start, left = time.monotonic(), length
        record.write("client: guide-%d begins to arrive, %d bytes, %s" % (number, length, head.split(b"\r\n")[0].decode()))
        pace = length / (4.6 + 0.3)  # It begins 0.3 s before SIGTERM.
        try:
            while left > 0:
                left -= len(await reader.readexactly(min(left, 65536)))
                ahead = (length - left) / pace - (time.monotonic() - start)
                if ahead > 0:
                    await asyncio.sleep(ahead)
        except (asyncio.IncompleteReadError, ConnectionError):
            record.write("client: guide-%d broke off" % number)
            return
        record.write("client: guide-%d has arrived whole" % number)
        sent = begin("kept", number)
        try:
            await write_slowly(sent, writer, kit.message("DELETE /refund/1 HTTP/1.1", fields(sent.id), length=False), 1, 0)
        except ConnectionError:
            sent.outcome = "closed while it was sent"
            return
        await finish(sent, reader)
        writer.close()

    async def after_told(function, number):
        await told
        await function(number)

    downloads = [asyncio.create_task(download_then_refund(number)) for number in range(2)]
    await asyncio.sleep(0.45)
    if kit.TROUBLE:
        stopping.signal(signal.SIGTERM)
    at = time.monotonic()
    told.set_result(at)
    tasks = downloads + [asyncio.create_task(after_told(function, number))
                         for function in (send_slow_body, send_slow_head) for number in range(5)]
    if kit.TROUBLE:
        await stopping.ended(GRACE_S)
        record.write("the host's process ended %.2f s after SIGTERM" % (time.monotonic() - at))
    await asyncio.gather(*tasks)

    ran = {run[1]: run[0] for backend in books for run in backend.runs}
    lost = []
    for sent in requests:
        passed_on = sent.id in ran
        detail = "%s: sent from %+.2f to %s s of SIGTERM, %s, ends %s" % (
            sent.id, (sent.first_at or at) - at, "%+.2f" % (sent.last_at - at) if sent.last_at else "-",
            "run by a backend at %+.2f s" % (ran[sent.id] - at) if passed_on else "not run", sent.outcome)
        record.write(detail)
        if sent.outcome == "closed" and passed_on and sent.last_at - at > EXCUSED_SENT_S \
                and sent.ended_at - sent.first_at < LIMIT_MS / 1000:
            lost.append(sent)
    by_how = {how: sum(1 for sent in lost if sent.how == how) for how in ("kept", "slow-body", "slow-head")}
    record.say("of %d requests, lost after they were passed on to a backend: %s; other ends: %s" % (
        len(requests), by_how, sorted(sent.outcome for sent in requests if sent not in lost)))
    late = await long_grace(record, folder, hosts)
    return kit.BROKEN if lost or late else kit.HELD


kit.run_case(case, HERE)
