//! Which pending tasks this data centre checks out, and which it gives back.

use std::{cmp::Reverse, time::Duration};

use daisy_model::{DcId, Exit, Incarnation, Instant, JobId, Priority, Resources, TaskId};

use crate::{
    holder::Holder,
    job::JobView,
    reason::{Reason, WaitReason},
    roster::Roster,
    task::{LocalTask, Phase},
    worker::saturating_add,
};

/// The longest that a data centre of another region waits for the sake of bytes.
const MAX_REGION_WAIT: Duration = Duration::from_secs(600);

/// What may still be asked for.
#[derive(Debug)]
struct CheckoutBudget {
    /// Room that nothing checked out is going to take.
    free_capacity: Resources,
    /// Tasks beyond the room, for an outage of the log.
    reserve: u32,
    /// The same for urgent work, which may evict.
    urgent_reserve: u32,
}

impl CheckoutBudget {
    /// Takes a task's room, or else one of the spare places.
    ///
    /// `fits_one_worker` tells whether any single worker has room: the sum of many small rests does not.
    fn try_reserve(&mut self, job: &JobView, fits_one_worker: bool) -> Option<()> {
        if let Some(rest) = self.free_capacity.try_sub(job.size()).filter(|_| fits_one_worker) {
            self.free_capacity = rest;
            return Some(());
        }
        let reserve = if job.is_urgent() { &mut self.urgent_reserve } else { &mut self.reserve };
        *reserve = reserve.checked_sub(1)?;
        Some(())
    }
}

impl Holder {
    /// Asks for pending tasks that there is room for, and for a small reserve.
    ///
    /// The reserve is what goes on being started while the log is down.
    pub(crate) fn check_out_pending(&mut self, now: Instant) {
        if !self.log_reachable || !self.is_ready() {
            return;
        }
        let jobs = self.pending_jobs();
        if jobs.is_empty() {
            return;
        }
        let mut budget = self.budget();
        for id in jobs {
            self.check_out_job(now, id, &mut budget);
        }
    }

    fn budget(&self) -> CheckoutBudget {
        let reserve_tasks = self.options.limits.reserve_tasks;
        let free_capacity = self.roster.total_free();
        let mut budget =
            CheckoutBudget { free_capacity, reserve: reserve_tasks, urgent_reserve: reserve_tasks };
        for (_, id) in &self.queue {
            let Some(job) = self.jobs.get(id) else { continue };
            let fits_one_worker = self.roster.has_free(job.size());
            for _ in &job.waiting {
                if budget.try_reserve(job, fits_one_worker).is_none() {
                    break;
                }
            }
        }
        budget
    }

    fn pending_jobs(&self) -> Vec<JobId> {
        let mut jobs: Vec<(Reverse<Priority>, JobId)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.pending.is_empty() && !job.cancelled)
            .map(|(id, job)| (Reverse(job.spec.priority), *id))
            .collect();
        jobs.sort_unstable();
        jobs.into_iter().map(|(_, id)| id).collect()
    }

    fn check_out_job(&mut self, now: Instant, id: JobId, budget: &mut CheckoutBudget) {
        let Some(job) = self.jobs.get(&id) else { return };
        if self.is_paused(job) {
            return self.set_job_wait_reason(now, id, WaitReason::Paused);
        }
        let size = job.size();
        if !self.roster.can_ever_hold(size) {
            return self.note_never_fits(now, id, size);
        }
        let fits_one_worker = self.roster.has_free(size);
        let team = usize::from(job.team.0);
        let mut quota = self.teams.get(team).copied();
        let mut to_check_out = Vec::new();
        let mut wait = None;
        for index in &job.pending {
            let Some(local) = job.tasks.get(*index as usize) else { continue };
            if !self.may_check_out(now, job, *index, local.phase) {
                wait.get_or_insert(WaitReason::OtherDataCentreFirst);
                continue;
            }
            if !take_quota(&mut quota, size) {
                wait = Some(WaitReason::Quota);
                break;
            }
            if budget.try_reserve(job, fits_one_worker).is_none() {
                break;
            }
            to_check_out.push(*index);
        }
        if let Some(quota) = quota {
            self.teams[team] = quota;
        }
        if let Some(wait) = wait {
            self.set_job_wait_reason(now, id, wait);
        }
        for index in to_check_out {
            self.request_checkout(now, TaskId { job: id, index });
        }
    }

    fn request_checkout(&mut self, now: Instant, task: TaskId) {
        let Some(local) = self.local_mut(task) else { return };
        let (Phase::Pending { since } | Phase::CheckoutRequested { since, .. }) = local.phase
        else {
            return;
        };
        local.phase = Phase::CheckoutRequested { since, at: now };
        self.outbox.checkouts.push(task);
    }

    fn set_job_wait_reason(&mut self, now: Instant, id: JobId, wait: WaitReason) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.set_wait_reason(now, wait);
        }
    }

    /// Said once and kept: the search for the nearest miss looks at every worker.
    fn note_never_fits(&mut self, now: Instant, id: JobId, size: Resources) {
        let is_noted = self.jobs.get(&id).and_then(|job| job.wait_reason.as_ref()).is_some_and(|wait| {
            matches!(wait.reason, Reason::NotRunning(WaitReason::NeverFits { size: it, .. }) if it == size)
        });
        if !is_noted {
            let shortfall = self.smallest_shortfall_when_empty(size);
            self.set_job_wait_reason(now, id, WaitReason::NeverFits { size, shortfall });
        }
    }

    /// Whether it is this data centre's turn to ask for a task.
    fn may_check_out(&self, now: Instant, job: &JobView, index: u32, phase: Phase) -> bool {
        let Some(rank) = job.try_rank(index, self.options.dc) else { return false };
        match phase {
            Phase::Pending { since } => now >= since + self.fallback_delay(job, rank),
            Phase::CheckoutRequested { at, .. } => now >= at + self.options.limits.resend_after,
            _ => false,
        }
    }

    /// How long the data centres before this one are given.
    ///
    /// One in another region than the job's data waits besides for as long as the bytes
    /// would take at the rate that the policy allows: by then it is no later than they are.
    fn fallback_delay(&self, job: &JobView, rank: u32) -> Duration {
        let limits = &self.options.limits;
        let step =
            if job.is_urgent() { limits.urgent_fallback_delay } else { limits.fallback_delay };
        if rank == 0 || !self.is_in_other_region(job) {
            return step * rank;
        }
        let millis = job.spec.region_bytes.saturating_mul(1000) / self.policy.region_bytes.max(1);
        step * rank + Duration::from_millis(millis).min(MAX_REGION_WAIT)
    }

    fn is_in_other_region(&self, job: &JobView) -> bool {
        let region =
            |dc: DcId| self.options.data_centres.get(usize::from(dc.0)).map(|dc| dc.region);
        job.try_first_choice().is_some_and(|first| region(first) != region(self.options.dc))
    }

    /// Ends tasks for good that found no room for long, if operators allow it.
    ///
    /// Data centres pass a task on that finds no room, so the time counts from when its job was
    /// seen, and each data centre first looks for room as long as before it gives a task back.
    pub(crate) fn refuse_overdue(&mut self, now: Instant) {
        let (refuse, min_wait) =
            (self.options.limits.refuse_after, self.options.limits.return_after / 2);
        let is_overdue = |job: &JobView| {
            let allowed = job.spec.tolerance.refuse && !job.is_service();
            allowed && now >= job.known_since + refuse && !self.is_paused(job)
        };
        for task in self.unstarted(now, min_wait, is_overdue) {
            let never_ran = |local: &LocalTask| local.ledger.incarnation == Incarnation(0);
            if self.local(task).is_some_and(never_ran) {
                self.end_unstarted_as(now, task, Exit::Refused);
            }
        }
    }

    /// Checked-out tasks of some jobs that wait for room since `min_wait` or longer.
    ///
    /// What may have started is left out: it has to be settled first.
    fn unstarted(
        &self,
        now: Instant,
        min_wait: Duration,
        is_included: impl Fn(&JobView) -> bool,
    ) -> Vec<TaskId> {
        let mut tasks = Vec::new();
        for (_, id) in &self.queue {
            let Some(job) = self.jobs.get(id).filter(|job| is_included(job)) else { continue };
            for index in &job.waiting {
                let Some(local) = job.tasks.get(*index as usize) else { continue };
                let Phase::Waiting { since } = local.phase else { continue };
                let never_started = local.next_incarnation() == local.ledger.next_incarnation()
                    && local.placed_at.is_none();
                if never_started && now >= since + min_wait {
                    tasks.push(TaskId { job: *id, index: *index });
                }
            }
        }
        tasks
    }

    /// Gives tasks back that found no room for a while, so that others may take them.
    pub(crate) fn return_unplaced(&mut self, now: Instant) {
        if self.options.data_centres.len() < 2 || !self.log_reachable {
            return;
        }
        let min_wait = self.options.limits.return_after;
        for task in self.unstarted(now, min_wait, |_| true) {
            self.remove_from_queue(task);
            self.set_phase(task, Phase::Returned { at: now });
            self.note(now, task, Reason::Returned);
            self.outbox.returns.push(task);
        }
    }
}

impl Roster {
    /// The free room of all workers that take new work.
    fn total_free(&self) -> Resources {
        self.iter()
            .filter(|(_, worker)| worker.is_open())
            .map(|(_, worker)| worker.free())
            .fold(Resources::ZERO, saturating_add)
    }
}

/// Takes from a team's quota, if it has room; the ledger has the last word.
fn take_quota(quota: &mut Option<(Resources, Resources)>, size: Resources) -> bool {
    let Some((limit, used)) = quota else { return true };
    match used.try_add(size) {
        Some(sum) if sum.fits(*limit) => {
            *used = sum;
            true
        }
        _ => false,
    }
}
