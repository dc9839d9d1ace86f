"""Tests of the ledger: its bound covers whatever a holder may do."""

import hypothesis
from hypothesis import strategies as st

from ebonytally.upstreams import slot_ledger
from ebonytally.upstreams import slot_messages

STEPS = st.one_of(
    st.tuples(st.just("lend"), st.integers(0, 3)),
    st.tuples(st.just("hear"), st.integers(0, 9)),
    st.tuples(st.just("report"), st.just(0)),
    st.tuples(st.just("told"), st.integers(0, 9)),
    st.tuples(st.just("begin"), st.just(0)),
    st.tuples(st.just("end"), st.just(0)),
    st.tuples(st.just("return"), st.just(0)),
)


@hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
@hypothesis.given(steps=st.lists(STEPS, min_size=5, max_size=60))
def test_bound_covers_the_holder(steps):
    entry = slot_ledger.Entry()
    serial = seen = count = busy = newest = 0
    loans = []
    reports = []
    for step, value in steps:
        if step == "lend":
            serial += 1
            entry.lend(serial, value, slot_messages.UNLIMITED)
            loans.append(entry.loan(1))
        elif step == "hear" and loans:
            loan = loans[value % len(loans)]
            if loan.serial > seen:
                seen, count = loan.serial, loan.count
        elif step == "report":
            use = slot_messages.Use(1, seen, max(count, busy), busy)
            reports.append((len(reports) + 1, use))
        elif step == "told" and reports:
            number, use = reports[value % len(reports)]
            if number > newest:
                newest = number
                entry.reported(use, use.serial)
        elif step == "begin" and busy < count:
            busy += 1
        elif step == "end" and busy:
            busy -= 1
        elif step == "return":
            count = min(count, busy)
        assert entry.bound >= max(busy, count)
