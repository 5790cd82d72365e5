"""The store comes back from a copy that is some seconds old; the next version of the configuration never takes effect."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins  # noqa: E402
from standins import APPLY_S, CONTACT_S, STRETCH_S, TROUBLE  # noqa: E402

COPY_AGE_S = 8.0  # "some seconds old"
AWAY_S = 1.0  # "for a moment"
VERSIONS_BEFORE = 12  # In quick succession: the sheets have a change each 0.33 s for 4 s.
VERSION_GAP_S = 0.33


def version(number, timeout_ms, service="agenda-old", keys=("key-one", "key-two")):
    return standins.configuration(
        number, [standins.route("lookup", "/folios/", "safe", "folios", timeout_ms),
                 standins.route("book", "/agenda/", "unsafe", service, timeout_ms, attempts=1)],
        ["folios", "agenda-old", "agenda-new"], list(keys))


def case(log, folder, hosts):
    store = standins.store()
    store.put("op/config", version(10, 2000))
    upstreams = {}
    for service in ("folios", "agenda-old", "agenda-new"):
        upstreams[service] = [standins.upstream("i-%s-%s" % (service, zone), service, zone, log, store)
                              for zone in ("mty-a", "qro-a")]
    standins.start_hosts(hosts, folder, store, log)
    time.sleep(3)
    for host in hosts:
        if host.ask("first-" + host.name, "/folios/1") != 200 or host.ask("first-two-" + host.name, "/agenda/1",
                                                                        key="key-two", method="POST") != 200:
            raise standins.cannot_run("the hosts do not serve")

    copy = store.copy()
    log.write("copy of the store at revision %d" % copy["revision"])
    time.sleep(COPY_AGE_S - VERSIONS_BEFORE * VERSION_GAP_S)
    newest = None
    for step in range(VERSIONS_BEFORE):
        newest = version(12 + step, 1900 + step)
        log.write("operator writes %s, confirmed at revision %d" % (newest["version"], store.put("op/config", newest)))
        time.sleep(VERSION_GAP_S)

    if TROUBLE:
        store.go_away()
        log.write("the store is away")
        time.sleep(AWAY_S)
        store.come_back_from(copy)
        log.write("the store is back from the copy, era %d, revision %d" % (store.era, store.revision))
        # "What the operator and the backends wrote is written again."
        log.write("operator writes %s again, at revision %d" % (newest["version"], store.put("op/config", newest)))
        for service in upstreams.values():
            for one in service:
                one.announce()
    else:
        time.sleep(AWAY_S)
    returned = time.monotonic()

    time.sleep(1.5)
    # Takes a key away and moves a route to another service.
    last = version(30, 2000, "agenda-new", ["key-one"])
    log.write("operator writes %s (without key-two; /agenda/ goes to agenda-new), confirmed at revision %d"
              % (last["version"], store.put("op/config", last)))
    confirmed = time.monotonic()
    # In touch: the store is stable for contactMs. The longest stretch of the bound is granted too.
    judged_from = max(confirmed + APPLY_S + STRETCH_S, returned + CONTACT_S) + 0.5
    time.sleep(max(0.0, judged_from - time.monotonic()))
    log.write("judged from here on, %.1f s after the confirmation" % (time.monotonic() - confirmed))

    stale = []
    for turn in range(5):
        for host in hosts:
            name = "judged-%d-%s" % (turn, host.name)
            if host.ask(name + "-key", "/folios/1", key="key-two") != 401:
                stale.append(name + " ran with a key that was taken away")
            host.ask(name + "-book", "/agenda/1", method="POST")
            if any(one.ran(name + "-book") for one in upstreams["agenda-old"]):
                stale.append(name + " was run by the old service")
        time.sleep(1)
    log.write("%d of 30 requests handled as only an older version allows: %s" % (len(stale), stale))
    return "%d of 30 requests handled as only an older version allows" % len(stale) if stale else None


standins.play(case)
