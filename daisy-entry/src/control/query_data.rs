//! The data for operators' queries: the ledger, and what holders know of running tasks and workers.

use std::sync::Arc;

use daisy_ledger::State;
use daisy_model::{Instant, Name, Vm, VmId, WallTime};
use daisy_placement::{Holder, TaskStatus, TimedReason, WorkerStatus};
use daisy_query::{LiveTask, LiveView, LiveWorker, Reason, Subject, WorkerState};
use daisy_routing::{KeyAnswer, KeyQuery};

use crate::{boundary::RequestSide, control::Control};

/// The data from which an operator's query is answered, except what other holders know.
#[derive(Debug, Clone)]
pub(crate) struct QueryData {
    /// The fold of the log.
    pub state: Arc<State>,
    /// The platform's VM list.
    pub vms: Arc<[Vm]>,
    /// Names of data centres.
    pub dcs: Vec<Name>,
    /// What this entry VM knows, if it is a holder.
    pub own: LiveView,
    /// The holders of other data centres, and of the own one if another entry VM holds it.
    pub holders: Vec<VmId>,
}

impl<R: RequestSide<KeyQuery, KeyAnswer>> Control<R> {
    /// Returns the data from which an operator's query is answered.
    pub(super) fn query_data(&mut self, now: Instant) -> QueryData {
        let own = self.live_view(now).unwrap_or_default();
        let holders = self.state.holders.iter().filter(|(_, it)| !it.released);
        let holders = holders.map(|(_, it)| it.holder).filter(|vm| *vm != self.identity.vm);
        QueryData {
            state: Arc::clone(&self.state),
            vms: Arc::clone(&self.vms),
            dcs: self.identity.dcs.clone(),
            own,
            holders: holders.collect(),
        }
    }

    /// Returns what this entry VM knows as a holder, or `None` if it is not a holder.
    pub(super) fn live_view(&mut self, now: Instant) -> Option<LiveView> {
        let wall_time = self.clock.wall_time();
        let holder = self.holder_driver.active_holder()?;
        Some(build_live(holder, &Times { now, wall_time }))
    }
}

/// The same point in time on both clocks.
struct Times {
    now: Instant,
    wall_time: WallTime,
}

impl Times {
    fn wall_of(&self, at: Instant) -> WallTime {
        let ago = u64::try_from(self.now.since(at).as_millis()).unwrap_or(u64::MAX);
        WallTime(self.wall_time.0.saturating_sub(ago))
    }

    fn reason(&self, subject: &Subject, timed_reason: &TimedReason) -> Reason {
        let text = timed_reason.reason.to_string().into();
        Reason { at: self.wall_of(timed_reason.at), subject: subject.clone(), text }
    }
}

fn build_live(holder: &Holder, times: &Times) -> LiveView {
    let mut live = LiveView::default();
    for task in holder.checked_out_tasks() {
        let notes = holder.reasons(task.task);
        let subject = Subject::Task(task.task);
        live.reasons.extend(notes.iter().map(|it| times.reason(&subject, it)));
        let runs = matches!(task.status, TaskStatus::Running | TaskStatus::Ending);
        let Some(vm) = task.vm.filter(|_| runs) else { continue };
        // The last reason of a running task is usually that it runs.
        let run_time = notes.last().map(|it| times.now.since(it.at)).unwrap_or_default();
        let known = LiveTask { incarnation: task.incarnation, vm, share: task.share, run_time };
        live.tasks.insert(task.task, known);
    }
    for worker in holder.workers() {
        let notes = holder.vm_reasons(worker.vm);
        let subject = Subject::Vm(worker.vm);
        live.reasons.extend(notes.iter().map(|it| times.reason(&subject, it)));
        let state = match worker.status {
            WorkerStatus::Open => WorkerState::Ready,
            WorkerStatus::Draining | WorkerStatus::Unlisted => WorkerState::Leaving,
            WorkerStatus::Quarantined => WorkerState::Quarantined,
            WorkerStatus::NeverAnswered | WorkerStatus::Unresponsive => WorkerState::Unresponsive,
        };
        let known = LiveWorker {
            capacity: worker.capacity,
            free: worker.capacity.try_sub(worker.allocated).unwrap_or_default(),
            tasks: u32::try_from(worker.tasks).unwrap_or(u32::MAX),
            state,
        };
        live.workers.insert(worker.vm, known);
    }
    for (job, timed_reason) in holder.waiting_jobs() {
        live.reasons.push(times.reason(&Subject::Job(job), &timed_reason));
    }
    live.reasons.sort_by_key(|it| it.at);
    live
}
