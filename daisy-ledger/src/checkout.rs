//! Applies claims of data centres, and checkouts, returns, placements and exits of tasks.

use daisy_model::{DcId, Epoch, Exit, ExitReport, JobId, JobKind, Offset, Resources, TaskId, VmId};

use crate::{
    HolderClaim, Owner, Placement, RecordOutcome, State, Task, TaskState, exit,
    quota::QuotaHeadroom,
};

impl State {
    /// Applies a claim. Its epoch is its offset plus one, so that a later claim always fences an
    /// earlier one.
    pub(crate) fn claim(&mut self, offset: Offset, dc: DcId, holder: VmId) -> RecordOutcome {
        let epoch = Epoch(offset.0 + 1);
        // Two claims in one append would have the same epoch, and fencing could not distinguish
        // them: only the first takes effect.
        if self.holders.get(&dc).is_some_and(|it| it.epoch >= epoch) {
            return self.ignore_stale();
        }
        self.holders.insert(dc, HolderClaim { holder, epoch, released: false });
        RecordOutcome::Claimed(epoch)
    }

    pub(crate) fn release(&mut self, dc: DcId, epoch: Epoch) -> RecordOutcome {
        if !self.is_epoch_in_force(dc, epoch) {
            return self.ignore_stale();
        }
        if let Some(holder_claim) = self.holders.get_mut(&dc) {
            holder_claim.released = true;
        }
        RecordOutcome::Released
    }

    /// Grants the tasks that are still pending, may run and fit the quota of their team.
    pub(crate) fn checkout(&mut self, dc: DcId, epoch: Epoch, tasks: &[TaskId]) -> RecordOutcome {
        if !self.is_epoch_in_force(dc, epoch) {
            return self.ignore_stale();
        }
        let mut granted = Vec::new();
        let mut quota_headroom = QuotaHeadroom::default();
        for &task in tasks {
            if self.try_grant(task, Owner { dc, epoch }, &mut quota_headroom).is_some() {
                granted.push(task);
            }
        }
        granted.sort_unstable();
        self.jobs.dequeue(&granted);
        RecordOutcome::Granted(granted)
    }

    fn try_grant(
        &mut self,
        id: TaskId,
        owner: Owner,
        quota_headroom: &mut QuotaHeadroom,
    ) -> Option<()> {
        let job = self.jobs.get(id.job)?;
        if job.cancelled || self.is_paused(job.spec.kind, job.spec.priority) {
            return None;
        }
        let (size, team, kind) = (job.spec.size, job.team, job.spec.kind);
        if !size.fits(quota_headroom.headroom(self, team, kind)?) {
            return None;
        }
        let team = self.teams.get_mut(team)?;
        let task = self.jobs.get_mut(id.job)?.tasks.get_mut(id.index as usize)?;
        if task.state != TaskState::Pending {
            return None;
        }
        team.used = team.used.try_add(size)?;
        if kind == JobKind::Service {
            team.used_by_services = team.used_by_services.try_add(size)?;
        }
        task.size = size;
        task.state = TaskState::CheckedOut(owner);
        self.jobs.mark_modified(id.job, self.next);
        Some(())
    }

    pub(crate) fn return_tasks(
        &mut self,
        dc: DcId,
        epoch: Epoch,
        tasks: &[TaskId],
    ) -> RecordOutcome {
        if !self.is_epoch_in_force(dc, epoch) {
            return self.ignore_stale();
        }
        let effective_count =
            tasks.iter().filter(|&&task| self.try_return(dc, task).is_some()).count();
        self.count_ignored(effective_count, tasks.len())
    }

    fn try_return(&mut self, dc: DcId, id: TaskId) -> Option<()> {
        let job = self.jobs.get(id.job)?;
        let is_declared = !job.cancelled && id.index < job.spec.tasks;
        let task = self.checked_out_mut(dc, id)?;
        // An incarnation recorded as placed has started. If its task were returned, another data
        // centre could start the task a second time.
        if task.incarnation > task.ended {
            return None;
        }
        let size = task.size;
        task.state = if is_declared { TaskState::Pending } else { TaskState::Ended(Exit::Stopped) };
        self.finish_checkout(id, size);
        Some(())
    }

    pub(crate) fn record_placements(
        &mut self,
        dc: DcId,
        epoch: Epoch,
        placements: &[Placement],
    ) -> RecordOutcome {
        if !self.is_epoch_in_force(dc, epoch) {
            return self.ignore_stale();
        }
        let effective_count =
            placements.iter().filter(|&it| self.try_place(dc, it).is_some()).count();
        self.count_ignored(effective_count, placements.len())
    }

    fn try_place(&mut self, dc: DcId, placement: &Placement) -> Option<()> {
        let task = self.checked_out_mut(dc, placement.task)?;
        // The placement was recorded after its incarnation ended or a later one started.
        if placement.incarnation <= task.ended || placement.incarnation < task.incarnation {
            return None;
        }
        task.incarnation = placement.incarnation;
        task.vm = Some(placement.vm);
        self.jobs.mark_modified(placement.task.job, self.next);
        Some(())
    }

    pub(crate) fn record_exits(
        &mut self,
        dc: DcId,
        epoch: Epoch,
        exits: &[ExitReport],
    ) -> RecordOutcome {
        if !self.is_epoch_in_force(dc, epoch) {
            return self.ignore_stale();
        }
        let effective_count = exits.iter().filter(|&it| self.try_end(dc, it).is_some()).count();
        self.count_ignored(effective_count, exits.len())
    }

    fn try_end(&mut self, dc: DcId, ended: &ExitReport) -> Option<()> {
        let id = ended.task;
        let mut task = *self.checked_out_mut(dc, id)?;
        // A worker keeps an exit report until it is acknowledged, so two successive holders may
        // record it. Applied twice, it would end or resume a later incarnation.
        if ended.incarnation <= task.ended || ended.incarnation < task.incarnation {
            return None;
        }
        let job = self.jobs.get(id.job)?;
        let size = task.size;
        task.incarnation = ended.incarnation;
        task.ended = ended.incarnation;
        exit::end_incarnation(job, id.index, &mut task, ended.exit);
        *self.checked_out_mut(dc, id)? = task;
        self.finish_checkout(id, size);
        Some(())
    }

    fn checked_out_mut(&mut self, dc: DcId, id: TaskId) -> Option<&mut Task> {
        let task = self.jobs.get_mut(id.job)?.tasks.get_mut(id.index as usize)?;
        matches!(task.state, TaskState::CheckedOut(owner) if owner.dc == dc).then_some(task)
    }

    /// Updates quota, queue and job for a task of `size` that is no longer checked out.
    fn finish_checkout(&mut self, id: TaskId, size: Resources) {
        self.jobs.mark_modified(id.job, self.next);
        let Some(job) = self.jobs.get(id.job) else { return };
        if let Some(team) = self.teams.get_mut(job.team) {
            team.used = team.used.try_sub(size).unwrap_or_default();
            if job.spec.kind == JobKind::Service {
                team.used_by_services = team.used_by_services.try_sub(size).unwrap_or_default();
            }
        }
        match self.jobs.task(id).map(|task| task.state) {
            Some(TaskState::Pending) => self.jobs.enqueue(id),
            Some(TaskState::Ended(_)) => self.count_ended(id.job, 1),
            _ => {}
        }
    }

    /// Records that `count` more tasks of the job `id` have ended.
    pub(crate) fn count_ended(&mut self, id: JobId, count: u32) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.open = job.open.saturating_sub(count);
        if job.open == 0 && count > 0 {
            self.jobs.record_finished(id);
        }
    }

    fn ignore_stale(&mut self) -> RecordOutcome {
        self.counts.stale += 1;
        RecordOutcome::Stale
    }

    fn count_ignored(&mut self, effective_count: usize, total: usize) -> RecordOutcome {
        self.counts.ignored += (total - effective_count) as u64;
        RecordOutcome::TookEffect(effective_count)
    }
}
