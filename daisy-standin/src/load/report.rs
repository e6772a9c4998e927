//! The report on all calls of a load.

use std::{fmt, time::Duration};

use daisy_history::CallOutcome;
use hdrhistogram::Histogram;

/// The result of one call, including all its attempts.
#[derive(Debug)]
pub(super) struct CallResult {
    pub(super) outcome: CallOutcome,
    pub(super) has_own_answer: bool,
    pub(super) latency: Duration,
    pub(super) attempts: u32,
}

/// The report on all calls. The counts of answered, wrong, refused and unknown calls add up to
/// `requests`.
#[derive(Debug, Clone)]
pub struct Report {
    /// Number of calls made.
    pub requests: u64,
    /// Number of calls that received their own complete answer.
    pub answered: u64,
    /// Number of calls that received a wrong answer: one of another call or an incomplete one.
    pub wrong: u64,
    /// Number of calls of which each attempt was refused as not run or could not be sent.
    pub refused: u64,
    /// Number of calls that received no answer and of which at least one attempt may have run.
    pub unknown: u64,
    /// Number of attempts beyond the first of each call.
    pub retries: u64,
    /// Latencies of answered calls in microseconds, from when they were due.
    pub latency: Histogram<u64>,
}

const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

impl Report {
    pub(super) fn new() -> Report {
        Report {
            requests: 0,
            answered: 0,
            wrong: 0,
            refused: 0,
            unknown: 0,
            retries: 0,
            latency: Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("constant bounds are valid"),
        }
    }

    pub(super) fn add(&mut self, result: CallResult) {
        self.requests += 1;
        self.retries += u64::from(result.attempts.saturating_sub(1));
        match result.outcome {
            CallOutcome::Answered if result.has_own_answer => {
                self.answered += 1;
                self.latency.saturating_record(result.latency.as_micros() as u64);
            }
            CallOutcome::Answered => self.wrong += 1,
            CallOutcome::NotRun | CallOutcome::Unreachable => self.refused += 1,
            CallOutcome::Unknown | CallOutcome::Broken => self.unknown += 1,
        }
    }

    /// Returns the given quantile of the latencies, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { requests, answered, wrong, refused, unknown, retries, .. } = self;
        writeln!(
            f,
            "latency_ms p50={:.1} p90={:.1} p99={:.1} p999={:.1} max={:.1}",
            self.latency_ms(0.5),
            self.latency_ms(0.9),
            self.latency_ms(0.99),
            self.latency_ms(0.999),
            self.latency.max() as f64 / 1000.0,
        )?;
        write!(
            f,
            "requests={requests} answered={answered} refused={refused} unknown={unknown} \
             wrong={wrong} retries={retries}"
        )
    }
}
