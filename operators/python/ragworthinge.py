"""Builds a fleet configuration and prints it deterministically.

Equal configurations are printed as equal bytes, regardless of the order of the calls, and
`ragworthinge check --print` reproduces the same bytes. Validation is left to that program; this
library only rejects values that it cannot print.
"""

import hashlib
import hmac
import json
import sys

_DECIMAL_SCALE = 1000  # The program accepts numbers with at most three decimals.
_MIN_SECRET_BYTES = 16


def key_digest(fleet_secret: bytes, key: str) -> str:
    """Returns the digest of a caller's key that is stored: HMAC-SHA-256 with the fleet secret, in lower-case hex."""
    secret = fleet_secret.rstrip(b"\r\n")
    if len(secret) < _MIN_SECRET_BYTES:
        raise ValueError(f"the fleet secret must have at least {_MIN_SECRET_BYTES} bytes")
    return hmac.new(secret, key.encode("utf-8"), hashlib.sha256).hexdigest()


def _number(value):
    """Converts integral values to int; rejects numbers with more than three decimals."""
    scaled = value * _DECIMAL_SCALE
    if abs(scaled - round(scaled)) >= 1e-3:
        raise ValueError(f"{value} has more than three decimals")
    value = round(scaled) / _DECIMAL_SCALE
    return int(value) if value == int(value) else value


class Fleet:
    """Configuration of a fleet. Parameter names contain the units; docs/settings.md lists the valid ranges."""

    def __init__(self, revision_comment="", lookup_ttl_seconds=5):
        self._comment = revision_comment
        self._lookup = {"ttl_seconds": lookup_ttl_seconds}
        self._lists = {
            name: []
            for name in (
                "regions", "links", "services", "routes", "client_accounts",
                "keys", "shifts", "drains", "client_blocks",
            )
        }

    def region(self, name, failure_domains):
        self._lists["regions"].append({"name": name, "failure_domains": sorted(failure_domains)})

    def link(self, from_region, to_region, megabits_per_second):
        """Adds a link with the given capacity from one region to another; it applies to this direction only."""
        self._lists["links"].append(
            {"from": from_region, "to": to_region, "megabits_per_second": _number(megabits_per_second)}
        )

    def links_between_all_regions(self, megabits_per_second):
        """Adds links of equal capacity in both directions between all regions added so far."""
        names = [region["name"] for region in self._lists["regions"]]
        for from_region in names:
            for to_region in names:
                if from_region != to_region:
                    self.link(from_region, to_region, megabits_per_second)

    def service(self, name, upstreams, request_timeout_ms=2000, queue_limit=1000):
        """Adds a service; `upstreams` are results of `upstream` or `spread_upstreams`."""
        self._lists["services"].append(
            {
                "name": name,
                "request_timeout_ms": request_timeout_ms,
                "queue_limit": queue_limit,
                "upstreams": sorted(upstreams, key=lambda item: item["name"]),
            }
        )

    def route(self, path_prefix, service, open=False, accounts=(), idempotent_methods=()):
        self._lists["routes"].append(
            {
                "path_prefix": path_prefix,
                "service": service,
                "open": open,
                "accounts": sorted(accounts),
                "idempotent_methods": sorted(idempotent_methods),
            }
        )

    def client_account(self, name, rate_per_second, burst, weight=1):
        self._lists["client_accounts"].append(
            {
                "name": name,
                "rate_per_second": _number(rate_per_second),
                "burst": _number(burst),
                "weight": _number(weight),
            }
        )

    def key(self, id, account, digest):
        """Adds a key by its digest from `key_digest`; the configuration never contains the key itself."""
        self._lists["keys"].append({"id": id, "account": account, "digest": digest})

    def shift(
        self, id, from_region, to_region, services, cap_requests_per_second, cap_megabits_per_second,
        ramp_seconds=60, state="planned",
    ):
        self._lists["shifts"].append(
            {
                "id": id,
                "from": from_region,
                "to": to_region,
                "services": sorted(services),
                "cap_requests_per_second": _number(cap_requests_per_second),
                "cap_megabits_per_second": _number(cap_megabits_per_second),
                "ramp_seconds": ramp_seconds,
                "state": state,
            }
        )

    def drain(self, id, target, starts_at="", state="planned"):
        """Adds a drain; `target` is "upstream:NAME", "host:NAME", "failure_domain:NAME" or "region:NAME"."""
        self._lists["drains"].append({"id": id, "target": target, "starts_at": starts_at, "state": state})

    def client_block(self, prefix, site):
        self._lists["client_blocks"].append({"prefix": prefix, "site": site})

    def to_text(self) -> str:
        """Returns the configuration in canonical form."""
        sort_keys = {
            "links": lambda item: (item["from"], item["to"]),
            "routes": lambda item: item["path_prefix"],
            "client_blocks": lambda item: item["prefix"],
            "keys": lambda item: item["id"],
            "shifts": lambda item: item["id"],
            "drains": lambda item: item["id"],
        }
        document = {"revision_comment": self._comment}
        for name, elements in self._lists.items():
            document[name] = sorted(elements, key=sort_keys.get(name, lambda item: item["name"]))
        document["lookup"] = self._lookup
        return _print_value(document, 0) + "\n"

    def print(self, stream=None):
        (stream or sys.stdout).write(self.to_text())


def upstream(name, address, port, region, failure_domain, slots, state="active"):
    """Returns an upstream for `Fleet.service`."""
    return {
        "name": name,
        "address": address,
        "port": port,
        "region": region,
        "failure_domain": failure_domain,
        "slots": slots,
        "state": state,
    }


def spread_upstreams(service, count, placements, first_address, port, slots):
    """Returns `count` upstreams, distributed evenly over `placements`, a list of (region, failure domain).

    The upstreams are named SERVICE-01, SERVICE-02 and so on and have consecutive IPv4 addresses.
    """
    prefix, last = first_address.rsplit(".", 1)
    upstreams = []
    for number in range(count):
        region, failure_domain = placements[number % len(placements)]
        upstreams.append(
            upstream(
                f"{service}-{number + 1:02}", f"{prefix}.{int(last) + number}", port, region, failure_domain, slots
            )
        )
    return upstreams


def _contains_object(value):
    children = value.values() if isinstance(value, dict) else value if isinstance(value, list) else ()
    return any(isinstance(child, dict) or _contains_object(child) for child in children)


def _print_value(value, depth):
    """Formats JSON; the document and values that contain objects get one line per element, others a single line."""
    if not isinstance(value, (dict, list)):
        return json.dumps(value, ensure_ascii=False)
    multiline = _contains_object(value) or (depth == 0 and isinstance(value, dict))
    if isinstance(value, dict):
        begin, end = "{", "}"
        parts = [
            json.dumps(name, ensure_ascii=False) + ": " + _print_value(member, depth + 1)
            for name, member in value.items()
        ]
    else:
        begin, end = "[", "]"
        parts = [_print_value(element, depth + 1) for element in value]
    if not multiline or not parts:
        return begin + ", ".join(parts) + end
    indent = "  " * (depth + 1)
    return begin + "\n" + ",\n".join(indent + part for part in parts) + "\n" + "  " * depth + end
