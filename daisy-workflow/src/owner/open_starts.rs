//! Start orders that a worker may still carry out.
//!
//! The platform may carry out an order that got no answer some seconds late, even on a later
//! incarnation of the worker under the same id. Each time that an order is sent it leaves such a
//! copy, until that copy is answered or known to have been carried out. A run with open copies is
//! recorded in the log, so that the next owner knows of it.

use std::time::Duration;

use daisy_model::{Instant, SortedMap};

use super::{Owner, worker::WorkerKey};
use crate::{Record, TaskId, WorkerId};

/// How long after it was sent an order may still be carried out: the platform specifies up to 12 s.
pub(super) const MAX_ORDER_DELAY: Duration = Duration::from_secs(13);
/// How long the platform's list of machines is taken to be current, counted from its request. It is
/// read once a second while it decides.
const MACHINES_VALIDITY: Duration = Duration::from_millis(2_500);
/// How long the log may list runs as open that no longer are, before a batch is appended for that
/// alone.
const MAX_RECORD_STALENESS: Duration = Duration::from_millis(500);

/// A run whose start order may still be carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenStart {
    /// The task.
    pub task: TaskId,
    /// Number of the run among the task's starts.
    pub run: u32,
    /// Whether the order was, or is about to be, sent more than once: a copy may then be left after
    /// another one was carried out.
    pub resent: bool,
}

/// The copies of a run's start order.
#[derive(Debug)]
struct StartCopies {
    /// The worker that they were sent to, unless the platform's list has not named it.
    worker: Option<WorkerKey>,
    sent: u32,
    /// Number of copies whose answer shows that they will not be carried out any more.
    answered: u32,
    /// Whether a worker's answer to a copy confirmed the run.
    is_confirmed: bool,
    /// Whether a worker has listed the run, as running or as ended.
    is_listed: bool,
    /// When the last copy was sent; `None` while nothing was sent, and for copies of an earlier
    /// owner until it is known when that owner ended.
    last_sent_at: Option<Instant>,
    resend: Resend,
}

/// Whether an order may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resend {
    NotNeeded,
    /// The log does not say yet that there are several copies.
    Unrecorded,
    Recorded,
}

impl StartCopies {
    fn new(worker: Option<WorkerKey>) -> StartCopies {
        StartCopies {
            worker,
            sent: 0,
            answered: 0,
            is_confirmed: false,
            is_listed: false,
            last_sent_at: None,
            resend: Resend::NotNeeded,
        }
    }

    /// Returns the number of copies that may not have been carried out yet.
    fn open(&self) -> u32 {
        // A listed run used up a copy: possibly a confirmed one, otherwise one without an answer.
        let used_up = u32::from(self.is_listed && !self.is_confirmed);
        self.sent.saturating_sub(self.answered + used_up)
    }

    /// Returns whether an open copy may be carried out at `now` or later.
    fn may_be_carried_out(&self, now: Instant) -> bool {
        self.open() > 0 && self.last_sent_at.is_none_or(|at| now < at + MAX_ORDER_DELAY)
    }
}

/// All start orders that may still be carried out, and what the log says about them.
#[derive(Debug, Default)]
pub(super) struct OpenStarts {
    copies: SortedMap<(TaskId, u32), StartCopies>,
    /// The runs that were last passed to the log.
    recorded: Vec<OpenStart>,
    /// Since when `recorded` contains runs that are not open any more.
    stale_since: Option<Instant>,
    /// Whether the log has to be updated even if there is nothing else to append.
    is_record_due: bool,
}

impl OpenStarts {
    /// Takes over the runs that an earlier owner recorded.
    pub(super) fn inherit(recorded: &[OpenStart]) -> OpenStarts {
        let copies = recorded.iter().map(|it| {
            let sent = if it.resent { 2 } else { 1 };
            ((it.task, it.run), StartCopies { sent, ..StartCopies::new(None) })
        });
        OpenStarts {
            copies: copies.collect(),
            recorded: recorded.to_vec(),
            ..OpenStarts::default()
        }
    }

    /// Returns the number of runs whose start orders may still be carried out.
    pub(super) fn len(&self) -> usize {
        self.copies.len()
    }

    /// Notes that a start is about to be recorded and sent.
    pub(super) fn will_send(&mut self, worker: WorkerKey, task: TaskId, run: u32) {
        self.copies.get_or_insert_with((task, run), || StartCopies::new(Some(worker)));
    }

    pub(super) fn sent(&mut self, now: Instant, worker: WorkerKey, task: TaskId, run: u32) {
        let it = self.copies.get_or_insert_with((task, run), || StartCopies::new(Some(worker)));
        it.sent += 1;
        it.last_sent_at = Some(now);
    }

    /// Notes that a copy was answered; `is_confirmed` says whether the answer confirmed the run.
    pub(super) fn answered(&mut self, task: TaskId, run: u32, is_confirmed: bool) {
        self.update(task, run, |it| {
            it.answered += 1;
            it.is_confirmed |= is_confirmed;
        });
    }

    /// Notes that a worker listed the run, as running or as ended.
    pub(super) fn listed(&mut self, task: TaskId, run: u32) {
        self.update(task, run, |it| it.is_listed = true);
    }

    /// Notes the worker of a run that an earlier owner started.
    pub(super) fn assign(&mut self, worker: WorkerKey, task: TaskId, run: u32) {
        self.update(task, run, |it| it.worker = Some(worker));
    }

    fn update(&mut self, task: TaskId, run: u32, change: impl FnOnce(&mut StartCopies)) {
        let Some(it) = self.copies.get_mut(&(task, run)) else { return };
        change(it);
        if it.open() == 0 {
            self.copies.remove(&(task, run));
        }
    }

    /// Forgets a run whose order was never sent.
    pub(super) fn not_sent(&mut self, task: TaskId, run: u32) {
        if self.copies.get(&(task, run)).is_some_and(|it| it.sent == 0) {
            self.copies.remove(&(task, run));
        }
    }

    /// Requests that the log say that the run's order is sent again.
    pub(super) fn request_resend(&mut self, worker: WorkerKey, task: TaskId, run: u32) {
        let it = self.copies.get_or_insert_with((task, run), || StartCopies::new(Some(worker)));
        if it.resend == Resend::NotNeeded {
            it.resend = Resend::Unrecorded;
            self.is_record_due = true;
        }
    }

    /// Whether the log says that the run's order is sent again.
    pub(super) fn may_resend(&self, task: TaskId, run: u32) -> bool {
        self.copies.get(&(task, run)).is_some_and(|it| it.resend == Resend::Recorded)
    }

    /// Whether a copy of the order of any run of these tasks may still be carried out.
    pub(super) fn any_may_be_carried_out(
        &self,
        now: Instant,
        tasks: std::ops::RangeInclusive<TaskId>,
    ) -> bool {
        let (from, to) = ((*tasks.start(), 0), (*tasks.end(), u32::MAX));
        self.copies.range(&from, &to).any(|(_, it)| it.may_be_carried_out(now))
    }

    /// Whether a copy of the run's order may still be carried out, by whatever incarnation of its
    /// worker there is then.
    pub(super) fn may_be_carried_out(&self, now: Instant, task: TaskId, run: u32) -> bool {
        self.copies.get(&(task, run)).is_some_and(|it| it.may_be_carried_out(now))
    }

    /// Whether the log has to be updated even if there is nothing else to append.
    pub(super) fn is_record_due(&self) -> bool {
        self.is_record_due
    }

    /// Returns the record to append, unless the log says the same already.
    pub(super) fn take_record(&mut self) -> Option<Record> {
        self.is_record_due = false;
        self.stale_since = None;
        let open = self.list();
        if open == self.recorded {
            return None;
        }
        self.recorded.clone_from(&open);
        Some(Record::OpenStarts(open))
    }

    /// Notes that the log has stored the record that was last taken.
    pub(super) fn record_stored(&mut self) {
        for it in self.recorded.iter().filter(|it| it.resent) {
            if let Some(it) = self.copies.get_mut(&(it.task, it.run)) {
                it.resend = Resend::Recorded;
            }
        }
    }

    fn list(&self) -> Vec<OpenStart> {
        let open_start = |((task, run), it): (&(TaskId, u32), &StartCopies)| OpenStart {
            task: *task,
            run: *run,
            resent: it.sent > 1 || it.resend != Resend::NotNeeded,
        };
        self.copies.iter().map(open_start).collect()
    }
}

impl Owner {
    /// Returns when the run has ended with the longest lease if its worker carried out a copy of its
    /// order as late as possible; `None` if there is no open copy.
    fn late_run_over_at(&self, now: Instant, task: TaskId, run: u32) -> Option<Instant> {
        let it = self.open_starts.copies.get(&(task, run)).filter(|it| it.open() > 0)?;
        let last_sent_at = it.last_sent_at.unwrap_or(now);
        Some(last_sent_at + MAX_ORDER_DELAY + self.max_granted_lease())
    }

    /// Returns until when a worker without answers may be running `run`, started by a late copy of
    /// its order: it may have restarted unseen, and its next incarnation grants the longest lease.
    ///
    /// `None` unless the platform's list of machines, requested at `named_at`, still names the
    /// worker: one that has ended carries out nothing, and its tasks must not wait.
    pub(super) fn late_run_expected_until(
        &self,
        now: Instant,
        named_at: Option<Instant>,
        task: TaskId,
        run: u32,
    ) -> Option<Instant> {
        let is_named = named_at.is_some_and(|at| now.since(at) < MACHINES_VALIDITY);
        self.late_run_over_at(now, task, run).filter(|over_at| is_named && now < *over_at)
    }

    /// Whether the platform's list of machines decides if a run may still be started late.
    pub fn awaits_machines(&self, now: Instant) -> bool {
        if self.open_starts.copies.is_empty() {
            return false;
        }
        let is_late = |task, run| self.late_run_over_at(now, task, run).is_some_and(|it| now < it);
        let unreachable = self.workers.iter().filter(|(_, it)| it.is_unreachable() && !it.replaced);
        let mut tasks = unreachable.flat_map(|(_, it)| &it.tasks);
        tasks.any(|it| is_late(it.task, it.run))
            || self.orphans.iter().any(|it| is_late(it.task, it.run))
    }

    /// Processes the platform's list of machines, requested at `requested_at`: `workers` are those
    /// that it names, sorted.
    pub(super) fn machines_listed(&mut self, requested_at: Instant, workers: &[WorkerId]) {
        let is_named = |id: &WorkerId| workers.binary_search(id).is_ok();
        for at in 0..self.workers.len() {
            if let Some(worker) = self.workers.get_mut(WorkerKey(at as u32)) {
                worker.named_at = is_named(&worker.id).then_some(requested_at);
            }
        }
        for it in &mut self.orphans {
            it.named_at = is_named(&it.worker).then_some(requested_at);
        }
    }

    /// Removes the start orders that cannot be carried out any more, and those of reachable workers
    /// whose lists show whether they were.
    pub(super) fn expire_open_starts(&mut self, now: Instant) {
        let predecessors_ended_at = self.succession.predecessors_ended_at();
        let max_lease = self.max_granted_lease();
        let workers = &self.workers;
        let open_starts = &mut self.open_starts;
        open_starts.copies.retain(|_, it| {
            if it.last_sent_at.is_none() && it.sent > 0 {
                it.last_sent_at = predecessors_ended_at;
            }
            let Some(last_sent_at) = it.last_sent_at else { return true };
            let latest_start = last_sent_at + MAX_ORDER_DELAY;
            let is_shown_by_list = it.worker.and_then(|key| workers.get(key)).is_some_and(|it| {
                it.renewal_failures == 0 && it.listed && it.answered_renewal_sent_at >= latest_start
            });
            now < latest_start || !is_shown_by_list && now < latest_start + max_lease
        });
        let is_open = |it: &OpenStart| open_starts.copies.contains_key(&(it.task, it.run));
        match open_starts.recorded.iter().all(is_open) {
            true => open_starts.stale_since = None,
            false => {
                let since = *open_starts.stale_since.get_or_insert(now);
                open_starts.is_record_due |= now.since(since) >= MAX_RECORD_STALENESS;
            }
        }
    }
}
