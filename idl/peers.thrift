/* Messages between rudderpass nodes.
 *
 * Regenerate with:
 *   thrift --gen py:slots -out src/rudderpass/peers/_gen idl/peers.thrift
 */
namespace py wire

/* Ages are relative to the moment of sending, because hosts share no clock. Small
 * integers are short in the compact protocol, and fields at zero are left out. */
struct Reserve {
  1: string request_id
  2: string pool
  3: string service_class
  4: i32 tier
  5: string team
  6: i32 age_ms
  7: i32 target_ms
  8: i32 max_wait_ms
  9: i32 expected_tokens
  10: i64 prefix_hash
  11: list<string> upstreams /* left out: all of the pool */
  12: string zone
  13: bool resumed
  14: i32 floor_ppm
  15: i32 gap_us
}

struct Cancel {
  1: string request_id
  2: string pool
}

struct Grant {
  1: string request_id
  2: string pool
  3: string upstream
  4: i64 token
}

struct Shed {
  1: string request_id
  2: string pool
  3: string reason
  4: double retry_after
}

/* The owner has the reservation but no slot for it yet. */
struct Queued {
  1: string request_id
  2: string pool
}

struct Release {
  1: string request_id
  2: string pool
  3: string upstream
  4: i64 token
  5: i32 tokens
  6: i32 first_token_ms
  7: i32 duration_ms
  8: i32 ending
  9: string zone
}

/* Work that holds a slot. The tokens and their seconds show the upstream's speed
 * long before the work ends. */
struct Running {
  1: string request_id
  2: string upstream
  3: i64 token
  4: i32 tier
  5: i32 tokens
}

/* All that an entry node holds of one pool, sent at a fixed interval. */
struct Renew {
  1: string pool
  2: list<string> waiting
  3: list<Running> running
}

/* The owner asks for the reservations it does not know. */
struct Resend {
  1: string pool
  2: list<string> request_ids
}

struct Suspicion {
  1: string node
  2: double age
}

struct Probe {
  1: i64 config_version
  2: list<Suspicion> suspicions
  3: bool leaving
}

struct StateRequest {
  1: i64 config_version
}

struct StateReply {
  1: i64 config_version
  2: binary state
}

union Message {
  1: Reserve reserve
  2: Cancel cancel
  3: Grant grant
  4: Shed shed
  5: Release release
  6: Renew renew
  7: Resend resend
  8: Probe probe
  9: StateRequest state_request
  10: StateReply state_reply
  11: Queued queued
}

struct Batch {
  1: string sender
  2: i64 incarnation
  3: i64 sequence
  4: string recipient
  5: list<Message> messages
}

/* The payload is a Batch in the compact protocol; the MAC covers the payload. A
 * signed batch travels as a call, or alone in a datagram in the compact protocol. */
struct SignedBatch {
  1: binary payload
  2: binary mac
}

exception Rejected {
  1: string reason
}

service Peer {
  void deliver(1: SignedBatch batch) throws (1: Rejected rejected)
}
