//! Workers that have restarted, and the calls for their earlier incarnations.
//!
//! A call names a worker by its id, and a later incarnation under the same id carries it out, also
//! seconds late. The call's deadline is far ahead of that incarnation's clock, for which the worker
//! grants its longest lease, even where it rejects the order.
//!
//! So calls to a worker that has restarted carry a higher fencing token than all calls before. The
//! token is an offset of the shard's log after a record of this owner: higher than the owner's
//! epoch, and lower than the epoch of any owner to come, which is the offset of its claim plus one.
//! The worker gets a lease only once it has answered a call with that token; until then it may have
//! been granted the longest one. That is recorded before anything is started there, for an owner to
//! come that the worker does not answer.

use daisy_model::Instant;

use super::{Owner, Worker, WorkerKey, open_starts::MAX_ORDER_DELAY};
use crate::{Record, WorkerId};

/// What the log says of workers that may hold the longest lease.
#[derive(Debug, Default)]
pub(super) struct LongLeases {
    /// The workers that an earlier owner recorded, sorted.
    inherited: Vec<WorkerId>,
    /// The workers that were last passed to the log, sorted.
    recorded: Vec<WorkerId>,
    /// Whether some worker needs a higher fencing token, for which a record has to be appended.
    needs_token: bool,
}

impl LongLeases {
    /// Takes over the workers that an earlier owner recorded.
    pub(super) fn inherit(workers: &[WorkerId]) -> LongLeases {
        let mut inherited = workers.to_vec();
        inherited.sort_unstable();
        LongLeases { recorded: inherited.clone(), inherited, needs_token: false }
    }

    /// Whether an earlier owner has recorded the worker.
    pub(super) fn is_inherited(&self, worker: &WorkerId) -> bool {
        self.inherited.binary_search(worker).is_ok()
    }

    /// Notes that a worker needs a higher fencing token.
    pub(super) fn request_token(&mut self) {
        self.needs_token = true;
    }

    /// Whether a record has to be appended for a token.
    pub(super) fn needs_token(&self) -> bool {
        self.needs_token
    }
}

impl Owner {
    /// Returns the number of workers that may hold the longest lease.
    pub(super) fn count_long_leases(&self, now: Instant) -> usize {
        self.list_long_leases(now).len()
    }

    fn list_long_leases(&self, now: Instant) -> Vec<WorkerId> {
        let max_lease = self.max_granted_lease();
        let may_hold =
            |it: &Worker| it.restarted_at.is_some_and(|at| now < at + MAX_ORDER_DELAY + max_lease);
        let restarted = self.workers.iter().filter(|(_, it)| may_hold(it));
        let mut found: Vec<WorkerId> = restarted.map(|(_, it)| it.id.clone()).collect();
        if !self.are_predecessor_leases_over(now) {
            found.extend_from_slice(&self.long_leases.inherited);
        }
        found.sort_unstable();
        found.dedup();
        found
    }

    /// Returns the record to append, unless the log says the same and no worker needs a token.
    pub(super) fn take_long_leases_record(&mut self, now: Instant) -> Option<Record> {
        let needs_token = std::mem::take(&mut self.long_leases.needs_token);
        let found = self.list_long_leases(now);
        if found == self.long_leases.recorded && !needs_token {
            return None;
        }
        self.long_leases.recorded.clone_from(&found);
        Some(Record::LongLeases(found))
    }

    /// Returns the workers whose incarnation gets the token of the batch that is created now.
    pub(super) fn workers_without_token(&self) -> Vec<(WorkerKey, u64)> {
        let waiting = self.workers.iter().filter(|(_, it)| it.needs_token);
        waiting.map(|(key, it)| (key, it.started_at_ms)).collect()
    }

    /// Raises the fencing token of calls to these incarnations to the log's end after a batch.
    pub(super) fn raise_tokens(
        &mut self,
        now: Instant,
        incarnations: &[(WorkerKey, u64)],
        log_end: u64,
    ) {
        for (key, started_at_ms) in incarnations {
            let Some(worker) = self.workers.get_mut(*key) else { continue };
            if worker.started_at_ms != *started_at_ms {
                continue;
            }
            worker.needs_token = log_end <= worker.token;
            worker.token = worker.token.max(log_end);
            if worker.needs_token {
                // All records of the batch were refused.
                self.long_leases.request_token();
            }
            self.renew(now, *key);
        }
    }
}
