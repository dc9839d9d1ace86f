"""Each rule that keeps keys safe is missed when it is taken out."""

import pytest

from ebonytally import ports
from ebonytally.requests import key_messages
from ebonytally.requests import key_places
from ebonytally.requests import key_records
from ebonytally.requests import key_sync
from ebonytally.requests import keys
from ebonytally.requests import request_retry
from tests import test_key_cases as cases

GRANTED = key_messages.Verdict.GRANTED


def _right_role(self, peer, msg, pair, now):
    role = pair.second if msg.second else pair.first
    return self._me == role


def _drop_and_forget(self):
    self._remove(next(iter(self._by_key)))


MUTANTS = [
    (
        "anyone vouches",
        (key_sync.Sync, "vouches", lambda self, bucket, minted: True),
        cases.test_both_keepers_restarted_vouch_for_nothing_older,
    ),
    (
        "records are not judged",
        (keys.Keeper, "_judged", lambda self, msg, record, now: GRANTED),
        cases.test_first_outcome_is_told_again_by_every_entry_vm,
    ),
    (
        "no lease and no epoch",
        (keys.Keeper, "_may_judge", _right_role),
        cases.test_keepers_that_are_cut_off_together_grant_nothing,
    ),
    (
        "dropped records are vouched for",
        (key_records.Records, "_drop_oldest", _drop_and_forget),
        cases.test_memory_is_bounded_and_what_was_dropped_is_unknown,
    ),
    (
        "no records are handed over",
        (key_sync.Sync, "asked", lambda self, peer, msg, now: []),
        cases.test_planned_stop_of_both_keepers_hands_over,
    ),
    (
        "epochs between are passed over",
        (key_places, "epochs", lambda view, after: None),
        cases.test_two_vms_lost_at_once_leave_the_other_keeper_knowing,
    ),
    (
        "a lost answer counts as not run",
        (
            request_retry,
            "NEVER_RUN",
            request_retry.NEVER_RUN | {ports.AttemptKind.LOST},
        ),
        cases.test_answer_lost_is_unknown_wherever_it_is_resent,
    ),
    (
        "contents are not compared",
        (
            keys.Keeper,
            "_judged",
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
