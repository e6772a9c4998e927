//! The state that the tasks of a process share.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisy_admission::Admission;
use daisy_model::{Instant, SortedMap};
use daisy_workflow::{
    Directory, Evacuations, Event, JobId, JobState, LogReachability, LogRtt, QueueConfig, Record,
    ShardId,
};
use tokio::sync::mpsc;

use crate::{clock, suspension::Suspension};

/// How long a job that this process stored is treated as queued while its owner has not published
/// its state: as long as a change of the owner may take.
const ACCEPTED_JOB_RETENTION: Duration = Duration::from_secs(10);

/// The state of this process.
#[derive(Debug, Default)]
pub(crate) struct NodeState {
    /// The fold of the records of [`Topic::States`](daisy_platform::Topic::States).
    pub directory: Directory,
    /// The newest configuration, once one has been read.
    pub queues: Option<Arc<QueueConfig>>,
    /// The operators' requests to evacuate data centres, and when they were last read to their end.
    evacuations: Option<(Instant, Arc<Evacuations>)>,
    /// The time at which the topic of states was last read to its end, and the offset of that end.
    pub states_caught_up: Option<(Instant, u64)>,
    /// When the read was requested that last reached the end of the topic of states.
    pub states_requested_at: Option<Instant>,
    pub suspension: Suspension,
    /// The distance to the log, estimated by the reads of the topic of states.
    pub log_rtt: LogRtt,
    /// The reachability of the log, judged by the reads of the topic of states.
    pub states_reachability: LogReachability,
    /// Decides on long-running jobs.
    pub admission: Admission<JobId>,
    /// The number of claims that this process has begun and not ended.
    claims_in_progress: u32,
    /// Jobs whose submissions this process stored, and when.
    accepted_jobs: SortedMap<JobId, Instant>,
    /// The event channels of the owners of the shards that this process owns.
    owner_events: SortedMap<ShardId, mpsc::UnboundedSender<Event>>,
    /// When the last join of the data centre's group that was answered was sent; `None` if this VM
    /// joins none.
    pub joined_at: Option<Instant>,
    /// Whether a planned stop has begun.
    pub is_stopping: bool,
}

/// The state of this process, shared between its tasks.
#[derive(Debug, Clone, Default)]
pub(crate) struct Shared(Arc<Mutex<NodeState>>);

impl Shared {
    /// Locks the state. The guard must not be held across an `await`.
    pub fn lock(&self) -> MutexGuard<'_, NodeState> {
        // A panic leaves no partial change behind, as each change is one call on the directory.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl NodeState {
    /// Handles a submission or cancellation that this process has appended to the log. If this
    /// process also owns the job's shard, the owner gets the record before it reads it from the
    /// log.
    pub fn handle_appended(&mut self, record: Record) {
        let now = clock::now();
        let (Record::Submitted(id, _) | Record::Cancelled(id)) = &record else { return };
        let id = *id;
        if matches!(record, Record::Submitted(..)) {
            self.accepted_jobs.retain(|_, at| now.since(*at) < ACCEPTED_JOB_RETENTION);
            self.accepted_jobs.insert(id, now);
        }
        let Some(layout) = self.directory.layout() else { return };
        self.send_to_owner(layout.shard_of_job(id), record);
    }

    /// Sends a record that was appended to the jobs of `shard` to the shard's owner, if this
    /// process runs that owner.
    pub fn send_to_owner(&mut self, shard: ShardId, record: Record) {
        if let Some(tx) = self.owner_events.get(&shard)
            && tx.send(Event::Record(record)).is_err()
        {
            self.owner_events.remove(&shard);
        }
    }

    /// Returns the state of a job, if this process knows it.
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        let queued = self.accepted_jobs.get(&id).map(|_| JobState::Queued);
        self.directory.state(id).map(|it| it.state).or(queued)
    }

    /// Applies a configuration unless the current one is as new or newer.
    pub fn apply_configuration(&mut self, queues: QueueConfig) {
        if self.queues.as_ref().is_some_and(|it| it.version >= queues.version) {
            return;
        }
        log::info!("event=configured version={} queues={}", queues.version, queues.queues.len());
        let queues = Arc::new(queues);
        self.owner_events.retain(|_, tx| tx.send(Event::QueueConfig(queues.clone())).is_ok());
        self.queues = Some(queues);
    }

    /// Applies the operators' requests to evacuate data centres as they were read at `read_at`.
    pub fn apply_evacuations(&mut self, read_at: Instant, evacuations: Arc<Evacuations>) {
        self.evacuations = Some((read_at, evacuations.clone()));
        let event = Event::EvacuationsRead { read_at, evacuations };
        self.owner_events.retain(|_, tx| tx.send(event.clone()).is_ok());
    }

    /// Registers the event channel of the owner of a shard that this process now owns, and tells
    /// the owner which data centres are evacuated.
    pub fn register_owner(&mut self, shard: ShardId, events: mpsc::UnboundedSender<Event>) {
        if let Some((read_at, evacuations)) = self.evacuations.clone()
            && events.send(Event::EvacuationsRead { read_at, evacuations }).is_err()
        {
            return;
        }
        self.owner_events.insert(shard, events);
    }

    /// Removes the owner of a shard that this process no longer owns.
    pub fn unregister_owner(&mut self, shard: ShardId) {
        self.owner_events.remove(&shard);
    }

    /// Counts a claim that this process begins.
    pub fn begin_claim(&mut self) {
        self.claims_in_progress += 1;
    }

    /// Ends a claim of this process, whether it was won or not.
    pub fn end_claim(&mut self) {
        self.claims_in_progress -= 1;
    }

    /// Returns the number of shards that this process owns or is claiming.
    ///
    /// Several shards may lose their owners at the same moment. If a shard were counted only once
    /// its claim is won, the nearest large VM would claim each of them as if it were its first
    /// shard, and would own all of them: more than it has connections and processor time for.
    pub fn owned_or_claimed(&self) -> u32 {
        self.owner_events.len() as u32 + self.claims_in_progress
    }

    /// Returns whether the topic of states was read to its end recently.
    pub fn is_up_to_date(&self) -> bool {
        /// Twice the longest wait for a new record, plus a slow answer.
        const MAX_AGE_MS: u128 = 2_600;
        self.states_caught_up.is_some_and(|(at, _)| clock::now().since(at).as_millis() < MAX_AGE_MS)
    }

    /// Returns whether this process was suspended after it last read the states of jobs, so that a job
    /// may have ended long ago.
    pub fn has_old_states(&mut self) -> bool {
        self.suspension.is_after(clock::now(), self.states_requested_at)
    }

    /// Returns whether the log answers this VM, as far as is known. A VM that follows another one
    /// has recent records also while the log turns it away, but cannot store what callers send.
    pub fn reaches_log(&self) -> bool {
        /// Two joins and the time of a slow one.
        const MAX_AGE_MS: u128 = 2_600;
        self.joined_at.is_none_or(|at| clock::now().since(at).as_millis() < MAX_AGE_MS)
    }

    /// Returns whether an unknown job is certain not to exist.
    pub fn is_absence_certain(&self, id: JobId) -> bool {
        self.directory.is_complete(clock::now(), id)
    }
}
