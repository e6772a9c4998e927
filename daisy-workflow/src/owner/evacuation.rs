//! Keeps new tasks off the workers of evacuated data centres.
//!
//! Runs that are there continue: they end, or their jobs are cancelled. Moving long-running tasks
//! away would interrupt their service for about a second each and take capacity from the tasks
//! elsewhere, though nothing requires them to leave.

use std::{sync::Arc, time::Duration};

use daisy_model::Instant;

use super::{
    Owner,
    message::StopCause,
    worker::{StartState, StopState, WorkerKey},
};
use crate::Evacuations;

/// Maximum age of what is known of the operators' requests for placing a task by it. The operators'
/// records are read about once a second, and the platform allows starts in a data centre until 5 s
/// after the request to evacuate it.
const MAX_AGE: Duration = Duration::from_millis(3_000);
/// The same for sending a start: what [`MAX_AGE`] allows, and the time to record the start.
const MAX_AGE_AT_START: Duration = Duration::from_millis(3_400);

/// What an owner knows of the operators' requests to evacuate data centres.
///
/// Before the first read nothing is known, and after a while without a read any data centre may be
/// evacuated. Nothing is started then: an owner that cannot read the operators' records can hardly
/// record starts either.
#[derive(Debug, Clone, Default)]
pub(super) struct KnownEvacuations {
    evacuations: Arc<Evacuations>,
    /// When the operators' records were last read to their end.
    read_at: Option<Instant>,
}

impl KnownEvacuations {
    fn update(&mut self, read_at: Instant, evacuations: Arc<Evacuations>) {
        if self.read_at.is_none_or(|it| it <= read_at) {
            *self = KnownEvacuations { evacuations, read_at: Some(read_at) };
        }
    }

    /// Whether a task may be placed on a worker in a data centre.
    pub fn allows_placement(&self, now: Instant, data_centre: &str) -> bool {
        self.is_current(now, MAX_AGE) && !self.evacuations.contains(data_centre)
    }

    /// Whether a start may be sent to a worker in a data centre.
    pub fn allows_start(&self, now: Instant, data_centre: &str) -> bool {
        self.is_current(now, MAX_AGE_AT_START) && !self.evacuations.contains(data_centre)
    }

    fn is_current(&self, now: Instant, max_age: Duration) -> bool {
        self.read_at.is_some_and(|it| now.since(it) < max_age)
    }
}

impl Owner {
    /// Processes a read of the operators' requests that ended at `read_at`.
    pub(super) fn evacuations_read(&mut self, read_at: Instant, evacuations: Arc<Evacuations>) {
        let changed = self.evacuations.evacuations != evacuations;
        self.evacuations.update(read_at, evacuations);
        self.plan_due |= changed;
    }

    /// Stops the runs of unanswered starts on a worker whose data centre is evacuated: only an
    /// answered stop rules out that the worker starts them late.
    pub(super) fn stop_on_evacuated(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if !self.evacuations.evacuations.contains(&worker.data_centre) {
            return;
        }
        for it in &mut worker.tasks {
            let is_unanswered = matches!(it.start_state, StartState::Unanswered(_));
            if is_unanswered && it.stop_state == StopState::NotRequested {
                it.request_stop(now, StopCause::Evacuated);
            }
        }
    }
}
