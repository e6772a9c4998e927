//! Tasks that an earlier holder checked out, and VMs that are lost.
//!
//! A task that an earlier holder started without having recorded it may run on any worker. It is
//! started again only when no worker can run it any more.

use std::time::Duration;

use daisy_model::{Exit, Incarnation, Instant, TaskId, VmId};

use crate::{
    holder::Holder,
    reason::{Reason, WaitReason},
    task::{LocalTask, Phase},
    worker::{Availability, WorkerKey},
};

/// What is known about an inherited task.
enum InheritedOutcome {
    /// It runs, or its exit report waits, on a worker that has not answered yet.
    Blocked,
    /// No worker has it, and no earlier start can still take effect.
    NeverStarted,
    /// No worker has it, but it may have run.
    Unknown,
}

impl Holder {
    /// Records a task that an earlier epoch checked out.
    pub(crate) fn inherit(&mut self, now: Instant, task: TaskId) {
        self.set_phase(task, Phase::Inherited { since: now });
        self.inherited.push(task);
        // A worker may have reported it before the fold showed the checkout.
        let keys = self.roster.keys();
        for key in keys {
            let allocation = self.roster.get(key).and_then(|it| it.allocations.get(&task)).copied();
            if let Some(allocation) = allocation {
                if let Some(local) = self.local_mut(task) {
                    local.phase = Phase::Running { worker: key };
                    local.incarnation = allocation.incarnation;
                }
                self.record_placement(now, task);
            }
        }
    }

    /// Decides on inherited tasks whose workers have all answered or are lost.
    pub(crate) fn resolve_inherited(&mut self, now: Instant) {
        if self.inherited.is_empty() || !std::mem::take(&mut self.inherited_due) {
            return;
        }
        let are_all_workers_known = self.are_all_workers_known(now);
        let tasks = std::mem::take(&mut self.inherited);
        for task in tasks {
            match self.inherited_outcome(now, task, are_all_workers_known) {
                None => {}
                Some(InheritedOutcome::Blocked) => {
                    self.note_blocked(now, task);
                    self.inherited.push(task);
                }
                Some(InheritedOutcome::NeverStarted) => self.requeue_or_cancel(now, task),
                Some(InheritedOutcome::Unknown) => self.end_unknown(now, task),
            }
        }
    }

    fn note_blocked(&mut self, now: Instant, task: TaskId) {
        let vm = self.local(task).and_then(LocalTask::try_recorded_vm);
        let worker = vm.and_then(|vm| self.roster.try_key(vm)).and_then(|key| self.roster.get(key));
        let vm = worker.map(|worker| worker.label.clone());
        self.note(now, task, Reason::NotRunning(WaitReason::Blocked { vm }));
    }

    fn inherited_outcome(
        &self,
        now: Instant,
        task: TaskId,
        are_all_workers_known: bool,
    ) -> Option<InheritedOutcome> {
        let local = self.local(task)?;
        let Phase::Inherited { .. } = local.phase else { return None };
        let is_restartable = self.jobs.get(&task.job).is_some_and(|job| job.spec.restartable);
        Some(match local.try_recorded_vm() {
            // A start of a task that is not restartable is recorded before it is ordered: without a
            // record there was no start.
            None if !is_restartable => InheritedOutcome::NeverStarted,
            None if are_all_workers_known => InheritedOutcome::Unknown,
            None => InheritedOutcome::Blocked,
            Some(vm) if self.is_accounted_for(now, vm) => InheritedOutcome::Unknown,
            Some(_) => InheritedOutcome::Blocked,
        })
    }

    /// Whether a worker can no longer run a task that an earlier epoch started on it and that this
    /// holder does not know.
    fn is_accounted_for(&self, now: Instant, vm: VmId) -> bool {
        match self.roster.try_key(vm).and_then(|key| self.roster.get(key)) {
            Some(worker) if worker.has_answered => true,
            Some(worker) => self.is_lost_for_good(now, worker.availability, worker.called_at),
            None => self.is_vm_list_current(),
        }
    }

    /// Whether every worker that may have received an unrecorded start is accounted for.
    ///
    /// A VM that left the list just before this holder's claim is unknown to it, and a VM that
    /// was just added is not in its list yet. Only a list received at least the lease and the
    /// margin after this holder's first step rules out both.
    fn are_all_workers_known(&self, now: Instant) -> bool {
        self.is_vm_list_current()
            && self.roster.iter().all(|(_, worker)| {
                worker.has_answered
                    || self.is_lost_for_good(now, worker.availability, worker.called_at)
            })
    }

    fn is_vm_list_current(&self) -> bool {
        let Some(first_step_at) = self.first_step_at else { return false };
        self.roster.vm_list_at().is_some_and(|at| at >= first_step_at + self.lost_vm_wait())
    }

    /// Whether a VM has been missing from the list for longer than any lease that it was granted.
    ///
    /// Until then its tasks may still run, and starting them elsewhere would run them in two
    /// places. The lease is counted from the last call that may have reached the VM.
    fn is_lost_for_good(
        &self,
        now: Instant,
        availability: Availability,
        last_call_at: Option<Instant>,
    ) -> bool {
        let Availability::Unlisted { since } = availability else { return false };
        let renewed = last_call_at.map_or(since, |at| at.max(since));
        now >= renewed + self.lost_vm_wait()
    }

    fn lost_vm_wait(&self) -> Duration {
        self.options.lease + self.options.limits.lost_vm_margin
    }

    /// Ends the tasks of VMs that are lost for good and removes these VMs.
    pub(crate) fn remove_lost_vms(&mut self, now: Instant) {
        for key in self.roster.keys() {
            let Some(worker) = self.roster.get(key) else { continue };
            if !self.is_lost_for_good(now, worker.availability, worker.called_at) {
                continue;
            }
            let vm = worker.id;
            self.resolve_inherited_on(now, vm);
            self.end_allocated(now, key);
            self.roster.remove(key);
        }
    }

    /// Ends the inherited tasks that are recorded on a VM before it is removed.
    fn resolve_inherited_on(&mut self, now: Instant, vm: VmId) {
        let is_on_vm = |holder: &Holder, task: &TaskId| {
            holder.local(*task).is_some_and(|local| {
                local.try_recorded_vm() == Some(vm)
                    && matches!(local.phase, Phase::Inherited { .. })
            })
        };
        let tasks: Vec<TaskId> =
            self.inherited.iter().copied().filter(|task| is_on_vm(self, task)).collect();
        for task in tasks {
            self.end_unknown(now, task);
        }
    }

    fn end_allocated(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.roster.get(key) else { return };
        let tasks: Vec<TaskId> = worker.allocations.iter().map(|(task, _)| *task).collect();
        for task in tasks {
            let is_present = self.local(task).and_then(|local| local.try_worker()) == Some(key);
            let is_unsent = self.is_unsent(key, task);
            if is_present && is_unsent {
                self.undo_start(now, task);
            } else if is_present {
                self.end_unknown(now, task);
            }
        }
        self.forget_exit_reports(key);
    }

    /// Drops the worker of exit reports of a lost VM; they need no acknowledgement any more.
    fn forget_exit_reports(&mut self, key: WorkerKey) {
        for (_, job) in self.jobs.iter_mut() {
            for local in &mut job.tasks {
                if let Phase::Ended { worker, .. } = &mut local.phase
                    && *worker == Some(key)
                {
                    *worker = None;
                }
            }
        }
    }

    /// Records that a task's outcome is unknown; the ledger lets only restartable work run
    /// again.
    pub(crate) fn end_unknown(&mut self, now: Instant, task: TaskId) {
        let Some(local) = self.local_mut(task) else { return };
        if let Phase::Inherited { .. } = local.phase
            && local.try_recorded_vm().is_none()
        {
            // The incarnation that may have run is the one after the last recorded one.
            local.incarnation = Incarnation(local.ledger.incarnation.0 + 1);
        }
        local.phase = Phase::Ended { worker: None, exit: Exit::Unknown, recorded_at: None };
        local.notes.add(now, Reason::Ended { exit: Exit::Unknown });
        self.record_end(now, task);
    }
}
