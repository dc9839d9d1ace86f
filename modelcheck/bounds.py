"""Search bounds of the models: small in every run, large on request."""

from modelcheck import handover_model
from modelcheck import lease_model
from modelcheck import log_state
from modelcheck import order_model
from modelcheck import read_model
from modelcheck import votes_model

TWO = (0, 1)
Log = log_state.Bounds
Lease = lease_model.Bounds
Read = read_model.Bounds
Order = order_model.Bounds
Votes = votes_model.Bounds
Handover = handover_model.Bounds

LOG_SMALL = (
    Log(terms=3, entries=2, crashes=0, candidates=TWO),
    Log(terms=2, entries=2, crashes=1, candidates=TWO),
    Log(terms=2, entries=1, crashes=0, wipes=1, candidates=TWO),
    Log(2, 2, 0, candidates=TWO, held=True, snapshots=True),
)
LOG_LARGE = (
    Log(terms=2, entries=2, crashes=1),
    Log(terms=2, entries=2, crashes=0, wipes=1, candidates=TWO),
    Log(terms=4, entries=2, crashes=0, candidates=TWO),
    Log(terms=2, entries=3, crashes=1, candidates=TWO),
    Log(terms=2, entries=2, crashes=1, candidates=TWO, held=True),
    Log(2, 3, 0, candidates=TWO, held=True, snapshots=True),
    Log(2, 3, 1, candidates=TWO, held=True),
    Log(3, 2, 0, wipes=1, candidates=TWO, snapshots=True),
)
LEASE_SMALL = (
    Lease(ticks=2, out=True, exclude=False),
    Lease(ticks=2, out=False, exclude=True),
)
LEASE_LARGE = (
    Lease(ticks=3, out=True, exclude=False),
    Lease(ticks=3, out=False, exclude=True),
    Lease(ticks=4, out=False, exclude=True),
    Lease(ticks=2, out=True, exclude=True),
)
READ_SMALL = (
    Read(terms=2, versions=1, wipes=False),
    Read(terms=2, versions=1, wipes=True),
)
READ_LARGE = (Read(terms=2, versions=2, wipes=False),)
ORDER_SMALL = (
    Order(terms=2, orders=2, entries=3),
    Order(terms=3, orders=2, entries=3),
)
ORDER_LARGE = (Order(terms=3, orders=3, entries=4),)
VOTES = (Votes(terms=3, wipes=1), Votes(terms=4, wipes=2))
HANDOVER = (Handover(epochs=2), Handover(epochs=4))
