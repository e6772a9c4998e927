//! Names of the HTTP headers that `docs/PROTOCOL.md` specifies.

/// The service that a request is for: set by callers and passed on to backend servers.
pub const SERVICE: &str = "daisy-service";
/// The request's id of 16 hexadecimal digits: set by the entry VM, echoed by backend servers,
/// and returned to the caller.
pub const REQUEST_ID: &str = "daisy-request-id";
/// The time that the caller still waits, in milliseconds from when the entry VM reads the
/// header.
pub const DEADLINE_MS: &str = "daisy-deadline-ms";
/// The key of a non-idempotent request: 1 to 64 visible ASCII characters.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The number of this attempt of a keyed request, from 1; absent means 1.
pub const ATTEMPT: &str = "daisy-attempt";
/// The request's priority: `critical`, `normal` or `low`; absent means `normal`.
pub const PRIORITY: &str = "daisy-priority";
/// In responses: what became of the request (`answered`, `not-run` or `outcome-unknown`).
pub const OUTCOME: &str = "daisy-outcome";
/// In responses of backend servers: the number of requests in progress there.
pub const IN_FLIGHT: &str = "daisy-in-flight";
/// In responses of backend servers: `1` if the server is about to stop.
pub const LEAVING: &str = "daisy-leaving";
/// Names the calling process to the platform, workers and backend servers.
pub const FROM: &str = "daisy-from";
/// The id of an append to the platform's log: two numbers of 16 hexadecimal digits each, joined
/// by `-`.
pub const APPEND_ID: &str = "append-id";
/// Names the caller for fairness between callers; if absent, the caller's address is used.
pub const CALLER: &str = "daisy-caller";
/// In rejections: the reason, one of the words that `docs/PROTOCOL.md` lists.
pub const REASON: &str = "daisy-reason";
/// In rejections: the milliseconds to wait before a retry; finer than the seconds of
/// `retry-after`.
pub const RETRY_AFTER_MS: &str = "daisy-retry-after-ms";
/// In responses to keyed requests: `1` if the response is that of an earlier attempt.
pub const REPLAYED: &str = "daisy-replayed";
/// With the value `log`, the keyed request is recorded in the platform's log before it runs.
pub const AT_MOST_ONCE: &str = "daisy-at-most-once";
