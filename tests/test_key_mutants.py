"""Each rule that keeps keys safe is missed when it is taken out."""

import pytest

from ebonytally import ports
from ebonytally.requests import key_messages
from ebonytally.requests import key_owner
from ebonytally.requests import key_placement
from ebonytally.requests import key_records
from ebonytally.requests import key_sync
from ebonytally.requests import request_retry
from tests import test_key_cases as cases

GRANTED = key_messages.Verdict.GRANTED


def _right_role(self, peer, msg, owners, now):
    role = owners.second if msg.is_forwarded else owners.first
    return self._local_vm == role


def _drop_and_forget(self):
    self._remove(next(iter(self._by_key)))


MUTANTS = [
    (
        "anyone vouches",
        (
            key_sync.Sync,
            "is_complete_for",
            lambda self, bucket, minted_at: True,
        ),
        cases.test_both_keepers_restarted_vouch_for_nothing_older,
    ),
    (
        "records are not judged",
        (
            key_owner.KeyOwner,
            "_verdict",
            lambda self, msg, record, now: GRANTED,
        ),
        cases.test_first_outcome_is_told_again_by_every_entry_vm,
    ),
    (
        "no lease and no epoch",
        (key_owner.KeyOwner, "_may_decide", _right_role),
        cases.test_keepers_that_are_cut_off_together_grant_nothing,
    ),
    (
        "dropped records are vouched for",
        (key_records.Records, "_evict_oldest", _drop_and_forget),
        cases.test_memory_is_bounded_and_what_was_dropped_is_unknown,
    ),
    (
        "no records are handed over",
        (key_sync.Sync, "handle_ask", lambda self, peer, msg, now: []),
        cases.test_planned_stop_of_both_keepers_hands_over,
    ),
    (
        "epochs between are passed over",
        (key_placement, "epochs_after", lambda view, after: None),
        cases.test_two_vms_lost_at_once_leave_the_other_keeper_knowing,
    ),
    (
        "a lost answer counts as not run",
        (
            request_retry,
            "NOT_RUN_KINDS",
            request_retry.NOT_RUN_KINDS | {ports.AttemptKind.LOST},
        ),
        cases.test_answer_lost_is_unknown_wherever_it_is_resent,
    ),
    (
        "contents are not compared",
        (
            key_owner.KeyOwner,
            "_verdict",
            lambda self, msg, record, now: key_messages.Verdict.ENDED,
        ),
        cases.test_other_content_is_refused_as_such,
    ),
]


@pytest.mark.parametrize(
    ("patch", "case"),
    [mutant[1:] for mutant in MUTANTS],
    ids=[mutant[0] for mutant in MUTANTS],
)
def test_mutant_is_caught(monkeypatch, patch, case):
    case()
    monkeypatch.setattr(*patch)
    with pytest.raises(AssertionError):
        case()
