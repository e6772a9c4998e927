//! What the tasks of a process share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use daisy_model::Instant;
use daisy_workflow::{Event, Ledger, Queues, Record};
use tokio::sync::mpsc;

use crate::clock;

/// What this process knows.
#[derive(Debug, Default)]
pub(crate) struct Known {
    /// The fold of all records read so far.
    pub ledger: Ledger,
    /// The newest configuration, once one was read.
    pub queues: Option<Arc<Queues>>,
    /// When the topic of jobs was last read to its end.
    pub jobs_read_at: Option<Instant>,
    /// When the topic of progress was last read to its end, or written by this process.
    pub progress_read_at: Option<Instant>,
    /// Where events go while this process is the owner.
    pub owner: Option<mpsc::UnboundedSender<Event>>,
    /// Whether the process is about to stop.
    pub stopping: bool,
}

/// What this process knows, shared between its tasks.
#[derive(Debug, Clone, Default)]
pub(crate) struct Shared(Arc<Mutex<Known>>);

impl Shared {
    /// What is known; never held across a wait.
    pub fn lock(&self) -> MutexGuard<'_, Known> {
        // Whoever panicked left no half-made change: each is one call on the ledger.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Known {
    /// Takes a submission or cancellation in, and tells the owner if this process is it.
    pub fn job_record(&mut self, record: Record) {
        if let Some(tx) = &self.owner
            && tx.send(Event::Record(record.clone())).is_err()
        {
            self.owner = None;
        }
        self.ledger.fold(record);
    }

    /// Takes a configuration in unless a newer one is in force.
    pub fn configure(&mut self, queues: Queues) {
        if self.queues.as_ref().is_some_and(|it| it.version >= queues.version) {
            return;
        }
        log::info!("event=configured version={} queues={}", queues.version, queues.queues.len());
        let queues = Arc::new(queues);
        if let Some(tx) = &self.owner
            && tx.send(Event::Queues(queues.clone())).is_err()
        {
            self.owner = None;
        }
        self.queues = Some(queues);
    }

    /// Whether the topic of jobs was read to its end a short while ago, so that a job that is not
    /// known does not exist.
    pub fn is_fresh(&self) -> bool {
        /// Twice the longest wait for a new record, and a slow answer.
        const FRESH_MS: u128 = 2_600;
        self.jobs_read_at.is_some_and(|it| clock::now().since(it).as_millis() < FRESH_MS)
    }
}
