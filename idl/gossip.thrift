/* What hosts tell one another: small beats in datagrams, and their whole state.
 *
 * Regenerate with:
 *   thrift --gen py:slots -out src/rudderpass/gossip/_gen idl/gossip.thrift
 */
namespace py wire

/* Work that the sender has under way at one upstream. */
struct UpstreamLoad {
  1: string upstream
  2: i32 running
  3: i32 unread_tokens
  4: i32 tight_percent
  5: optional list<i32> ranks /* requests to an engine by rank, the most urgent first */
  6: optional list<i32> unread_blocks /* their unread tokens by rank, in blocks of 256 */
}

struct PromptPart {
  1: string part
  2: i32 tokens
}

/* A prompt that the sender sent to an upstream since its last beat. */
struct SentPrompt {
  1: string upstream
  2: list<PromptPart> parts
}

/* A whole stream that the sender passed on. Times are microseconds. */
struct StreamSample {
  1: string upstream
  2: i32 pace_us
  3: i32 longest_pause_us
}

/* Prompt tokens a second that the sender gives a service's engines to read. */
struct ServiceReading {
  1: string pool
  2: i32 tight /* for streams that bear no pause */
  3: i32 other
}

/* One host of an availability zone, as a relay of the zone heard it. */
struct Member {
  1: i64 address /* IPv4 address and port, as one number of 48 bits */
  2: i32 number /* of its newest beat that the digest's sums hold */
  3: i32 age_ms
  4: i64 config_offset
  5: i64 upstreams_end
  6: optional bool stopping
  7: optional bool warm
  8: optional bool following
  9: optional i32 link_mbps
  10: optional i64 era /* absent: as in the beat; -1: not known */
  11: optional i64 config_version /* likewise */
}

struct ZoneMembers {
  1: string zone
  2: list<Member> members
}

/* What a relay sums up of other hosts: of its zone for relays of other zones, of all
 * zones for the hosts of its own. */
struct Digest {
  1: bool whole /* of all zones */
  2: list<ZoneMembers> zones
  3: list<UpstreamLoad> loads
  4: list<ServiceReading> reading
}

/* An upstream that crashed while a request was under way there. */
struct Crash {
  1: string upstream
  2: i32 sent_ms /* ago */
  3: i32 age_ms
  4: optional bool silent /* the request had not been answered a byte */
  5: optional list<i64> requests /* for a prompt part: digests of requests with it */
}

/* A request under which upstreams crashed. */
struct Suspect {
  1: binary fingerprint
  2: optional string team
  3: list<Crash> crashes
  4: optional i32 served_ms /* since it was last answered whole */
  5: optional i32 trial_ms /* since a copy was sent on trial */
  6: optional string part /* of prompts; absent for a request */
}

/* A rate limit reported by an upstream. */
struct RateLimit {
  1: string upstream
  2: i32 age_ms /* since a host received the limit, or its removal */
  3: optional double rate /* requests per second; absent if the limit was removed */
}

/* The upstreams of a service fall over if they reject too many requests in a second. */
struct Brittle {
  1: string pool
  2: i32 max_rejections /* in a second, at each upstream */
  3: i32 age_ms /* since a host received the report */
}

/* What the platform's log says at one position about the evacuation of a zone. */
struct Evacuation {
  1: string zone
  2: i64 offset
  3: i64 era
  4: bool active /* false: it has ended */
  5: optional i32 ended_ms /* since a host learned the end */
}

/* A software version of which a service has, or recently had, upstreams. */
struct ServiceVersion {
  1: string pool
  2: string version
  3: i32 age_ms /* since an upstream of it was listed */
}

/* What a host keeps of itself in the platform's log, under its address. */
struct HostRecord {
  1: string zone
  2: list<Suspect> quarantined /* as of the time of writing */
  3: i64 written_ms /* Unix time */
  4: optional list<ServiceVersion> versions /* of services that have several */
}

/* Requests that began to run within one window of the usage report, by team. */
struct WindowUsage {
  1: i64 window
  2: map<string, i32> counts
}

/* What one start of a host has counted for the usage reports, the newest windows. */
struct HostUsage {
  1: i64 started_ms /* Unix time of the start of the host */
  2: i64 closed_before /* the windows before this one are complete */
  3: list<WindowUsage> windows
}

/* Who holds the duties, in the platform's log; its era and place give the token. */
struct DutyHolder {
  1: string host
  2: string start
  3: optional i64 era /* of the store when it was written */
}

/* The usage reports that are settled, in the platform's log. */
struct SettledUsage {
  1: i64 next_window /* all windows before it are settled */
  2: list<WindowUsage> windows /* those that may not have reached the platform */
  3: optional i64 era /* of the store when it was written */
}

/* Offsets are those of the platform's log in one era; a later era is newer at any
 * offset. The sender is the datagram's source address. Field 1 was the sender's name. */
/* The software version that began a stream. */
struct StreamOrigin {
  1: binary key
  2: string version
  3: i32 left_ms /* for which the caller may resume the stream */
}

/* A datagram about streams that callers may resume; a tag byte goes before it. */
struct StreamOrigins {
  1: optional list<StreamOrigin> told
  2: optional list<binary> asked
  3: optional list<binary> unknown /* asked before, and not known to the sender */
}

/* The origins that a host keeps in the platform's log, under its address. */
struct ArchivedOrigins {
  1: list<StreamOrigin> origins /* as of the time of writing */
  2: i64 written_ms /* Unix time */
}

struct Beat {
  2: i64 config_offset
  3: i64 upstreams_end
  4: bool stopping
  5: optional list<UpstreamLoad> loads
  6: list<SentPrompt> prompts
  7: list<string> peers
  8: bool warm /* knows what the upstreams keep in their caches */
  9: bool following /* hears the platform's store by itself */
  10: optional list<StreamSample> streams /* those that ended since the last beat */
  11: optional list<ServiceReading> reading
  12: optional string zone /* the sender's availability zone */
  13: optional i32 number /* of the sender's beats */
  14: optional Digest digest
  15: optional i32 link_mbps /* of the sender's link, Mbit/s */
  16: optional list<Suspect> suspects
  17: optional i64 duty_token /* the newest that the sender knows */
  18: optional bool holds_duties
  19: optional i64 usage_settled /* the windows before it need not be told any more */
  20: optional HostUsage usage
  21: optional list<RateLimit> rate_limits
  22: optional list<string> leaving /* upstreams that reported that they are leaving */
  23: optional i64 era /* of the store, which rises when it comes back from a copy */
  24: optional i64 config_version /* of the configuration in force */
  25: optional list<Evacuation> evacuations /* the newest statement on each zone */
  26: optional map<string, i32> cold_ms /* for which upstreams stay cold, as their responses report */
  27: optional list<Brittle> brittle /* services with brittle upstreams, as their responses report */
  28: optional list<ServiceVersion> versions /* of services that have several */
  29: optional bool lacks_versions /* has not learned since its start which have ended */
}

/* All that the sender believes to be kept in caches. */
struct Prompts {
  1: list<SentPrompt> prompts
}

struct KeyedRecord {
  1: i64 offset
  2: string key
  3: binary value
}

struct State {
  1: optional KeyedRecord config
  2: list<KeyedRecord> upstreams
  3: i64 upstreams_end
  4: map<string, i32> ending_ms
  5: optional i64 changes_from /* upstreams holds only the changes from there on */
  6: optional i64 era /* in which upstreams_end is valid */
  7: optional map<string, i32> held_ms /* upstreams not to be used before */
}
