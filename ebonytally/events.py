"""Numbered log events; docs/EVENTS.md is their catalogue."""

import enum


class Event(enum.IntEnum):
    """Log events: the number and the name stay stable.

    Each duty has a range of its own: 100 process, 200 packets and flows,
    300 requests, 400 upstreams, 500 operators and configuration,
    600 agreement and storage, 700 members and spread.
    """

    STARTED = 100
    STOPPING = 101
    STOPPED = 102
    TASK_FAILED = 103
    FRAME_REFUSED = 104
    PACKET_REFUSED = 200
    REQUEST_REFUSED = 300
    ANNOUNCEMENT_REFUSED = 400
    UPSTREAM_ANNOUNCED = 401
    UPSTREAM_EJECTED = 402
    INTENT_RECEIVED = 500
    INTENT_REFUSED = 501
    PLAN_CONFIRMED = 502
    PLAN_DISCARDED = 503
    TOKEN_REFUSED = 504
    PLAN_MADE = 505
    OPERATOR_REQUEST_REFUSED = 506
    LEADER_ELECTED = 600
    STORAGE_OPENED = 601
    STORAGE_TAIL_CUT = 602
    STORAGE_FAILED = 603
    LEADER_STEPPED_DOWN = 604
    SNAPSHOT_SAVED = 605
    SNAPSHOT_INSTALLED = 606
    VOTERS_CHANGED = 607
    STORAGE_REPAIRED = 608
    VOTERS_FORMED_ANEW = 609
    SUPERSEDED = 610
    REVISION_APPLIED = 700
    LEASE_LOST = 701
    LEASE_GAINED = 702
    PEER_SUSPECTED = 703
    PEER_ALIVE = 704
