"""Cost of sharing load by bytes a second, for three ways to share it.

Compared are: no sharing; the product's sums by service and data centre with
suspicions; digests with one figure for each upstream.
"""

from benches import feed_model
from benches import load_model
from ebonytally.feed import follower
from ebonytally.load import figures
from ebonytally.load import interfaces
from ebonytally.load import load_server
from ebonytally.load import messages
from ebonytally.load import shared_load
from ebonytally import peer_datagrams
from ebonytally.registry import gossip
from ebonytally.registry import records
from ebonytally import wire

# Entry VMs, control VMs, data centres, services, and requests a second at an
# entry VM: the two known deployments, and large fleets.
SITES = (
    (23, 8, 4, 2, 34.0),
    (63, 6, 3, 2, 11.0),
    (410, 7, 8, 2, 11.0),
    (410, 7, 8, 880, 11.0),
)
UPSTREAMS = (75, 2900)
SUSPECTED = 6
MAX_SPREAD_VMS = 100
# Suspicions found by two entry VMs, one after the other.
SPREADS = 12
WARM_UP_S = 4.0
DURATION_S = 12.0
# Upstreams of which a digest tells: those with requests in so many seconds.
DIGEST_S = 2.0


def run(seed: int, json_only: bool) -> dict:
    """Return the bytes a second sent by a VM, by site and way."""
    result: dict = {}
    for site in SITES:
        entry_vms, control_vms, _, services, _ = site
        key = f"{entry_vms}_entry_{services}_services"
        ways = {"none": polls(entry_vms, control_vms)}
        ways["sums"] = sums(*site, 0, seed)
        ways["sums_suspicions"] = sums(*site, SUSPECTED, seed)
        if services == SITES[0][3]:
            for count in UPSTREAMS:
                ways[f"digests_{count}"] = digests(
                    entry_vms, control_vms, site[4], count
                )
        if entry_vms < MAX_SPREAD_VMS:
            ways["spread"] = spread(*site, seed)
        result[key] = ways
        if not json_only:
            for way, line in ways.items():
                print(f"{key:26} {way:15} {line}")
    return result


def polls(entry_vms: int, control_vms: int) -> dict[str, int]:
    """Return the bytes a second of polls, and of digests of registries."""
    per_s = 1 / follower.POLL_INTERVAL_S + 1 / follower.OTHER_POLL_INTERVAL_S
    answer = feed_model.ANSWER_BYTES + control_vms * feed_model.NAME_BYTES
    digest = records.Digest(2**63, 60, "10.1.0.1")
    to_peers = (control_vms - 1) / gossip.DIGEST_INTERVAL_S * _size(digest)
    return {
        "entry": round(per_s * feed_model.POLL_BYTES),
        "entry_received": round(per_s * answer),
        "control": round(per_s * answer * entry_vms / control_vms + to_peers),
    }


def make_site(
    entry_vms: int,
    control_vms: int,
    data_centres: int,
    services: int,
    rate_per_s: float,
    seed: int,
) -> load_model.Site:
    """Return a site whose names are as long as those of deployments."""
    return load_model.Site(
        control_vms,
        entry_vms,
        tuple(f"centre{n:02}" for n in range(data_centres)),
        tuple(f"service-{n:03}" for n in range(services)),
        rate_per_s,
        seed,
    )


def spread(*site_fields) -> dict[str, float]:
    """Return how long suspicions of two entry VMs take to all others.

    :param site_fields: as for `make_site`
    """
    site = make_site(*site_fields)
    site.run(WARM_UP_S)
    vms = list(site.entry.values())
    half_s: list[float] = []
    all_s: list[float] = []
    for cookie in range(1, SPREADS + 1):
        found_at = site.now
        for vm in site.rng.sample(vms, 2):
            vm.capacity.found = (interfaces.Suspicion(cookie, 6.0, 0.0),)
        known = 0
        while known < len(vms):
            site.run(load_model.TICK_S)
            known = sum(cookie in vm.load.suspicions(site.now) for vm in vms)
            if known > len(vms) / 2 and len(half_s) < cookie:
                half_s.append(site.now - found_at)
        all_s.append(site.now - found_at)
        for vm in vms:
            vm.capacity.found = ()
        site.run(3 * site.rng.random())
    return {
        "half_know_mean_s": round(sum(half_s) / SPREADS, 2),
        "all_know_mean_s": round(sum(all_s) / SPREADS, 2),
        "all_know_max_s": round(max(all_s), 2),
    }


def sums(
    entry_vms: int,
    control_vms: int,
    data_centres: int,
    services: int,
    rate_per_s: float,
    suspected: int,
    seed: int,
) -> dict[str, float]:
    """Return the busiest VMs' bytes a second for the product's messages.

    :param suspected: number of upstreams that each entry VM suspects
    """
    site = make_site(
        entry_vms, control_vms, data_centres, services, rate_per_s, seed
    )
    found = tuple(
        interfaces.Suspicion(0x70000000 + 977 * n, 6.0, 0.2)
        for n in range(suspected)
    )
    for vm in site.entry.values():
        vm.capacity.found = found
    site.run(WARM_UP_S)
    site.sent.clear()
    site.sizes.clear()
    site.run(DURATION_S)
    answers = sum(
        sent.get("LoadSummary", 0)
        for name, sent in site.sent.items()
        if name in site.control
    )
    return {
        "entry": _busiest(site, site.entry),
        "entry_received": round(answers / entry_vms / DURATION_S),
        "control": _busiest(site, site.control),
        **{
            f"{kind}_bytes_max": max(sizes)
            for kind, sizes in site.sizes.items()
        },
        "demand_error": round(_error(site, rate_per_s), 3),
        "services_told": round(
            sum(
                vm.load.demand_per_s(name, site.now) is not None
                for vm in site.entry.values()
                for name in site.services
            )
            / entry_vms,
            1,
        ),
    }


def digests(
    entry_vms: int, control_vms: int, rate_per_s: float, upstreams: int
) -> dict[str, int]:
    """Return the bytes a second if each upstream is told of by itself."""
    jitter = 1 + shared_load.JITTER_SHARE / 2
    reports_s = 1 / (shared_load.REPORT_INTERVAL_S * jitter)
    followers = entry_vms / control_vms
    seen = min(upstreams, round(DIGEST_S * rate_per_s))
    seen_by_all = min(upstreams, round(DIGEST_S * rate_per_s * followers))
    report = _digest_bytes(messages.LoadReport, seen)
    to_peers = _digest_bytes(messages.LoadSums, seen_by_all)
    answer = _digest_bytes(messages.LoadSummary, upstreams)
    to_peers_s = (control_vms - 1) / load_server.SUMS_INTERVAL_S
    return {
        "entry": round(reports_s * report),
        "entry_received": round(reports_s * answer),
        "control": round(
            reports_s * answer * followers + to_peers_s * to_peers
        ),
    }


def _digest_bytes(cls: type, upstreams: int) -> int:
    """Return the bytes of so many upstreams' figures in datagrams.

    The figures are those of a suspicion: cookie, two numbers and a count.
    """
    left = tuple(
        messages.Suspected(0x70000000 + 977 * n, 15 + n % 50, n % 100, 3)
        for n in range(upstreams)
    )
    room = figures.MAX_DATAGRAM_BYTES - figures.HEAD_BYTES
    total = 0
    while left:
        sent, _ = figures.fit(left, room)
        total += _size(cls(sent_ms=2**31, suspicions=sent))
        left = left[len(sent) :]
    return total


def _size(msg: object) -> int:
    frame = wire.encode(load_model.KEY, "10.12.0.139", msg)
    return len(frame) + peer_datagrams.OVERHEAD_BYTES


def _busiest(site: load_model.Site, vms: dict) -> int:
    most = max(sum(site.sent.get(name, {}).values()) for name in vms)
    return round(most / DURATION_S)


def _error(site: load_model.Site, rate_per_s: float) -> float:
    """Return the largest relative error of a demand told to an entry VM."""
    expected = rate_per_s / len(site.services)
    of = dict.fromkeys(site.data_centres, 0.0)
    for vm in site.entry.values():
        of[vm.data_centre] += expected
    errors = [
        abs(told - of[name]) / of[name]
        for vm in site.entry.values()
        for service in site.services
        for name, told in (
            vm.load.demand_per_s(service, site.now) or {}
        ).items()
    ]
    return max(errors, default=0.0)
