// Messages between entry hosts.
namespace py sequoia_wire.peer_types

struct MemberRow {
  1: string name = '',
  2: string domain = '',
  3: string gossip = '',
  4: string peer = '',
  5: i64 incarnation = 0,
  6: i64 heartbeat = 0,
  7: i32 plan_number = 0,
  8: bool draining = false,
}

// Times are ages in milliseconds: clocks of hosts are never compared.
struct TargetRow {
  1: string name = '',
  2: i64 incarnation = 0,
  3: i32 version = 0,
  4: i32 loaded = 0,
  5: i32 running = 0,
  6: i32 waiting = 0,
  7: i32 slots = 0,
  8: bool leaving = false,
  9: i32 age_ms = 0,
  10: string role = 'both',
}

struct PoolRow {
  1: string pool = '',
  2: string domain = '',
  3: i32 slots = 0,
  4: i32 busy = 0,
  5: i32 age_ms = 0,
}

struct Gossip {
  1: string sender = '',
  2: list<MemberRow> members = [],
  3: list<TargetRow> targets = [],
  4: list<PoolRow> pools = [],
  5: i32 plan_number = 0,
  6: i32 plan_confirmed_age_ms = 0,
  // Heartbeats of the sender's failure domain: keys and, in the same order,
  // heartbeats.
  7: list<i32> beat_keys = [],
  8: list<i64> beats = [],
}

struct ForwardRequest {
  1: string request_id = '',
  2: string service_name = '',
  3: string caller = '',
  4: string label = '',
  5: string key = '',
  6: i32 deadline_ms = 0,
  7: i32 priority = 0,
  8: string path = '',
  9: binary body = '',
  10: i32 plan_number = 0,
  11: i32 resume_from = 0,
  12: string pool = '',
  13: string kind = '',
  14: bool idempotent = false,
  15: i32 max_attempts = 0,
  16: string affinity = '',
  17: i32 min_version = 0,
}

struct PlanRequest {
  1: i32 above = 0,
}

// The first frame of a connection from a client.
struct PeerRequest {
  1: optional ForwardRequest forward,
  2: optional PlanRequest plan,
  // Failure domain of the host that asks.
  3: string origin_domain = '',
}

struct HeaderRow {
  1: string name = '',
  2: string text = '',
}

struct AnswerStart {
  1: i32 status = 0,
  2: list<HeaderRow> headers = [],
}

struct AnswerEnd {
  1: string code = '',
  2: string verdict = '',
  3: string detail = '',
  4: i32 retry_after_ms = 0,
}

struct PlanCopy {
  1: i32 number = 0,
  2: string text = '',
  3: i32 confirmed_age_ms = 0,
}

// A frame of an answer: exactly one field is set.
struct PeerAnswer {
  1: optional AnswerStart start,
  2: optional binary chunk,
  3: optional AnswerEnd end,
  4: optional PlanCopy plan,
}
