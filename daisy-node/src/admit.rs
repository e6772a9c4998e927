//! Admission of long-running jobs by the VM that receives them.

use std::{sync::Arc, time::Duration};

use daisy_admission::{Decision, Request, Verdict};
use daisy_platform::{Guard, Topic};
use daisy_workflow::{JobId, JobKind, JobSpec, Record, Rejection, encode};

use crate::{
    clock,
    follow::CALL_TIMEOUT,
    shared::NodeState,
    submit::{Answer, Existence, Submissions},
};

/// The part of a long-running job that decides its admission.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    id: JobId,
    service: Arc<str>,
    cpu_milli: u64,
}

impl Candidate {
    /// Returns the candidate for a job whose admission is to be decided: one that runs until it is
    /// cancelled, of a queue that does not come before the protected finite work.
    pub fn try_new(
        id: JobId,
        spec: &JobSpec,
        protected_priority: Option<i32>,
    ) -> Option<Candidate> {
        let is_decided = spec.kind() == JobKind::LongRunning
            && !spec.timed
            && protected_priority.is_some_and(|it| spec.terms.priority >= it);
        let service = spec.terms.service.clone();
        is_decided.then(|| Candidate { id, service, cpu_milli: spec.long_running_cpu() })
    }

    fn request(&self) -> Request<'_, JobId> {
        Request { id: self.id, service: &self.service, cpu_milli: self.cpu_milli }
    }

    /// Records that this VM stored the job.
    pub fn accepted(&self, node: &mut NodeState) {
        node.admission.accepted(clock::now(), self.request());
    }
}

impl Submissions {
    /// Decides whether a long-running job is accepted; returns the answer to its caller if it is
    /// rejected. Nothing of a rejected job is stored but its place among the callers that return.
    pub(crate) async fn try_reject(&self, candidate: &Candidate) -> Option<Answer> {
        let retry_after = match self.decide(candidate).verdict {
            Verdict::Accept | Verdict::AcceptUnknown => return None,
            Verdict::Reject(it) => it,
        };
        // An earlier attempt, whose answer was lost, may have been stored by another VM.
        let id = candidate.id;
        match self.check_existence(id).await {
            Existence::DoesNotExist => {}
            Existence::Exists => {
                log::info!("event=submitted id={id} outcome=known");
                return Some(Answer::stored());
            }
            Existence::Unknown => return None,
        }
        self.remember(candidate, retry_after);
        Some(Answer::retry_in(retry_after, "the fleet has no capacity for this long-running job"))
    }

    fn decide(&self, candidate: &Candidate) -> Decision {
        let now = clock::now();
        let mut node = self.shared.lock();
        let fleet = node.directory.capacity(now, &candidate.service);
        let decision = node.admission.decide(now, candidate.request(), fleet);
        let callers_returning = node.admission.returning.len(now);
        drop(node);
        self.metrics.count_admission(&decision);
        let (outcome, retry_after) = match decision.verdict {
            Verdict::Accept => ("accepted", Duration::ZERO),
            Verdict::AcceptUnknown => ("accepted_unknown", Duration::ZERO),
            Verdict::Reject(it) => ("rejected", it),
        };
        let fleet = decision.fleet.unwrap_or_default();
        log::info!(
            "event=admission id={} outcome={outcome} cpu={} spare_cpu={} short_cpu={} \
             offered_cpu={} ahead_cpu={} unreported_cpu={} freed_cpu_per_s={} returning={} \
             report_age_ms={} retry_after_s={}",
            candidate.id,
            candidate.cpu_milli,
            fleet.plan.spare_cpu,
            fleet.plan.short_cpu,
            fleet.offered.cpu_milli,
            decision.ahead_cpu,
            decision.unreported_cpu,
            fleet.freed_cpu_per_s,
            callers_returning,
            fleet.age.as_millis(),
            retry_after.as_secs()
        );
        decision
    }

    /// Tells all VMs that the caller was rejected. If the record is lost, the caller has no place
    /// when it returns; nothing else depends on it.
    fn remember(&self, candidate: &Candidate, retry_after: Duration) {
        let Candidate { id, service, cpu_milli } = candidate.clone();
        let now = clock::now();
        self.shared.lock().admission.returning.rejected(now, id, &service, cpu_milli, retry_after);
        let record = encode(&Record::Rejected(id, Rejection { service, cpu_milli, retry_after }));
        let log_client = self.log_client.clone();
        tokio::spawn(async move {
            let records = [record];
            let append =
                log_client.append(Topic::States, &records, Guard::Unconditional, CALL_TIMEOUT);
            if let Err(e) = append.await {
                log::warn!("event=rejection_not_shared id={id} cause=\"{e}\"");
            }
        });
    }
}
