"""Casetas Permisadas del Norte: permits for storage sheds. Prints examples/casetas.json."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "operators" / "python"))

import ragworthinge

UPSTREAMS_PER_SERVICE = 12
SLOTS = 3
LINK_MEGABITS_PER_SECOND = 280  # Each direction, shared by all traffic.
PORT = 8080
# For this example only. Real keys come from "ragworthinge key issue".
EXAMPLE_SECRET = b"casetas example fleet secret"

PLACEMENTS = [
    (region, f"{region}-{letter}") for letter in "ab" for region in ("north", "centre", "south")
]

fleet = ragworthinge.Fleet("Casetas Permisadas del Norte: initial configuration")

for name in ("north", "centre", "south"):
    fleet.region(name, [f"{name}-a", f"{name}-b"])
fleet.links_between_all_regions(LINK_MEGABITS_PER_SECOND)

# Name, request timeout in ms, first address.
SERVICES = [
    ("applications", 3000, "10.10.1.11"),
    ("documents", 5000, "10.10.2.11"),
    ("fees", 2000, "10.10.3.11"),
    ("inspections", 2000, "10.10.4.11"),
]
for name, timeout, first_address in SERVICES:
    fleet.service(
        name,
        ragworthinge.spread_upstreams(name, UPSTREAMS_PER_SERVICE, PLACEMENTS, first_address, PORT, SLOTS),
        request_timeout_ms=timeout,
        queue_limit=400,
    )
    fleet.route(f"/{name}", name)
fleet.route("/inspections/calendar", "inspections", open=True)
# Searching is a POST because its filter is long, and may be repeated.
fleet.route("/documents/search", "documents", idempotent_methods=["GET", "POST"])

# Name, requests per second, burst. Two large franchisees and six small ones with equal weight per request.
ACCOUNTS = [
    ("franquicia-monterrey", 180, 90),
    ("franquicia-saltillo", 140, 70),
    ("ventanilla-unica", 60, 30),
    ("bodegas-reyes", 12, 12),
    ("cobertizos-luna", 10, 10),
    ("almacenes-rio", 8, 8),
    ("taller-ochoa", 5, 5),
    ("gestoria-paz", 2.5, 5),
]
for name, rate, burst in ACCOUNTS:
    fleet.client_account(name, rate, burst, weight=rate / 10)
    fleet.key(f"{name}-1", name, ragworthinge.key_digest(EXAMPLE_SECRET, f"example key of {name}"))

fleet.shift(
    "sunday-south-to-centre", "south", "centre", ["applications", "fees"],
    cap_requests_per_second=60, cap_megabits_per_second=120, ramp_seconds=600,
)
fleet.drain("sunday-south-b", "failure_domain:south-b", "2026-12-06T09:00:00Z")

for number, region in enumerate(("north", "centre", "south")):
    fleet.client_block(f"10.{64 + number}.0.0/16", region)

fleet.print()
