//! Whether a backend server takes requests: slow start, put aside, probed.

use std::time::Duration;

use daisy_model::Instant;

/// Failures in a row that put a backend server aside while its service is well.
const QUARANTINE_FAILURES: u32 = 3;
/// The same while many tries of the service fail, whichever backend server they are at.
const QUARANTINE_FAILURES_IN_OUTAGE: u32 = 12;
/// The share of failing tries that counts as many.
const OUTAGE_FAILURE_SHARE: f64 = 0.2;
/// Time aside before the first probe.
const FIRST_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The longest time between probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(10);
/// Good probes in a row that end a time aside.
const RECOVERY_PROBES: u32 = 3;
/// Over how long a new backend server's limit grows to its full size.
pub(crate) const SLOW_START_DURATION: Duration = Duration::from_secs(5);

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
pub(crate) struct ServiceCondition {
    /// Whether enough of them would be left.
    pub(crate) may_quarantine: bool,
    /// The share of the service's recent tries that failed.
    pub(crate) failure_share: f64,
}

/// Whether a backend server takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Health {
    /// It does.
    Ready {
        /// Failures in a row.
        consecutive_failures: u32,
    },
    /// It is new, or new again, and gets more and more.
    Starting {
        /// Since when.
        since: Instant,
        /// Failures in a row.
        consecutive_failures: u32,
    },
    /// It gets one request at a time, and none before `probe_at`.
    Quarantined {
        /// When the next probe may go.
        probe_at: Instant,
        /// Until the probe after that, if it is bad.
        probe_interval: Duration,
        /// Good probes in a row.
        good_probes: u32,
    },
}

impl Default for Health {
    fn default() -> Health {
        Health::Ready { consecutive_failures: 0 }
    }
}

impl Health {
    /// The limit of requests in flight at `now`, where `full_limit` is the limit in full.
    pub(crate) fn limit(self, full_limit: u32, now: Instant) -> u32 {
        match self {
            Health::Ready { .. } => full_limit,
            Health::Starting { since, .. } => {
                let share = now.since(since).as_secs_f64() / SLOW_START_DURATION.as_secs_f64();
                ((f64::from(full_limit) * share) as u32).clamp(1, full_limit.max(1))
            }
            Health::Quarantined { probe_at, .. } => u32::from(now >= probe_at),
        }
    }

    /// Whether only probes go there.
    pub(crate) fn is_quarantined(self) -> bool {
        matches!(self, Health::Quarantined { .. })
    }

    /// What stands after a try; `condition` says how the others of the service are.
    pub(crate) fn after_try(
        self,
        verdict: Verdict,
        condition: ServiceCondition,
        now: Instant,
    ) -> Health {
        match (self, verdict) {
            (Health::Ready { .. }, Verdict::Good) => Health::Ready { consecutive_failures: 0 },
            (Health::Starting { since, .. }, Verdict::Good) => {
                if now.since(since) >= SLOW_START_DURATION {
                    Health::Ready { consecutive_failures: 0 }
                } else {
                    Health::Starting { since, consecutive_failures: 0 }
                }
            }
            (Health::Ready { consecutive_failures }, _)
            | (Health::Starting { consecutive_failures, .. }, _) => {
                self.after_bad_try(consecutive_failures, verdict, condition, now)
            }
            (Health::Quarantined { probe_interval, good_probes, .. }, Verdict::Good) => {
                if good_probes + 1 >= RECOVERY_PROBES {
                    Health::Starting { since: now, consecutive_failures: 0 }
                } else {
                    Health::Quarantined {
                        probe_at: now,
                        probe_interval,
                        good_probes: good_probes + 1,
                    }
                }
            }
            (Health::Quarantined { probe_interval, .. }, _) => {
                let probe_interval = (probe_interval * 2).min(MAX_PROBE_INTERVAL);
                Health::Quarantined {
                    probe_at: now + probe_interval,
                    probe_interval,
                    good_probes: 0,
                }
            }
        }
    }

    fn after_bad_try(
        self,
        consecutive_failures: u32,
        verdict: Verdict,
        condition: ServiceCondition,
        now: Instant,
    ) -> Health {
        let consecutive_failures = if verdict == Verdict::Failed {
            consecutive_failures + 1
        } else {
            consecutive_failures
        };
        // Guards against half the capacity being put aside for a fault that is not the servers':
        // in a storm a few failures in a row happen to each of them.
        let threshold = if condition.failure_share > OUTAGE_FAILURE_SHARE {
            QUARANTINE_FAILURES_IN_OUTAGE
        } else {
            QUARANTINE_FAILURES
        };
        // Guards against a service without backend servers: a fault that all of them share, or
        // one of the network, would put the last one aside too and refuse every caller.
        if condition.may_quarantine
            && (verdict == Verdict::Slow || consecutive_failures >= threshold)
        {
            return Health::Quarantined {
                probe_at: now + FIRST_PROBE_INTERVAL,
                probe_interval: FIRST_PROBE_INTERVAL,
                good_probes: 0,
            };
        }
        match self {
            Health::Starting { since, .. } => Health::Starting { since, consecutive_failures },
            _ => Health::Ready { consecutive_failures },
        }
    }
}
