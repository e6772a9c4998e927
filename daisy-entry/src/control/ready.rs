//! Decides when this entry VM is ready for callers.

use std::time::Duration;

use daisy_model::{Instant, JobKind};
use daisy_routing::{KeyAnswer, KeyQuery};

use crate::{boundary::RequestSide, control::Control};

/// How long a process that is otherwise ready waits for the backend servers of services: several
/// heartbeats. After this time no entry VM in the data centre seems to know any, and the process
/// must become ready without them.
const REPLICAS_TIMEOUT: Duration = Duration::from_secs(3);

impl<R: RequestSide<KeyQuery, KeyAnswer>> Control<R> {
    /// Handles a change of whether the membership is ready for callers.
    pub(super) fn set_ready(&mut self, now: Instant, ready: bool) {
        self.ready_since = ready.then_some(now);
        self.routes_dirty = true;
        self.publish_readiness(now);
    }

    /// Publishes readiness once there is a backend server to send callers to; from then on the
    /// membership alone decides.
    ///
    /// Guard: a new process that reported ready as soon as it had read the log would reject all
    /// callers until a heartbeat brings the backend servers of services; during a rolling restart
    /// callers would see rejections at each step.
    pub(super) fn publish_readiness(&mut self, now: Instant) {
        let published = *self.out.ready.borrow();
        let ready = self.ready_since.is_some_and(|since| {
            published || self.is_any_backend_known() || now.since(since) >= REPLICAS_TIMEOUT
        });
        let next = self.state.next;
        self.out.ready.send_if_modified(|published| {
            let changed = *published != ready;
            if changed {
                log::info!("event=ready value={ready} next={next}");
            }
            *published = ready;
            changed
        });
    }

    /// Returns whether a backend server of any service is known, or there are no services.
    fn is_any_backend_known(&self) -> bool {
        let is_service = |open: u32, kind: JobKind| open > 0 && kind == JobKind::Service;
        let mut jobs = self.state.jobs.iter();
        let has_services = jobs.any(|(_, job)| is_service(job.open, job.spec.kind));
        !has_services || self.replicas.iter().any(|(_, known)| !known.all.is_empty())
    }
}
