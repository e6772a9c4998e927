//! Removes the records of jobs that nobody asks for any more.
//!
//! The log keeps the newest record of each key for good. Once a job has ended and its state is no
//! longer owed, its records are removed one kind after the other. The submission goes first, and the
//! others only once its removal was read among the submissions: a successor that read the submission
//! without the progress would run the job again, and so would this owner if it forgot the job and
//! then read the same submission once more. The state, by which all VMs know a request that is sent
//! again, goes last.

use std::time::Duration;

use daisy_model::{Instant, SortedMap};

use super::{
    Owner,
    message::{Action, Note},
};
use crate::{JobId, Record, RecordKey, TaskId};

/// The interval between removals: each costs a call.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(5);
/// The most jobs whose submissions are removed at a time; all VMs read the removals of their states.
const REMOVED_JOBS_MAX: usize = 200;
/// How long after a removal that was not read back the submission is removed again.
const REPEAT_AFTER: Duration = Duration::from_secs(30);

/// The jobs of a shard that have ended and still have records.
#[derive(Debug, Default)]
pub(super) struct Removals {
    /// Jobs that have ended since the last tick, or are not known any more beyond their state.
    pub noticed: Vec<JobId>,
    /// Since when this owner knows that a job has ended.
    ended: SortedMap<JobId, Instant>,
    /// When the submission was last removed of a job whose removal was not read back yet.
    requested: SortedMap<JobId, Instant>,
    last_at: Instant,
    /// Records of the progress to be removed, and the jobs that they belong to.
    unrecorded: Vec<RecordKey>,
    removed_jobs: Vec<JobId>,
    /// Jobs of which only the published state is left.
    only_published: Vec<JobId>,
}

impl Removals {
    fn tracks(&self, id: JobId) -> bool {
        self.ended.contains_key(&id)
            || self.requested.contains_key(&id)
            || self.removed_jobs.contains(&id)
            || self.only_published.contains(&id)
    }

    /// Returns whether records of the progress are to be removed.
    pub fn has_records(&self) -> bool {
        !self.unrecorded.is_empty()
    }

    /// Takes the removals to append with the next batch, and the jobs that they belong to.
    pub fn take_records(&mut self) -> (Vec<Record>, Vec<JobId>) {
        let keys = std::mem::take(&mut self.unrecorded);
        (keys.into_iter().map(Record::Removed).collect(), std::mem::take(&mut self.removed_jobs))
    }

    /// Notes that the records of these jobs' progress are removed.
    pub fn stored(&mut self, jobs: Vec<JobId>) {
        self.only_published.extend(jobs);
    }
}

impl Owner {
    /// Notes all jobs that an earlier owner left behind.
    pub(super) fn inherit_ended(&mut self) {
        let ended = self.ledger.jobs().filter(|(_, it)| it.state().is_ended()).map(|(id, _)| id);
        let ended = ended.chain(self.ledger.ended().map(|(id, _)| id));
        self.removals.noticed.extend(ended.chain(self.ledger.without_submission()));
    }

    /// Counts the time for which records are retained from when their jobs were noticed.
    fn retain_noticed(&mut self, now: Instant) {
        for id in std::mem::take(&mut self.removals.noticed) {
            if !self.active.contains_key(&id) && !self.removals.tracks(id) {
                self.removals.ended.insert(id, now);
            }
        }
    }

    /// Removes the submissions of jobs that ended long ago.
    pub(super) fn remove_submissions(&mut self, now: Instant) {
        self.retain_noticed(now);
        if now.since(self.removals.last_at) < REMOVAL_INTERVAL {
            return;
        }
        self.removals.last_at = now;
        let superseded = self.jobs_with_superseded_ends();
        let expired = self.removals.ended.iter().filter(|(id, at)| {
            now.since(**at) >= self.retention(**id) && superseded.binary_search(id).is_err()
        });
        let expired: Vec<JobId> = expired.map(|(id, _)| *id).take(REMOVED_JOBS_MAX).collect();
        self.removals.ended.retain(|id, _| expired.binary_search(id).is_err());
        let requested = self.removals.requested.iter();
        let unread = requested.filter(|(_, at)| now.since(**at) >= REPEAT_AFTER);
        let mut jobs: Vec<JobId> = unread.map(|(id, _)| *id).take(REMOVED_JOBS_MAX).collect();
        // A request that came again after so long is a new job.
        jobs.extend(expired.into_iter().filter(|id| !self.active.contains_key(id)));
        for id in &jobs {
            self.removals.requested.insert(*id, now);
        }
        if jobs.is_empty() {
            return;
        }
        let records = jobs.iter().flat_map(|id| self.submission_keys(*id));
        let records = records.map(Record::Removed).collect();
        let remaining = self.removals.ended.len();
        self.actions.push(Action::Note(Note::JobsRemoved { jobs: jobs.len(), remaining }));
        self.actions.push(Action::RemoveSubmissions(records));
    }

    /// Returns how long the records of a job are retained after its end. Those of a job of another
    /// shard outlast the records there, by which that shard would write the job here again.
    fn retention(&self, id: JobId) -> Duration {
        match self.settings.layout.shard_of_job(id) == self.settings.shard {
            true => self.settings.record_retention,
            false => self.settings.record_retention * 2,
        }
    }

    /// Returns the keys of the records that callers and other shards wrote of a job.
    fn submission_keys(&self, id: JobId) -> Vec<RecordKey> {
        let mut keys = vec![RecordKey::Submission(id), RecordKey::Cancellation(id)];
        let transfers = self.ledger.job(id).map(|it| &it.transfers);
        for (task, newest) in transfers.into_iter().flat_map(SortedMap::iter) {
            keys.extend((1..=newest.number).map(|it| RecordKey::TransferIn(*task, it)));
        }
        keys
    }

    /// Processes the removal of a submission that was read among the submissions; returns whether
    /// the job is to be forgotten.
    pub(super) fn submission_removed(&mut self, id: JobId) -> bool {
        if self.active.contains_key(&id) {
            // A request with this id came long after the job had ended, and is a new job.
            self.removals.requested.remove(&id);
            return false;
        }
        self.removals.ended.remove(&id);
        self.removals.requested.remove(&id);
        let job = self.ledger.job(id);
        let transferred: Vec<TaskId> =
            job.iter().flat_map(|it| it.transfers.iter().map(|(task, _)| *task)).collect();
        let keys = &mut self.removals.unrecorded;
        keys.push(RecordKey::Progress(id));
        keys.extend(self.ledger.reruns(id).map(|_| RecordKey::Reruns(id)));
        keys.extend(job.and_then(|it| it.delegated).map(|_| RecordKey::Delegation(id)));
        keys.extend(transferred.into_iter().map(RecordKey::TransferOut));
        self.removals.removed_jobs.push(id);
        true
    }

    /// Returns the jobs of this shard of which only the published state is left since the last call.
    pub fn take_only_published(&mut self) -> Vec<JobId> {
        let (layout, shard) = (self.settings.layout, self.settings.shard);
        let mut jobs = std::mem::take(&mut self.removals.only_published);
        jobs.retain(|id| layout.shard_of_job(*id) == shard);
        jobs
    }
}
