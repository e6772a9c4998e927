//! Queries of jobs that have not ended: they are held until the states of jobs have been read.
//!
//! A VM reads the states of jobs with a pause after each read, so what it knows is up to a fifth of
//! a second old. Callers ask for a job's state when its last task has ended; an old answer would
//! make them ask again, long after the end is published.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use daisy_workflow::{JobId, JobState};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep, timeout_at},
};

use crate::shared::Shared;

/// The queries that this process holds, shared between its tasks.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeldQueries(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    held: AtomicUsize,
    /// Notified when a query is held.
    query_held: Notify,
    /// The number of reads of the states of jobs.
    reads: watch::Sender<u64>,
}

/// Counts a query as held until it is dropped, as when the caller closes the connection.
struct HeldQuery<'a>(&'a Inner);

impl Drop for HeldQuery<'_> {
    fn drop(&mut self) {
        self.0.held.fetch_sub(1, Ordering::Relaxed);
    }
}

impl HeldQueries {
    /// Returns the state of a job once it has ended, or what is known of it after `hold`.
    pub async fn wait_for_end(
        &self,
        shared: &Shared,
        id: JobId,
        hold: Duration,
    ) -> Option<JobState> {
        let deadline = Instant::now() + hold;
        let mut reads = self.0.reads.subscribe();
        self.0.held.fetch_add(1, Ordering::Relaxed);
        let _held = HeldQuery(&self.0);
        self.0.query_held.notify_one();
        loop {
            let state = shared.lock().job_state(id);
            let has_ended = state.is_none_or(JobState::is_ended);
            if has_ended || !matches!(timeout_at(deadline, reads.changed()).await, Ok(Ok(()))) {
                return state;
            }
        }
    }

    /// Tells the held queries that the states of jobs were read.
    pub fn states_read(&self) {
        self.0.reads.send_modify(|it| *it += 1);
    }

    /// Waits between two reads: for `shortest`, and up to `longest` while no query is held.
    pub async fn pause(&self, shortest: Duration, longest: Duration) {
        sleep(shortest).await;
        let rest = longest.saturating_sub(shortest);
        if self.0.held.load(Ordering::Relaxed) == 0 && !rest.is_zero() {
            tokio::select! {
                () = sleep(rest) => {}
                () = self.0.query_held.notified() => {}
            }
        }
    }
}
