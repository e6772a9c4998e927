//! Callers of long-running jobs, which are admitted or told when to return.

use std::{sync::Arc, time::Duration};

use daisy_admission::{Admission, CapacityReport, FleetCapacity, Request, Verdict};
use daisy_model::Instant;
use daisy_workflow::JobId;

use super::load::Arrival;

/// How often a caller returns before it gives up.
const MAX_RETURNS: u32 = 4;
/// Time until what the owners report is known to the VM that decides.
const REPORT_DELAY: Duration = Duration::from_millis(200);

/// A caller that was told to return.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    /// Position of its job in the load.
    arrival: usize,
    returns_at: Instant,
    returns: u32,
}

/// The callers of one run, and the VM that decides on their jobs.
#[derive(Debug, Default)]
pub struct Callers {
    admission: Admission<JobId>,
    /// The newest reports of all shards, and when they were made.
    reports: Vec<(Instant, CapacityReport)>,
    /// The reports before these, while the newest are on their way.
    known: Vec<(Instant, CapacityReport)>,
    waiting: Vec<Waiting>,
    /// The callers that have given up.
    pub given_up: usize,
}

impl Callers {
    /// Takes the reports that the owners have made now.
    pub fn reported(&mut self, reports: Vec<(Instant, CapacityReport)>) {
        self.known = std::mem::replace(&mut self.reports, reports);
    }

    /// Returns whether the job at position `arrival` of the load is accepted. If it is not, its
    /// caller returns later.
    pub fn admit(&mut self, now: Instant, arrival: usize, job: &Arrival) -> bool {
        self.decide(now, Waiting { arrival, returns_at: now, returns: 0 }, job)
    }

    /// Returns the positions of the jobs whose callers have returned and are accepted now.
    pub fn returned(&mut self, now: Instant, load: &[Arrival]) -> Vec<usize> {
        let due: Vec<Waiting> = self.waiting.extract_if(.., |it| it.returns_at <= now).collect();
        let mut accepted = Vec::new();
        for it in due {
            if self.decide(now, it, &load[it.arrival]) {
                accepted.push(it.arrival);
            }
        }
        accepted
    }

    fn decide(&mut self, now: Instant, caller: Waiting, job: &Arrival) -> bool {
        let service: Arc<str> = job.spec.terms.service.clone();
        let cpu_milli = job.spec.long_running_cpu();
        let request = Request { id: JobId(job.id), service: &service, cpu_milli };
        match self.admission.decide(now, request, self.fleet(now)).verdict {
            Verdict::Accept | Verdict::AcceptUnknown => {
                self.admission.accepted(now, request);
                true
            }
            Verdict::Reject(after) if caller.returns < MAX_RETURNS => {
                self.admission.returning.rejected(now, request.id, &service, cpu_milli, after);
                let (returns_at, returns) = (now + after, caller.returns + 1);
                self.waiting.push(Waiting { returns_at, returns, ..caller });
                false
            }
            Verdict::Reject(_) => {
                self.given_up += 1;
                false
            }
        }
    }

    /// Returns what the VM knows of the fleet's capacity.
    fn fleet(&self, now: Instant) -> Option<FleetCapacity> {
        let is_read = self.reports.iter().all(|(at, _)| now.since(*at) >= REPORT_DELAY);
        let known = if is_read { &self.reports } else { &self.known };
        let reports = known.iter().map(|(at, it)| Some((*at, it)));
        FleetCapacity::try_sum(now, reports).filter(|_| !known.is_empty())
    }
}
