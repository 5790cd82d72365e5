"""Magnolia Coldline Van Rental: refrigerated vans. Prints examples/magnolia.json."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "operators" / "python"))

import ragworthinge

LINK_MEGABITS_PER_SECOND = 4000  # Each direction, shared by all traffic.
PORT = 8080
# For this example only. Real keys come from "ragworthinge key issue".
EXAMPLE_SECRET = b"magnolia example fleet secret"

PLACEMENTS = [
    (region, f"{region}-{letter}") for letter in "ab" for region in ("gulf", "delta", "piedmont")
]

fleet = ragworthinge.Fleet("Magnolia Coldline Van Rental: initial configuration")

for name in ("gulf", "delta", "piedmont"):
    fleet.region(name, [f"{name}-a", f"{name}-b"])
fleet.links_between_all_regions(LINK_MEGABITS_PER_SECOND)

# Name, upstreams, slots per upstream, request timeout in ms, first address.
SERVICES = [
    ("availability", 16, 4, 800, "10.20.1.11"),
    ("bookings", 14, 3, 2500, "10.20.2.11"),
    ("refunds", 12, 3, 4000, "10.20.3.11"),
    ("telemetry", 16, 4, 600, "10.20.4.11"),
]
for name, count, slots, timeout, first_address in SERVICES:
    fleet.service(
        name,
        ragworthinge.spread_upstreams(name, count, PLACEMENTS, first_address, PORT, slots),
        request_timeout_ms=timeout,
        queue_limit=800,
    )
    fleet.route(f"/{name}", name)
fleet.route("/availability/public", "availability", open=True)
# A van reports the same reading again after a lost answer; the last one counts.
fleet.route("/telemetry/readings", "telemetry", idempotent_methods=["GET", "POST"])

# Name, requests per second, burst.
ACCOUNTS = [
    ("web-booking", 900, 300),
    ("partner-freshline", 600, 200),
    ("depot-counters", 250, 100),
    ("florists-union", 40, 40),
    ("bakery-route", 25, 25),
    ("clinic-transfer", 20, 40),
    ("oyster-coop", 12.5, 15),
    ("night-market", 10, 10),
]
for name, rate, burst in ACCOUNTS:
    fleet.client_account(name, rate, burst, weight=rate / 10)
    fleet.key(f"{name}-1", name, ragworthinge.key_digest(EXAMPLE_SECRET, f"example key of {name}"))

fleet.shift(
    "tuesday-delta-to-gulf", "delta", "gulf", ["availability", "telemetry"],
    cap_requests_per_second=400, cap_megabits_per_second=1500, ramp_seconds=900,
)
fleet.drain("tuesday-delta-a", "failure_domain:delta-a", "2026-12-08T07:00:00Z")

for number, region in enumerate(("gulf", "delta", "piedmont")):
    fleet.client_block(f"10.{96 + number}.0.0/16", region)

fleet.print()
