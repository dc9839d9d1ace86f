"""Each safety rule for keys is covered: removing it fails a test."""

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


def _has_matching_role(self, peer, msg, owners, now):
    role = owners.second if msg.is_forwarded else owners.first
    return self._local_vm == role


def _evict_without_trace(self):
    self._remove(next(iter(self._by_key)))


MUTANTS = [
    (
        "any history counts as complete",
        (
            key_sync.Sync,
            "is_complete_for",
            lambda self, bucket, minted_at: True,
        ),
        cases.test_both_owners_restarted_leave_older_keys_unknown,
    ),
    (
        "records are ignored",
        (
            key_owner.KeyOwner,
            "_verdict",
            lambda self, msg, record, now: GRANTED,
        ),
        cases.test_first_outcome_is_repeated_by_every_entry_vm,
    ),
    (
        "lease and epoch are not checked",
        (key_owner.KeyOwner, "_may_decide", _has_matching_role),
        cases.test_owners_cut_off_together_grant_nothing,
    ),
    (
        "evictions are forgotten",
        (key_records.Records, "_evict_oldest", _evict_without_trace),
        cases.test_memory_is_bounded_and_evicted_keys_are_unknown,
    ),
    (
        "no records are handed over",
        (key_sync.Sync, "handle_ask", lambda self, peer, msg, now: []),
        cases.test_planned_stop_of_both_owners_hands_over_records,
    ),
    (
        "skipped epochs are not replayed",
        (key_placement, "epochs_after", lambda view, after: None),
        cases.test_two_vms_lost_at_once_leave_records_at_one_owner,
    ),
    (
        "a lost answer counts as not run",
        (
            request_retry,
            "NOT_RUN_KINDS",
            request_retry.NOT_RUN_KINDS | {ports.AttemptEnd.LOST},
        ),
        cases.test_lost_answer_is_unknown_when_resent_elsewhere,
    ),
    (
        "contents are not compared",
        (
            key_owner.KeyOwner,
            "_verdict",
            lambda self, msg, record, now: key_messages.Verdict.ENDED,
        ),
        cases.test_reused_key_with_other_content_is_refused,
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
