//! Names of the HTTP headers of `docs/PROTOCOL.md`.

/// The service that a request is for; callers set it, backend servers see it.
pub const SERVICE: &str = "daisy-service";
/// The request's id: 16 hexadecimal digits, set by the entry VM, echoed by backend servers
/// and shown to the caller.
pub const REQUEST_ID: &str = "daisy-request-id";
/// Milliseconds that the caller still waits, counted from when the entry VM reads the header.
pub const DEADLINE_MS: &str = "daisy-deadline-ms";
/// The key of a non-idempotent request: 1 to 64 visible ASCII characters.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Which attempt of a keyed request this is, from 1; absent means 1.
pub const ATTEMPT: &str = "daisy-attempt";
/// `critical`, `normal` or `low`; absent means `normal`.
pub const PRIORITY: &str = "daisy-priority";
/// In answers: `answered`, `not-run` or `outcome-unknown`.
pub const OUTCOME: &str = "daisy-outcome";
/// In answers of backend servers: requests in progress there.
pub const IN_FLIGHT: &str = "daisy-in-flight";
/// In answers of backend servers: `1` when the server is about to leave.
pub const LEAVING: &str = "daisy-leaving";
/// Tells the platform, workers and backend servers which process calls.
pub const FROM: &str = "daisy-from";
/// The id of an append to the platform's log: two numbers of 16 hexadecimal digits, `-` between.
pub const APPEND_ID: &str = "append-id";
/// Names the caller for fairness between callers; absent means its address.
pub const CALLER: &str = "daisy-caller";
/// In refusals: why, as one word of `docs/PROTOCOL.md`.
pub const REASON: &str = "daisy-reason";
/// In refusals: milliseconds after which to come again, finer than `retry-after`'s seconds.
pub const RETRY_AFTER_MS: &str = "daisy-retry-after-ms";
/// In answers to keyed requests: `1` when the answer is that of an earlier attempt.
pub const REPLAYED: &str = "daisy-replayed";
/// `log` asks that a keyed request is noted in the platform's log before it runs.
pub const AT_MOST_ONCE: &str = "daisy-at-most-once";
