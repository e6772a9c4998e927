//! Ends a try exactly once, however its answer ends.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use daisy_model::Instant;
use daisy_routing::{TryId, TryOutcome, TryReport};
use tokio::time::Sleep;

use crate::proxy::{core::Core, pool::Lease};

/// A try that has not ended; dropped, it counts as cancelled.
///
/// Guards against a slot that stays taken for ever: a caller that leaves, a hedge that loses and
/// an answer that breaks off all drop the guard, and each such drop frees the slot.
#[derive(Debug)]
pub(super) struct TryGuard {
    core: Arc<Core>,
    try_id: TryId,
    ended: bool,
}

impl TryGuard {
    /// Guards `try_id`.
    pub(super) fn new(core: Arc<Core>, try_id: TryId) -> TryGuard {
        TryGuard { core, try_id, ended: false }
    }

    /// Tells the router how the try ended.
    pub(super) fn end(&mut self, report: TryReport) {
        if !std::mem::replace(&mut self.ended, true) {
            self.core.finish(self.try_id, report);
        }
    }
}

impl Drop for TryGuard {
    fn drop(&mut self) {
        self.end(TryReport::without_answer(TryOutcome::Cancelled));
    }
}

/// What is held while an answer's body comes: the try and the connection.
#[derive(Debug)]
pub(super) struct AnswerGuard {
    guard: TryGuard,
    lease: Option<Lease>,
    report: TryReport,
    deadline: Instant,
    timer: Option<Pin<Box<Sleep>>>,
}

impl AnswerGuard {
    /// Guards an answer whose head has come; `report` is told once the body is whole.
    pub(super) fn new(
        guard: TryGuard,
        lease: Lease,
        report: TryReport,
        deadline: Instant,
    ) -> AnswerGuard {
        AnswerGuard { guard, lease: Some(lease), report, deadline, timer: None }
    }

    /// Bytes of the body have come.
    pub(super) fn count(&mut self, bytes: usize) {
        self.report.bytes += bytes as u64;
    }

    /// The body is whole: the connection may carry another request.
    pub(super) fn complete(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.release();
        }
        self.guard.end(self.report);
    }

    /// The body broke off: the connection is closed, so that nothing of it reaches a later request.
    pub(super) fn broken(&mut self) {
        self.lease = None;
        self.guard.end(TryReport { end: TryOutcome::Broken, ..self.report });
    }

    /// Ready when the request's deadline has passed.
    pub(super) fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let at = self.guard.core.clock.timer_at(self.deadline);
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(at)));
        timer.as_mut().poll(cx)
    }
}
