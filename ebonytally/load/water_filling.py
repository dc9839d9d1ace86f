"""Water filling: load that leaves data centres short of room.

Handles the load condition that one data centre's callers ask for more than
its upstreams can serve while others have room. Pure functions of demand
and room (requests a second by data centre), so that all entry VMs come to
the same plan. Utilisation is demand divided by room.
"""

from collections.abc import Mapping
import math

import attrs

# Utilisation from which load leaves. Below it queues are short, and flows
# at home survive when data centres are cut off from each other.
START_UTILISATION = 0.7
# From here on a sender is brought down to the mean. Between both it sends a
# rising part, so that demand near the threshold causes no jump.
FULL_UTILISATION = 1.0
# Receivers are filled to this at most: their own callers' bursts need the
# rest, and figures are up to 2 s old.
RECEIVE_UTILISATION = 0.95
# Smaller shares are rounding errors.
NEGLIGIBLE_SHARE = 1e-9

Amounts = Mapping[str, float]


@attrs.frozen
class Limits:
    """What the times of a priority's routes allow.

    :param closed: data centres whose answers would pass the timeout
    :param late: those whose answers would pass the target latency
    :param late_share: `late` ones get flows only until this share of the
        priority's flows leaves in total
    """

    closed: frozenset[str] = frozenset()
    late: frozenset[str] = frozenset()
    late_share: float = 1.0


def utilisation(demand_per_s: float, room_per_s: float) -> float:
    """Return demand by room, infinite if there is demand without room."""
    if room_per_s > 0.0:
        return demand_per_s / room_per_s
    return math.inf if demand_per_s > 0.0 else 0.0


def mean_utilisation(demand: Amounts, room: Amounts) -> float:
    """Return the utilisation if all data centres were equally loaded."""
    return utilisation(sum(demand.values()), sum(room.values()))


def surplus_per_s(
    demand_per_s: float, room_per_s: float, mean: float
) -> float:
    """Return the requests a second that a data centre wants to send."""
    if room_per_s <= 0.0:
        return demand_per_s
    used = demand_per_s / room_per_s
    if used <= max(START_UTILISATION, mean):
        return 0.0
    band = FULL_UTILISATION - START_UTILISATION
    part = min(1.0, (used - START_UTILISATION) / band)
    return part * (used - mean) * room_per_s


def fill(
    amount_per_s: float, demand: Amounts, room: Amounts, limit: float
) -> dict[str, float]:
    """Distribute an amount so that the least utilised get most.

    :param limit: no data centre is filled above this utilisation
    :return: by data centre, requests a second, none of them 0; less than
        the amount in total if the limit is reached
    """
    below = sorted(
        (demand.get(name, 0.0) / per_s, name)
        for name, per_s in room.items()
        if per_s > 0.0 and demand.get(name, 0.0) < limit * per_s
    )
    level = limit
    filled_room = filled_demand = 0.0
    for index, (used, name) in enumerate(below):
        filled_room += room[name]
        filled_demand += used * room[name]
        level = (amount_per_s + filled_demand) / filled_room
        if index + 1 == len(below) or level <= below[index + 1][0]:
            break
    level = min(level, limit)
    return {
        name: (level - used) * room[name]
        for used, name in below
        if level > used
    }


def plan(demand: Amounts, room: Amounts) -> dict[str, dict[str, float]]:
    """Return requests a second by sender and receiver.

    Own callers come first: only data centres below the mean receive, up
    to the mean and `RECEIVE_UTILISATION`, and they send nothing.
    """
    mean = mean_utilisation(demand, room)
    wanted = {
        name: surplus_per_s(per_s, room.get(name, 0.0), mean)
        for name, per_s in demand.items()
    }
    total = sum(wanted.values())
    if total <= 0.0:
        return {}
    received = fill(total, demand, room, min(mean, RECEIVE_UTILISATION))
    return {
        name: {
            other: per_s * amount / total for other, per_s in received.items()
        }
        for name, amount in wanted.items()
        if amount > 0.0
    }


def shares(home: str, demand: Amounts, room: Amounts) -> dict[str, float]:
    """Return the shares of a data centre's demand to send to others.

    A data centre without any room sends everything, to where the plan has
    room, or else in proportion to the room.

    :return: by data centre, each above 0, their sum at most 1
    """
    demand_per_s = demand.get(home, 0.0)
    if demand_per_s <= 0.0 and room.get(home, 0.0) > 0.0:
        return {}
    sent = plan(demand, room).get(home, {})
    if room.get(home, 0.0) > 0.0:
        return {name: amount / demand_per_s for name, amount in sent.items()}
    sent = sent or {name: per_s for name, per_s in room.items() if per_s > 0.0}
    total = sum(sent.values())
    return {name: amount / total for name, amount in sent.items()}


def queue_s(used: float, slots: float, service_time_s: float) -> float:
    """Return the mean wait in an upstream's queue (Sakasegawa's formula).

    Each entry VM sees only a part of an upstream's load, so queues are
    those of single upstreams rather than of one pool.

    :param used: utilisation, infinite wait from 1 on
    :param slots: slots of one upstream
    """
    if used >= 1.0:
        return math.inf
    servers = max(1.0, slots)
    exponent = math.sqrt(2.0 * (servers + 1.0)) - 1.0
    return service_time_s / servers * used**exponent / (1.0 - used)


def split_by_priority(
    wanted: Amounts,
    mix: Mapping[int, float],
    limits: Mapping[int, Limits],
) -> dict[int, dict[str, float]]:
    """Return shares by priority, with the lowest priorities leaving first.

    :param wanted: share of the whole demand, by data centre
    :param mix: share of the demand by priority, their sum 1
    :param limits: by priority, none if missing
    """
    left = dict(wanted)
    result: dict[int, dict[str, float]] = {}
    for priority in sorted(mix, reverse=True):
        part = mix[priority]
        limit = limits.get(priority, Limits())
        wants = {
            name: per_s / part if part else 0.0
            for name, per_s in left.items()
            if name not in limit.closed
        }
        by_name = result[priority] = _allowed(wants, limit)
        for name, share in by_name.items():
            left[name] = max(0.0, left[name] - share * part)
    return result


def _allowed(wants: Amounts, limit: Limits) -> dict[str, float]:
    """Return the shares of a priority's flows that may leave."""
    late = {name: wants[name] for name in wants if name in limit.late}
    shares: dict[str, float] = {}
    free = 1.0
    for name in wants:
        if name not in late:
            shares[name] = min(wants[name], free)
            free -= shares[name]
    free = max(0.0, min(free, limit.late_share - (1.0 - free)))
    total = sum(late.values())
    for name, share in late.items():
        shares[name] = share * min(1.0, free / total) if total else 0.0
    return {
        name: share
        for name, share in shares.items()
        if share > NEGLIGIBLE_SHARE
    }
