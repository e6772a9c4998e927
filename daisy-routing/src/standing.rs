//! Whether a backend server takes requests: slow start, put aside, probed.

use std::time::Duration;

use daisy_model::Instant;

/// Failures in a row that put a backend server aside.
const FAILURES: u32 = 3;
/// Time aside before the first probe.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The longest time between probes.
const MAX_PAUSE: Duration = Duration::from_secs(10);
/// Good probes in a row that end a time aside.
const GOOD_PROBES: u32 = 3;
/// Over how long a new backend server's limit grows to its full size.
pub(crate) const SLOW_START: Duration = Duration::from_secs(5);

/// How a try speaks for its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It answered as fast as others do.
    Good,
    /// It answers, but takes several times as long as others do.
    Slow,
    /// It failed.
    Failed,
}

/// Whether a backend server takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It does.
    Ready {
        /// Failures in a row.
        failures: u32,
    },
    /// It is new, or new again, and gets more and more.
    Starting {
        /// Since when.
        since: Instant,
        /// Failures in a row.
        failures: u32,
    },
    /// It gets one request at a time, and none before `probe_at`.
    Aside {
        /// When the next probe may go.
        probe_at: Instant,
        /// Until the probe after that, if it is bad.
        pause: Duration,
        /// Good probes in a row.
        good: u32,
    },
}

impl Default for Standing {
    fn default() -> Standing {
        Standing::Ready { failures: 0 }
    }
}

impl Standing {
    /// The limit of requests in flight at `now`, where `full` is the limit in full.
    pub(crate) fn limit(self, full: u32, now: Instant) -> u32 {
        match self {
            Standing::Ready { .. } => full,
            Standing::Starting { since, .. } => {
                let share = now.since(since).as_secs_f64() / SLOW_START.as_secs_f64();
                ((f64::from(full) * share) as u32).clamp(1, full.max(1))
            }
            Standing::Aside { probe_at, .. } => u32::from(now >= probe_at),
        }
    }

    /// Whether only probes go there.
    pub(crate) fn is_aside(self) -> bool {
        matches!(self, Standing::Aside { .. })
    }

    /// What stands after a try; `may_aside` says whether enough others would be left.
    pub(crate) fn after(self, verdict: Verdict, may_aside: bool, now: Instant) -> Standing {
        match (self, verdict) {
            (Standing::Ready { .. }, Verdict::Good) => Standing::Ready { failures: 0 },
            (Standing::Starting { since, .. }, Verdict::Good) => {
                if now.since(since) >= SLOW_START {
                    Standing::Ready { failures: 0 }
                } else {
                    Standing::Starting { since, failures: 0 }
                }
            }
            (Standing::Ready { failures }, _) | (Standing::Starting { failures, .. }, _) => {
                self.after_bad(failures, verdict, may_aside, now)
            }
            (Standing::Aside { pause, good, .. }, Verdict::Good) => {
                if good + 1 >= GOOD_PROBES {
                    Standing::Starting { since: now, failures: 0 }
                } else {
                    Standing::Aside { probe_at: now, pause, good: good + 1 }
                }
            }
            (Standing::Aside { pause, .. }, _) => {
                let pause = (pause * 2).min(MAX_PAUSE);
                Standing::Aside { probe_at: now + pause, pause, good: 0 }
            }
        }
    }

    fn after_bad(self, failures: u32, verdict: Verdict, may_aside: bool, now: Instant) -> Standing {
        let failures = if verdict == Verdict::Failed { failures + 1 } else { failures };
        // Guards against a service without backend servers: a fault that all of them share, or
        // one of the network, would put the last one aside too and refuse every caller.
        if may_aside && (verdict == Verdict::Slow || failures >= FAILURES) {
            return Standing::Aside { probe_at: now + FIRST_PAUSE, pause: FIRST_PAUSE, good: 0 };
        }
        match self {
            Standing::Starting { since, .. } => Standing::Starting { since, failures },
            _ => Standing::Ready { failures },
        }
    }
}
