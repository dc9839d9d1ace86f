"""Property test: a ledger's bound covers whatever its holder may do."""

import hypothesis
from hypothesis import strategies as st

from ebonytally.upstreams import slot_ledger
from ebonytally.upstreams import slot_messages

STEPS = st.one_of(
    st.tuples(st.just("grant"), st.integers(0, 3)),
    st.tuples(st.just("receive_grant"), st.integers(0, 9)),
    st.tuples(st.just("send_report"), st.just(0)),
    st.tuples(st.just("receive_report"), st.integers(0, 9)),
    st.tuples(st.just("begin"), st.just(0)),
    st.tuples(st.just("end"), st.just(0)),
    st.tuples(st.just("return_idle"), st.just(0)),
)


@hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
@hypothesis.given(steps=st.lists(STEPS, min_size=5, max_size=60))
def test_bound_covers_the_holder(steps):
    entry = slot_ledger.Entry()
    serial = received = count = busy = newest_report = 0
    grants = []
    reports = []
    for step, value in steps:
        if step == "grant":
            serial += 1
            entry.grant(serial, value, slot_messages.UNLIMITED)
            grants.append(entry.to_message(1))
        elif step == "receive_grant" and grants:
            grant = grants[value % len(grants)]
            if grant.serial > received:
                received, count = grant.serial, grant.count
        elif step == "send_report":
            use = slot_messages.SlotUse(1, received, max(count, busy), busy)
            reports.append((len(reports) + 1, use))
        elif step == "receive_report" and reports:
            number, use = reports[value % len(reports)]
            if number > newest_report:
                newest_report = number
                entry.on_report(use, use.serial)
        elif step == "begin" and busy < count:
            busy += 1
        elif step == "end" and busy:
            busy -= 1
        elif step == "return_idle":
            count = min(count, busy)
        assert entry.bound >= max(busy, count)
