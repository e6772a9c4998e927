//! Decides whether a long-running job is accepted.

use std::{sync::Arc, time::Duration};

use daisy_model::Instant;

use crate::{FleetCapacity, Returning};

/// Reports older than this decide nothing: owners report every 0.4 s, and a change of the owner
/// takes longer.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);
/// The time after which reports include a job that was accepted: it is read and its tasks are
/// assigned within 0.2 s, reported every 0.4 s and read 0.2 s later.
const REPORT_DELAY: Duration = Duration::from_millis(900);
/// The range of times after which callers are told to return. Most callers return four times, so
/// that a longer time would help few, and a shorter one would use up their attempts.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(2);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(6);

/// A long-running job that a caller submits.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a, K> {
    /// The job's id.
    pub id: K,
    /// The service whose workers would run it.
    pub service: &'a Arc<str>,
    /// What its tasks reserve, in thousandths of a core.
    pub cpu_milli: u64,
}

/// The outcome of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Finite work keeps the capacity that it needs.
    Accept,
    /// The capacity is not known, so that no rejection could be justified.
    AcceptUnknown,
    /// The job would take what finite work or earlier callers need; the caller should return after
    /// this time.
    Reject(Duration),
}

/// A decision with what decided it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// The outcome.
    pub verdict: Verdict,
    /// The capacity that was known, if it was recent enough to decide.
    pub fleet: Option<FleetCapacity>,
    /// What callers that were rejected earlier will ask for, in thousandths of a core.
    pub ahead_cpu: u64,
    /// What this VM accepted so recently that the reports do not include it.
    pub unreported_cpu: u64,
}

/// Decides on the long-running jobs that callers submit to this VM.
#[derive(Debug, Clone)]
pub struct Admission<K> {
    /// The callers that were told to return, by any VM.
    pub returning: Returning<K>,
    /// What this VM accepted recently: when, for which service, and how much.
    accepted: Vec<(Instant, Arc<str>, u64)>,
}

impl<K> Default for Admission<K> {
    fn default() -> Admission<K> {
        Admission { returning: Returning::default(), accepted: Vec::new() }
    }
}

impl<K: Copy + Eq> Admission<K> {
    /// Decides whether a job is accepted; `fleet` is what is known of the service's capacity.
    pub fn decide(
        &mut self,
        now: Instant,
        request: Request<'_, K>,
        fleet: Option<FleetCapacity>,
    ) -> Decision {
        self.accepted.retain(|(at, ..)| now.since(*at) < REPORT_DELAY);
        let fleet = fleet.filter(|it| it.age <= MAX_REPORT_AGE);
        let of_service = self.accepted.iter().filter(|(_, it, _)| it == request.service);
        let unreported_cpu: u64 = of_service.map(|(.., cpu)| *cpu).sum();
        let ahead_cpu = self.returning.cpu_ahead(now, request.id, request.service);
        let verdict = match fleet {
            None => Verdict::AcceptUnknown,
            // Without finite work, nothing is kept free for it.
            Some(it) if it.offered.cpu_milli == 0 => Verdict::Accept,
            Some(it) => {
                let asked = request.cpu_milli + ahead_cpu + unreported_cpu + it.plan.short_cpu;
                match asked.checked_sub(it.plan.spare_cpu).filter(|missing| *missing > 0) {
                    None => Verdict::Accept,
                    Some(missing) => Verdict::Reject(retry_after(missing, it.freed_cpu_per_s)),
                }
            }
        };
        Decision { verdict, fleet, ahead_cpu, unreported_cpu }
    }

    /// Records that this VM stored a job, which the reports do not include yet.
    pub fn accepted(&mut self, now: Instant, request: Request<'_, K>) {
        self.returning.accepted(request.id);
        self.accepted.push((now, request.service.clone(), request.cpu_milli));
    }
}

/// Returns after which time the capacity that is missing will have become free, in whole seconds.
fn retry_after(missing: u64, freed_per_s: u64) -> Duration {
    let seconds = missing.div_ceil(freed_per_s.max(1));
    Duration::from_secs(seconds).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
}
