//! Reports the end of a try exactly once, however its answer ends.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use daisy_model::Instant;
use daisy_routing::{TryId, TryOutcome, TryReport};
use tokio::time::Sleep;

use crate::proxy::{core::Core, pool::PooledConnection};

/// A try in progress; dropping it ends the try as cancelled.
///
/// Guards against a slot that is never released: a caller that disconnects, a hedge that loses and
/// an answer that is cut off all drop the guard, and each drop releases the slot.
#[derive(Debug)]
pub(super) struct TryGuard {
    core: Arc<Core>,
    try_id: TryId,
    ended: bool,
}

impl TryGuard {
    /// Creates a guard for the try `try_id`.
    pub(super) fn new(core: Arc<Core>, try_id: TryId) -> TryGuard {
        TryGuard { core, try_id, ended: false }
    }

    /// Reports to the router how the try ended.
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

/// Resources held while an answer's body arrives: the try and the connection.
#[derive(Debug)]
pub(super) struct AnswerGuard {
    guard: TryGuard,
    connection: Option<PooledConnection>,
    report: TryReport,
    deadline: Instant,
    timer: Option<Pin<Box<Sleep>>>,
}

impl AnswerGuard {
    /// Guards an answer whose head has arrived; `report` is sent to the router once the body is
    /// complete.
    pub(super) fn new(
        guard: TryGuard,
        connection: PooledConnection,
        report: TryReport,
        deadline: Instant,
    ) -> AnswerGuard {
        AnswerGuard { guard, connection: Some(connection), report, deadline, timer: None }
    }

    /// Counts received bytes of the body.
    pub(super) fn count(&mut self, bytes: usize) {
        self.report.bytes += bytes as u64;
    }

    /// Ends the try after a complete body: the connection may carry another request.
    pub(super) fn complete(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
        self.guard.end(self.report);
    }

    /// Ends the try after a body that was cut off: the connection is closed, so that no remainder
    /// of it reaches a later request.
    pub(super) fn broken(&mut self) {
        self.connection = None;
        self.guard.end(TryReport { outcome: TryOutcome::Broken, ..self.report });
    }

    /// Ready when the request's deadline has passed.
    pub(super) fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let at = self.guard.core.clock.timer_at(self.deadline);
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(at)));
        timer.as_mut().poll(cx)
    }
}
