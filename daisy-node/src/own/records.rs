//! What a running owner appends: the progress of its jobs, their states, heartbeats and measurements.

use std::time::Duration;

use daisy_model::Instant;
use daisy_platform::{Guard, Topic};
use daisy_workflow::{Claim, Event, JobId, OwnerHeartbeat, Record, RefusedRecord, WrittenRecord};

use super::{
    AppendOutcome, MEASUREMENTS_INTERVAL, MIN_APPEND_INTERVAL, Ownership, RunningOwner,
    append::{APPEND_TIMEOUT, Appended, Fenced, append, log_refused},
};
use crate::clock;

impl RunningOwner {
    /// Appends the owner's pending progress, unless an append is under way or too recent.
    pub(super) fn append_progress(&mut self) {
        let now = clock::now();
        if self.is_appending_progress || now.since(self.progress_append_began) < MIN_APPEND_INTERVAL
        {
            return;
        }
        let Some(batch) = self.owner.try_batch(now) else { return };
        self.is_appending_progress = true;
        self.progress_append_began = now;
        let topic = Topic::Progress(self.ownership.shard.0);
        let (calls, refused) = self.record_writer.write(&batch.records);
        for it in &refused {
            log_refused(topic, it, "it is longer than the log stores");
        }
        let guard = self.next_progress_guard;
        self.spawn_append(topic, calls, guard, move |mut appended| {
            appended.refused.extend(refused);
            AppendOutcome::Progress(appended)
        });
    }

    /// Publishes changed states of jobs and, when due, a heartbeat, unless an append of states is
    /// under way.
    pub(super) fn publish_states(&mut self) {
        for id in self.owner.take_only_published() {
            self.state_publisher.remove(id);
        }
        for (id, state) in self.owner.take_states() {
            self.state_publisher.add(id, state);
        }
        if self.is_appending_states {
            return;
        }
        let now = clock::now();
        let heartbeat =
            self.state_publisher.is_heartbeat_due(now).then(|| self.heartbeat(now, false));
        let Some(records) = self.state_publisher.take_due_records(now, heartbeat) else { return };
        self.append_states(records);
    }

    /// Shares interference measurements with the owners of other shards. A lost record is not sent
    /// again, as its measurements are repeated later.
    pub(super) fn share_measurements(&mut self) {
        let now = clock::now();
        if now.since(self.measurements_shared_at) < MEASUREMENTS_INTERVAL {
            return;
        }
        self.measurements_shared_at = now;
        let sums = self.owner.take_interference_sums();
        let Ownership { context, shard, .. } = &self.ownership;
        let shards = context.shared.lock().directory.layout().map_or(1, |it| it.shards);
        if sums.is_empty() || shards < 2 {
            return;
        }
        let limits = context.settings.record_limits;
        let calls = limits.calls(limits.split_sums(*shard, &sums));
        let log_client = context.log_client.clone();
        tokio::spawn(async move {
            for call in calls {
                let records: Vec<_> = call.into_iter().flat_map(|it| it.stored).collect();
                let (topic, guard) = (Topic::Observed, Guard::Unconditional);
                let append = log_client.append(topic, &records, guard, APPEND_TIMEOUT);
                if let Err(e) = append.await {
                    log::debug!("event=log_lost topic={topic:?} cause=\"{e}\"");
                }
            }
        });
    }

    pub(super) fn append_states(&mut self, records: Vec<Record>) {
        self.is_appending_states = true;
        let sent_at = clock::now();
        let limits = self.ownership.context.settings.record_limits;
        let calls = limits.calls(records.iter().map(WrittenRecord::whole).collect());
        let guard = self.next_states_guard;
        self.spawn_append(Topic::States, calls, guard, move |appended| {
            AppendOutcome::States(sent_at, appended)
        });
    }

    /// Returns a heartbeat of this owner.
    pub(super) fn heartbeat(&mut self, now: Instant, released: bool) -> OwnerHeartbeat {
        /// Twice the longest wait for a new record.
        const MAX_READ_AGE: Duration = Duration::from_millis(800);
        let claim = Claim {
            released,
            predecessors_expired: self.ownership.claim.predecessors_expired
                || self.owner.are_predecessor_leases_over(now),
            ..self.ownership.claim.clone()
        };
        let shard = self.ownership.shard;
        let is_caught_up =
            now.since(*self.jobs_read_at.borrow()) < MAX_READ_AGE && self.are_all_published();
        let pending = self.owner.pending();
        let load = self.owner.load(now);
        let capacity = self.owner.capacity_reports(now);
        OwnerHeartbeat { shard, claim, is_caught_up, pending, load, capacity }
    }

    /// Returns whether the states of all jobs that were delegated to other shards are published, so
    /// that callers can learn them.
    fn are_all_published(&self) -> bool {
        let node = self.ownership.context.shared.lock();
        self.state_publisher.are_all_published(&node.directory, self.owner.delegated_away())
    }

    fn spawn_append(
        &self,
        topic: Topic,
        calls: Vec<Vec<WrittenRecord>>,
        guard: Guard,
        to_outcome: impl FnOnce(Appended) -> AppendOutcome + Send + 'static,
    ) {
        let log_client = self.ownership.context.log_client.clone();
        let append_outcomes = self.append_outcomes.clone();
        tokio::spawn(async move {
            let outcome = match append(&log_client, topic, calls, guard).await {
                Ok(appended) => to_outcome(appended),
                Err(Fenced) => AppendOutcome::Fenced,
            };
            // Sending fails once the owner has stepped down, and the outcome no longer matters.
            let _ = append_outcomes.send(outcome).await;
        });
    }

    /// Handles the outcome of an append; returns false if this owner is fenced.
    pub(super) fn handle_append_outcome(&mut self, outcome: Option<AppendOutcome>) -> bool {
        let event = match outcome {
            Some(AppendOutcome::Progress(Appended { next_guard, refused, log_end })) => {
                self.is_appending_progress = false;
                self.next_progress_guard = next_guard;
                self.handle_refused(&refused);
                Event::Appended { log_end }
            }
            Some(AppendOutcome::States(sent_at, Appended { next_guard, refused, .. })) => {
                self.is_appending_states = false;
                self.next_states_guard = next_guard;
                self.ownership.context.metrics.count_refused_records(refused.len());
                Event::HeartbeatStored { sent_at }
            }
            Some(AppendOutcome::Fenced) | None => return false,
        };
        self.owner.handle_event(clock::now(), event);
        true
    }

    /// Tells the owner whose progress the log refused.
    fn handle_refused(&mut self, refused: &[RefusedRecord]) {
        self.ownership.context.metrics.count_refused_records(refused.len());
        let jobs: Vec<JobId> = refused.iter().filter_map(|it| it.job).collect();
        if !jobs.is_empty() {
            self.owner.handle_event(clock::now(), Event::ProgressRefused(jobs));
        }
    }
}
