//! Tasks that an earlier holder checked out, and VMs that are gone.
//!
//! What a dead holder started without having recorded it may run on any worker; it is
//! started again only when it can run on none.

use std::time::Duration;

use daisy_model::{Exit, Incarnation, Instant, TaskId, VmId};

use crate::{
    holder::Holder,
    reason::{Reason, Wait},
    task::{Local, Phase},
    worker::{Standing, WorkerKey},
};

/// What is known of an inherited task.
enum Fate {
    /// It runs or its exit report waits on a worker that has not answered.
    Blocked,
    /// No worker has it, and no earlier start can still take effect.
    NeverStarted,
    /// No worker has it, and it may have run.
    Unknown,
}

impl Holder {
    /// Notes a task that an earlier epoch checked out.
    pub(crate) fn inherit(&mut self, now: Instant, task: TaskId) {
        self.set_phase(task, Phase::Inherited { since: now });
        self.inherited.push(task);
        // It may have been reported before the fold showed it.
        let keys = self.roster.keys();
        for key in keys {
            let held = self.roster.get(key).and_then(|it| it.held.get(&task)).copied();
            if let Some(held) = held {
                if let Some(local) = self.local_mut(task) {
                    local.phase = Phase::Running { worker: key };
                    local.incarnation = held.incarnation;
                }
                self.record_place(now, task);
            }
        }
    }

    /// Decides on inherited tasks whose workers have all answered or are gone.
    pub(crate) fn resolve_inherited(&mut self, now: Instant) {
        if self.inherited.is_empty() || !std::mem::take(&mut self.inherit_due) {
            return;
        }
        let is_all_known = self.is_all_known(now);
        let tasks = std::mem::take(&mut self.inherited);
        for task in tasks {
            match self.fate(now, task, is_all_known) {
                None => {}
                Some(Fate::Blocked) => {
                    self.note_blocked(now, task);
                    self.inherited.push(task);
                }
                Some(Fate::NeverStarted) => self.wait_again(now, task),
                Some(Fate::Unknown) => self.end_unknown(now, task),
            }
        }
    }

    fn note_blocked(&mut self, now: Instant, task: TaskId) {
        let vm = self.local(task).and_then(Local::try_recorded_vm);
        let worker = vm.and_then(|vm| self.roster.try_key(vm)).and_then(|key| self.roster.get(key));
        let vm = worker.map(|worker| worker.label.clone());
        self.note(now, task, Reason::Waits(Wait::Blocked { vm }));
    }

    fn fate(&self, now: Instant, task: TaskId, is_all_known: bool) -> Option<Fate> {
        let local = self.local(task)?;
        let Phase::Inherited { .. } = local.phase else { return None };
        let is_restartable = self.jobs.get(&task.job).is_some_and(|job| job.spec.restartable);
        Some(match local.try_recorded_vm() {
            // A start that is recorded first: no record, no start.
            None if !is_restartable => Fate::NeverStarted,
            None if is_all_known => Fate::Unknown,
            None => Fate::Blocked,
            Some(vm) if self.is_settled(now, vm) => Fate::Unknown,
            Some(_) => Fate::Blocked,
        })
    }

    /// Whether a worker can no longer run what an earlier epoch started there unseen.
    fn is_settled(&self, now: Instant, vm: VmId) -> bool {
        match self.roster.try_key(vm).and_then(|key| self.roster.get(key)) {
            Some(worker) if worker.heard => true,
            Some(worker) => self.is_gone_for_good(now, worker.standing, worker.called_at),
            None => self.is_list_settled(),
        }
    }

    /// Whether every worker that an unrecorded start may have reached is accounted for.
    ///
    /// A VM that left the list just before we became the holder is not known to us at all,
    /// and one that was just added is not in our list yet: only a list that is a lease
    /// younger than our claim rules both out.
    fn is_all_known(&self, now: Instant) -> bool {
        self.is_list_settled()
            && self.roster.iter().all(|(_, worker)| {
                worker.heard || self.is_gone_for_good(now, worker.standing, worker.called_at)
            })
    }

    fn is_list_settled(&self) -> bool {
        let Some(started) = self.started else { return false };
        self.roster.list_at().is_some_and(|at| at >= started + self.gone_wait())
    }

    /// Whether a VM has been missing from the list for longer than any lease that anyone
    /// gave it can last.
    ///
    /// Before that its tasks may still run, and starting them elsewhere would run them in
    /// two places. The lease is counted from the last call that may have reached the VM.
    fn is_gone_for_good(&self, now: Instant, standing: Standing, called: Option<Instant>) -> bool {
        let Standing::Unlisted { since } = standing else { return false };
        let renewed = called.map_or(since, |at| at.max(since));
        now >= renewed + self.gone_wait()
    }

    fn gone_wait(&self) -> Duration {
        self.options.lease + self.options.limits.gone_margin
    }

    /// Ends what ran on VMs that are gone for good, and forgets the VMs.
    pub(crate) fn settle_gone(&mut self, now: Instant) {
        for key in self.roster.keys() {
            let Some(worker) = self.roster.get(key) else { continue };
            if !self.is_gone_for_good(now, worker.standing, worker.called_at) {
                continue;
            }
            let vm = worker.id;
            self.resolve_of(now, vm);
            self.end_held(now, key);
            self.roster.remove(key);
        }
    }

    /// Decides on the inherited tasks recorded on a VM before it is forgotten.
    fn resolve_of(&mut self, now: Instant, vm: VmId) {
        let of_vm = |holder: &Holder, task: &TaskId| {
            holder.local(*task).is_some_and(|local| {
                local.try_recorded_vm() == Some(vm)
                    && matches!(local.phase, Phase::Inherited { .. })
            })
        };
        let tasks: Vec<TaskId> =
            self.inherited.iter().copied().filter(|task| of_vm(self, task)).collect();
        for task in tasks {
            self.end_unknown(now, task);
        }
    }

    fn end_held(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.roster.get(key) else { return };
        let tasks: Vec<TaskId> = worker.held.iter().map(|(task, _)| *task).collect();
        for task in tasks {
            let is_there = self.local(task).and_then(|local| local.try_worker()) == Some(key);
            let is_unsent = self.is_unsent(key, task);
            if is_there && is_unsent {
                self.take_back(now, task);
            } else if is_there {
                self.end_unknown(now, task);
            }
        }
        self.forget_ended(key);
    }

    /// Exit reports of a VM that is gone need no acknowledgement any more.
    fn forget_ended(&mut self, key: WorkerKey) {
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

    /// Records that a task's fate is unknown; the ledger lets only restartable work run again.
    pub(crate) fn end_unknown(&mut self, now: Instant, task: TaskId) {
        let Some(local) = self.local_mut(task) else { return };
        if let Phase::Inherited { .. } = local.phase
            && local.try_recorded_vm().is_none()
        {
            // The incarnation that may have run is the one after the last recorded.
            local.incarnation = Incarnation(local.ledger.incarnation.0 + 1);
        }
        local.phase = Phase::Ended { worker: None, exit: Exit::Unknown, asked: None };
        local.notes.add(now, Reason::Ended { exit: Exit::Unknown });
        self.record_end(now, task);
    }
}
