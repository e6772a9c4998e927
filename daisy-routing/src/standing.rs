//! Whether a backend server takes requests: slow start, put aside, probed.

use std::time::Duration;

use daisy_model::Instant;

/// Failures in a row that put a backend server aside while its service is well.
const FAILURES: u32 = 3;
/// The same while many tries of the service fail, whichever backend server they are at.
const FAILURES_IN_STORM: u32 = 12;
/// The share of failing tries that counts as many.
const STORM: f64 = 0.2;
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

/// How the other backend servers of a service are.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Company {
    /// Whether enough of them would be left.
    pub(crate) may_spare: bool,
    /// The share of the service's recent tries that failed.
    pub(crate) failing: f64,
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

    /// What stands after a try; `company` says how the others of the service are.
    pub(crate) fn after(self, verdict: Verdict, company: Company, now: Instant) -> Standing {
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
                self.after_bad(failures, verdict, company, now)
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

    fn after_bad(
        self,
        failures: u32,
        verdict: Verdict,
        company: Company,
        now: Instant,
    ) -> Standing {
        let failures = if verdict == Verdict::Failed { failures + 1 } else { failures };
        // Guards against half the capacity being put aside for a fault that is not the servers':
        // in a storm a few failures in a row happen to each of them.
        let many = if company.failing > STORM { FAILURES_IN_STORM } else { FAILURES };
        // Guards against a service without backend servers: a fault that all of them share, or
        // one of the network, would put the last one aside too and refuse every caller.
        if company.may_spare && (verdict == Verdict::Slow || failures >= many) {
            return Standing::Aside { probe_at: now + FIRST_PAUSE, pause: FIRST_PAUSE, good: 0 };
        }
        match self {
            Standing::Starting { since, .. } => Standing::Starting { since, failures },
            _ => Standing::Ready { failures },
        }
    }
}
