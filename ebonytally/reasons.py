"""Why something was refused or retried; each value has a counter."""

import enum


class Refusal(enum.StrEnum):
    """Reasons for dropping a packet, frame, request or intent."""

    # Packets.
    PACKET_MALFORMED = "packet_malformed"
    PACKET_TRUNCATED = "packet_truncated"
    PACKET_LOOP = "packet_loop"
    PACKET_TTL = "packet_ttl"
    PACKET_UNKNOWN_ADDRESS = "packet_unknown_address"
    FLOW_NO_UPSTREAM = "flow_no_upstream"
    FLOW_LIMIT = "flow_limit"
    FLOW_DATA_CENTRE_OUT = "flow_data_centre_out"
    FLOW_UPSTREAM_GONE = "flow_upstream_gone"
    FLOW_KEEPER_UNREACHABLE = "flow_keeper_unreachable"
    FLOW_UPSTREAM_UNREACHABLE = "flow_upstream_unreachable"
    # Frames between entry VMs.
    FRAME_MALFORMED = "frame_malformed"
    FRAME_OVERSIZED = "frame_oversized"
    FRAME_UNAUTHENTIC = "frame_unauthentic"
    FRAME_UNKNOWN_PEER = "frame_unknown_peer"
    FRAME_VERSION = "frame_version"
    # Requests.
    REQUEST_MALFORMED = "request_malformed"
    REQUEST_OVERSIZED = "request_oversized"
    REQUEST_UNKNOWN_SERVICE = "request_unknown_service"
    REQUEST_NO_UPSTREAM = "request_no_upstream"
    REQUEST_QUEUE_FULL = "request_queue_full"
    REQUEST_DEADLINE = "request_deadline"
    REQUEST_UPSTREAM_SHED = "request_upstream_shed"
    REQUEST_STOPPING = "request_stopping"
    REQUEST_UNREACHABLE = "request_unreachable"
    REQUEST_RETRY_BUDGET = "request_retry_budget"
    REQUEST_ANSWER_BROKEN = "request_answer_broken"
    REQUEST_CANCELLED = "request_cancelled"
    KEY_MALFORMED = "key_malformed"
    KEY_CONTENT_DIFFERS = "key_content_differs"
    KEY_TOO_OLD = "key_too_old"
    KEY_IN_FUTURE = "key_in_future"
    KEY_STILL_RUNNING = "key_still_running"
    KEY_OUTCOME_UNKNOWN = "key_outcome_unknown"
    KEY_TABLE_FULL = "key_table_full"
    KEY_KEEPER_UNREACHABLE = "key_keeper_unreachable"
    # Announcements of upstreams.
    ANNOUNCEMENT_MALFORMED = "announcement_malformed"
    ANNOUNCEMENT_UNKNOWN_SERVICE = "announcement_unknown_service"
    ANNOUNCEMENT_WRONG_DATA_CENTRE = "announcement_wrong_data_centre"
    ANNOUNCEMENT_REPLAYED = "announcement_replayed"
    # Operators.
    OPERATOR_TOKEN = "operator_token"
    INTENT_MALFORMED = "intent_malformed"
    INTENT_ID_REUSED = "intent_id_reused"
    INTENT_NOT_POSSIBLE = "intent_not_possible"
    PLAN_UNKNOWN = "plan_unknown"
    PLAN_EXPIRED = "plan_expired"
    PLAN_DISCARDED = "plan_discarded"
    PLAN_BASIS_MOVED = "plan_basis_moved"
    NO_LEADER = "no_leader"
    NOT_LEADER = "not_leader"
    STORAGE_FULL = "storage_full"


class Retry(enum.StrEnum):
    """Reasons for trying again."""

    REQUEST_CONNECT_FAILED = "request_connect_failed"
    REQUEST_NOT_RUN = "request_not_run"
    REQUEST_IDEMPOTENT_LOST = "request_idempotent_lost"
    REQUEST_SILENT_CONNECTION = "request_silent_connection"
    KEY_CLAIM_LOST = "key_claim_lost"
    PROPOSAL_LEADER_CHANGED = "proposal_leader_changed"
    ANNOUNCEMENT_FORWARD = "announcement_forward"
    SPREAD_GAP = "spread_gap"
    PEER_SEND_FAILED = "peer_send_failed"
