//! When callers may come.

use std::time::Duration;

use daisy_model::{Instant, JobKind};
use daisy_routing::{KeyAnswer, KeyQuery};

use crate::{boundary::RequestSide, control::Control};

/// How long a process that could take callers waits to learn where services run: several
/// heartbeats. After that nobody in the data centre seems to know, and it has to go on.
const REPLICAS_TIMEOUT: Duration = Duration::from_secs(3);

impl<R: RequestSide<KeyQuery, KeyAnswer>> Control<R> {
    /// Takes in whether the membership is ready for callers.
    pub(super) fn set_ready(&mut self, now: Instant, ready: bool) {
        self.ready_since = ready.then_some(now);
        self.routes_dirty = true;
        self.publish_readiness(now);
    }

    /// Lets the balancer send callers once there is something to send them to; from then on
    /// the membership alone decides.
    ///
    /// Guard: a fresh process that shows itself ready when it has the log, and hears a heartbeat
    /// later where services run, refuses all callers in between; in a rolling restart they
    /// see refusals at each step.
    pub(super) fn publish_readiness(&mut self, now: Instant) {
        let shown = *self.out.ready.borrow();
        let ready = self.ready_since.is_some_and(|since| {
            shown || self.is_any_backend_known() || now.since(since) >= REPLICAS_TIMEOUT
        });
        let next = self.state.next;
        self.out.ready.send_if_modified(|shown| {
            let changed = *shown != ready;
            if changed {
                log::info!("event=ready value={ready} next={next}");
            }
            *shown = ready;
            changed
        });
    }

    /// Whether a backend server of any service is known, or there is no service at all.
    fn is_any_backend_known(&self) -> bool {
        let is_service = |open: u32, kind: JobKind| open > 0 && kind == JobKind::Service;
        let mut jobs = self.state.jobs.iter();
        let has_services = jobs.any(|(_, job)| is_service(job.open, job.spec.kind));
        !has_services || self.replicas.iter().any(|(_, known)| !known.all.is_empty())
    }
}
