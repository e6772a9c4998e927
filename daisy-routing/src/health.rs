//! Whether a backend server gets requests: slow start, quarantine and probes.

use std::time::Duration;

use daisy_model::Instant;

/// Consecutive failures after which a backend server is quarantined while its service is healthy.
const QUARANTINE_FAILURES: u32 = 3;
/// Consecutive failures after which a backend server is quarantined while many tries of the service
/// fail on whichever backend server.
const QUARANTINE_FAILURES_IN_OUTAGE: u32 = 12;
/// The share of failing tries of a service above which its failures are treated as widespread.
const OUTAGE_FAILURE_SHARE: f64 = 0.2;
/// Time between the start of a quarantine and the first probe.
const FIRST_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time between probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(10);
/// Consecutive good probes that end a quarantine.
const RECOVERY_PROBES: u32 = 3;
/// Time over which the limit of a new backend server grows to its full value.
pub(crate) const SLOW_START_DURATION: Duration = Duration::from_secs(5);

/// Assessment of a backend server by one try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TryAssessment {
    /// It answered as fast as the others.
    Good,
    /// It answered, but takes several times as long as the others.
    Slow,
    /// The try failed.
    Failed,
}

/// Condition of the service of a backend server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceCondition {
    /// Whether enough backend servers would be left if this one were quarantined.
    pub(crate) may_quarantine: bool,
    /// The share of the service's recent tries that failed.
    pub(crate) failure_share: f64,
}

/// Whether a backend server gets requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Health {
    /// It gets requests up to its full limit.
    Ready {
        /// Consecutive failures.
        consecutive_failures: u32,
    },
    /// It is new or has just left quarantine, and its limit grows gradually.
    Starting {
        /// When the slow start began.
        since: Instant,
        /// Consecutive failures.
        consecutive_failures: u32,
    },
    /// It gets one request at a time, as a probe, and none before `probe_at`.
    Quarantined {
        /// When the next probe may be sent.
        probe_at: Instant,
        /// The current interval between probes; doubled after a failed probe.
        probe_interval: Duration,
        /// Consecutive good probes.
        good_probes: u32,
    },
}

impl Default for Health {
    fn default() -> Health {
        Health::Ready { consecutive_failures: 0 }
    }
}

impl Health {
    /// Returns the limit of requests in flight at `now`, where `full_limit` applies without
    /// restrictions.
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

    /// Returns whether only probes are sent to the backend server.
    pub(crate) fn is_quarantined(self) -> bool {
        matches!(self, Health::Quarantined { .. })
    }

    /// Returns the health after a try; `condition` describes the service of the backend server.
    pub(crate) fn after_try(
        self,
        assessment: TryAssessment,
        condition: ServiceCondition,
        now: Instant,
    ) -> Health {
        match (self, assessment) {
            (Health::Ready { .. }, TryAssessment::Good) => {
                Health::Ready { consecutive_failures: 0 }
            }
            (Health::Starting { since, .. }, TryAssessment::Good) => {
                if now.since(since) >= SLOW_START_DURATION {
                    Health::Ready { consecutive_failures: 0 }
                } else {
                    Health::Starting { since, consecutive_failures: 0 }
                }
            }
            (Health::Ready { consecutive_failures }, _)
            | (Health::Starting { consecutive_failures, .. }, _) => {
                self.after_bad_try(consecutive_failures, assessment, condition, now)
            }
            (Health::Quarantined { probe_interval, good_probes, .. }, TryAssessment::Good) => {
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
        assessment: TryAssessment,
        condition: ServiceCondition,
        now: Instant,
    ) -> Health {
        let consecutive_failures = if assessment == TryAssessment::Failed {
            consecutive_failures + 1
        } else {
            consecutive_failures
        };
        // Prevents half of the capacity from being quarantined for a fault that is not caused by
        // the servers: during a widespread failure, each of them soon has a few consecutive
        // failures.
        let threshold = if condition.failure_share > OUTAGE_FAILURE_SHARE {
            QUARANTINE_FAILURES_IN_OUTAGE
        } else {
            QUARANTINE_FAILURES
        };
        // Prevents a service from losing all backend servers: a fault that all of them share, or
        // one of the network, would otherwise quarantine the last one too and reject every caller.
        if condition.may_quarantine
            && (assessment == TryAssessment::Slow || consecutive_failures >= threshold)
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
