"""Check all models within their bounds: ``python -m modelcheck [--large]``."""

import sys
import time

import minicheck

from modelcheck import bounds
from modelcheck import confirm_model
from modelcheck import handover_model
from modelcheck import lease_model
from modelcheck import log_model
from modelcheck import order_model
from modelcheck import read_model
from modelcheck import votes_model

MAX_STATES = 1_000_000


def main(argv: list[str]) -> int:
    """Print states and verdict of each model; return 1 if any is unsafe."""
    logs = bounds.LOG_SMALL
    leases = bounds.LEASE_SMALL
    reads = bounds.READ_SMALL
    orders = bounds.ORDER_SMALL
    if "--large" in argv:
        logs += bounds.LOG_LARGE
        leases += bounds.LEASE_LARGE
        reads += bounds.READ_LARGE
        orders += bounds.ORDER_LARGE
    models = [(limit, log_model.LogModel(limit)) for limit in logs]
    models += [(limit, lease_model.LeaseModel(limit)) for limit in leases]
    models += [(limit, read_model.ReadModel(limit)) for limit in reads]
    models += [(limit, order_model.OrderModel(limit)) for limit in orders]
    models += [
        (limit, votes_model.VotesModel(limit)) for limit in bounds.VOTES
    ]
    models += [
        (limit, handover_model.HandoverModel(limit))
        for limit in bounds.HANDOVER
    ]
    models.append(("Confirm()", confirm_model.ConfirmModel()))
    verdicts = [_check(limit, model) for limit, model in models]
    return 0 if all(verdicts) else 1


def _check(limit: object, model: object) -> bool:
    """Return whether all states were searched and all invariants hold."""
    started_at = time.perf_counter()
    report = minicheck.check_safety(model.protocol(), max_states=MAX_STATES)
    elapsed_s = time.perf_counter() - started_at
    holds = [verdict["holds"] for verdict in report["properties"].values()]
    safe = report["exhaustive"] and all(holds)
    states = report["reachable_states"]
    result = "safe" if safe else "UNSAFE"
    print(
        f"{states:8} states {elapsed_s:6.1f} s  {result}  {limit}", flush=True
    )
    return safe


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
