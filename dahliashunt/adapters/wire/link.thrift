// Frames between the system's own processes. One frame carries one
// message. Fields are only ever added, never renumbered or reused: a
// process skips what it does not know, so that versions can run mixed.

namespace py gen.link

enum Priority { ONLINE = 1, BATCH = 2 }

enum End { DONE = 1, NOT_RUN = 2, UNKNOWN = 3, FAILED = 4 }

struct LoadReport {
  1: i32 running_online;
  2: i32 running_batch;
  3: i32 waiting_online;
  4: i32 waiting_batch;
  5: i64 kv_used_tokens;
  6: i64 kv_total_tokens;
  7: double step_ms;
  8: i32 batch_room;        // batch items this endpoint would still take
  9: list<string> models;   // what the engine reports as loaded
  10: i64 age_ms;           // how old the engine's report is
  11: optional list<i64> cached_prefixes;
  12: optional list<string> versions;  // model@version, as loaded
  13: optional list<string> loading;   // model@version
  14: optional list<string> draining;  // models that get no new work
  15: optional list<string> busy;      // models with running streams
}

struct Hello {
  1: string node_id;
  2: i64 incarnation;       // a new number at each start of the process
  3: i32 version;           // LINK_VERSION
  4: string program_version;
  5: i64 revision;          // of the records in force there
  6: string data_centre;
  7: optional string endpoint_id;
  8: bool leaving;
  9: optional string service_name;   // name, if a plain service
  10: optional LoadReport load;
  11: optional string token;     // shared key, when links are not TLS
  12: optional i64 weight_bytes; // memory for weights at the endpoint
  13: optional i64 beat_every_ms; // how often an entry wants heartbeats
}

struct NodeRevision { 1: string node_id; 2: i64 revision; }

struct Heartbeat {
  1: i64 seq;
  2: i64 revision;
  3: bool leaving;
  4: optional LoadReport load;
  5: optional list<NodeRevision> lagging;  // linked entries behind this
}

struct Open {
  1: string attempt_id;
  2: string request_id;
  3: string caller;
  4: string model;
  5: Priority priority;
  6: string method;
  7: string path;
  8: binary body;
  9: bool idempotent;
  10: i64 timeout_ms;
  11: string fingerprint;
  12: i32 prompt_tokens;
  13: i32 max_tokens;
  14: bool alone;           // a suspect: runs alone on its endpoint
  15: i64 start_within_ms;  // refused as not run if not started by then
  16: optional map<string, string> headers;
  17: optional string job_id;
}

struct Chunk {
  1: string attempt_id;
  2: i32 offset;            // index of its first event in the answer
  3: i32 events;
  4: binary data;
  5: optional i32 status;   // with the first event, if not 200
  6: optional map<string, string> headers;  // with the first event
}

struct Outcome {
  1: string attempt_id;
  2: End end;
  3: i32 total_events;      // the answer is whole with exactly these
  4: optional string error_kind;
  5: optional string message;
  6: i64 retry_after_ms;
  7: i32 status;
  8: optional map<string, string> headers;
  9: bool crashed;          // the endpoint died while it ran this
  10: optional list<string> alongside;  // fingerprints in flight then
  11: optional LoadReport load;
}

struct Resume {             // answered by chunks from offset and outcome
  1: string attempt_id;
  2: i32 offset;
  3: i64 incarnation;       // of the agent that took the attempt
  4: optional Open opening; // without its body; for a replaced agent
}

struct Cancel { 1: string attempt_id; 2: optional string reason; }

struct Settled { 1: list<string> attempt_ids; }  // outcomes received

struct Leaving { 1: i64 within_ms; 2: string reason; }

struct RecordsWanted { 1: i64 have_revision; }

struct RecordsSnapshot {
  1: i64 revision;
  2: binary body;           // zlib-compressed canonical JSON
  3: optional i64 since;    // set if only what changed after it
}

struct Conviction { 1: string fingerprint; 2: i64 for_ms; }

struct Convictions {
  1: list<Conviction> convictions;
  2: optional list<string> suspects;  // seen in a crash, not yet convicted
}

enum OrderKind { LOAD = 1, DRAIN = 2, UNLOAD = 3 }

struct Order {
  1: i64 plan_token;        // of the planner's lease
  2: OrderKind kind;
  3: string model;
  4: string version;
  5: optional list<string> adapters;
}

struct Frame {
  1: optional Hello hello;
  2: optional Heartbeat heartbeat;
  3: optional Open open;
  4: optional Chunk chunk;
  5: optional Outcome outcome;
  6: optional Resume resume;
  7: optional Cancel cancel;
  8: optional Settled settled;
  9: optional Leaving leaving;
  10: optional RecordsWanted records_wanted;
  11: optional RecordsSnapshot records_snapshot;
  12: optional Convictions convictions;
  13: optional Order order;
}

// Datagrams between an entry and the agent that keeps the slots of one
// replica. One datagram holds one SlotFrame. They may be lost, doubled
// and reordered: each names its attempt, and repeats mean the same.

enum SlotUse { ONLINE = 1, BATCH = 2 }

enum SlotVerdict { GRANTED = 1, QUEUED = 2, FULL = 3, AWAY = 4 }

struct SlotState {
  1: i32 slots;             // what the replica runs at once
  2: i32 online;            // slots that online requests hold
  3: i32 batch;             // slots that batch items hold
  4: i32 waiting;           // online requests that wait for a slot
  5: i32 wait_ms;           // expected wait of one more online request
  6: bool away;             // the replica does not answer its agent
  7: optional string instance_id;
  // Unset fields are unknown.
  8: optional i32 token_us;           // a token of one running request
  9: optional double read_tokens_per_ms;
  10: optional i32 waiting_tokens;    // prompts of queued requests
  11: optional i32 free_tokens;       // memory that no request holds
  12: optional i64 born_ms;           // start of the replica
  13: optional i32 batch_room;        // slots that items may take now
}

struct SlotAsk {
  1: string attempt_id;
  2: SlotUse use;
  3: i32 wait_ms;           // how long the asker would wait for a slot
  4: i32 slack_ms;          // batch: how long until the item is due
  5: string run_id;         // how the replica lists the request
  6: optional i32 rank;     // 0 is the most urgent
  7: optional i64 workspace;      // digest of its name
  8: optional i32 prompt_tokens;
  9: optional i32 output_tokens;  // stated maximum
  10: optional bool idle_only;    // do not revoke a batch item for it
}

struct SlotAnswer {
  1: string attempt_id;
  2: SlotVerdict verdict;
  3: SlotState state;
  4: optional i32 wait_ms;        // of a refused request, by its own place
}

struct SlotHeld { 1: list<string> attempt_ids; }  // still running

struct SlotRelease { 1: string attempt_id; }

struct SlotRevoke { 1: string attempt_id; }       // make room: stop it

// Requests of a workspace that an entry let in, told to the agents that
// count them. Each report says the whole count, so that lost and doubled
// ones do no harm; a later one has a higher sequence.

struct UseReport {
  1: i64 workspace;         // digest of its name
  2: i32 life;              // of the count: another one after a restart
  3: i32 sequence;
  4: i64 total;             // let in since the count's start
  5: i64 since;             // of them this agent is known to have counted
  6: i32 wanted;            // let in only if the agent grants them
  7: double rate;           // requests a second
  8: double room;           // requests at once
  9: i64 revision;          // of the configuration that says so
}

struct UseLimit { 1: double rate; 2: double room; 3: i64 revision; }

struct UseReading {
  1: i64 workspace;
  2: i32 life;
  3: i32 sequence;          // of the report
  4: i64 counted;
  5: double level;          // of all entries, less what the rate has paid
  6: bool mature;           // has counted for a whole window
  7: i32 granted;
  8: i32 wait_ms;           // until the first one of the others would pass
  9: i32 entries;           // known to the agent
  10: optional UseLimit newer;  // the report's limit was an older one
}

// Where streams began, told to the agents whose hosts a hash of the stream
// selects, and asked of them by an entry that takes a stream up.

struct StreamNote {
  1: i64 stream;            // digest of the request that began it
  2: i32 origin;            // digest of service and software version
}

struct StreamQuery { 1: i64 stream; }

struct StreamReply {
  1: i64 stream;
  2: optional i32 origin;   // missing: the agent has no note of the stream
}

struct SlotFrame {
  1: optional SlotAsk ask;
  2: optional SlotAnswer answer;
  3: optional SlotHeld held;
  4: optional SlotRelease release;
  5: optional SlotRevoke revoke;
  6: optional SlotState state;
  7: optional UseReport use_report;
  8: optional UseReading use_reading;
  9: optional StreamNote stream_note;
  10: optional StreamQuery stream_query;
  11: optional StreamReply stream_reply;
}
