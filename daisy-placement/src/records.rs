//! Batches of records to append to the log.

use daisy_ledger::{Placement, Record};
use daisy_model::{ExitReport, Instant, TaskId};

use crate::{
    holder::{Action, Holder},
    task::Phase,
};

/// Records that the ledger does not show yet.
///
/// The length of each list is at most the number of tasks that the holder has.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub placed: Vec<Placement>,
    pub ended: Vec<ExitReport>,
    pub checkouts: Vec<TaskId>,
    pub returns: Vec<TaskId>,
    flushed_at: Option<Instant>,
}

impl Outbox {
    fn is_empty(&self) -> bool {
        self.placed.is_empty()
            && self.ended.is_empty()
            && self.checkouts.is_empty()
            && self.returns.is_empty()
    }
}

impl Holder {
    /// Appends the gathered records, at most once per flush interval.
    ///
    /// While the log is down nothing is appended; the records stay here and are appended
    /// together later. Placements precede exits, so that the fold never sees an exit of an
    /// incarnation that it does not know.
    pub(crate) fn append(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let flush_interval = self.options.limits.flush_interval;
        let is_early = self.outbox.flushed_at.is_some_and(|at| now < at + flush_interval);
        if self.outbox.is_empty() || !self.log_reachable || is_early {
            return;
        }
        self.outbox.flushed_at = Some(now);
        let (dc, epoch) = (self.options.dc, self.options.epoch);
        let chunk = self.options.limits.max_record_tasks;
        let Outbox { placed, ended, checkouts, returns, .. } = &mut self.outbox;
        for placements in chunks(std::mem::take(placed), chunk) {
            actions.push(Action::Append(Record::Placed { dc, epoch, placements }));
        }
        for exits in chunks(std::mem::take(ended), chunk) {
            actions.push(Action::Append(Record::Ended { dc, epoch, exits }));
        }
        for tasks in chunks(std::mem::take(returns), chunk) {
            actions.push(Action::Append(Record::Return { dc, epoch, tasks }));
        }
        for tasks in chunks(std::mem::take(checkouts), chunk) {
            actions.push(Action::Append(Record::Checkout { dc, epoch, tasks }));
        }
    }

    /// Records where a task runs, unless the ledger shows it or the record was appended
    /// recently.
    pub(crate) fn record_placement(&mut self, now: Instant, task: TaskId) {
        let resend_after = self.options.limits.resend_after;
        let Some(local) = self.local(task) else { return };
        let Phase::Running { worker } = local.phase else { return };
        let is_recently_appended =
            local.placement_recorded_at.is_some_and(|at| now < at + resend_after);
        if local.is_placement_recorded() || is_recently_appended {
            return;
        }
        let incarnation = local.incarnation;
        let Some(vm) = self.roster.get(worker).map(|worker| worker.id) else { return };
        if let Some(local) = self.local_mut(task) {
            local.placement_recorded_at = Some(now);
        }
        self.outbox.placed.push(Placement { task, incarnation, vm });
    }

    /// Records how a task ended, unless the record was appended recently.
    pub(crate) fn record_end(&mut self, now: Instant, task: TaskId) {
        let resend_after = self.options.limits.resend_after;
        let Some(local) = self.local_mut(task) else { return };
        let incarnation = local.incarnation;
        let Phase::Ended { exit, recorded_at, .. } = &mut local.phase else { return };
        if recorded_at.is_some_and(|at| now < at + resend_after) {
            return;
        }
        *recorded_at = Some(now);
        let exit = *exit;
        self.outbox.ended.push(ExitReport { task, incarnation, exit });
    }
}

fn chunks<T>(mut items: Vec<T>, size: usize) -> Vec<Vec<T>> {
    let size = size.max(1);
    let mut chunks = Vec::new();
    while items.len() > size {
        let rest = items.split_off(size);
        chunks.push(std::mem::replace(&mut items, rest));
    }
    if !items.is_empty() {
        chunks.push(items);
    }
    chunks
}
