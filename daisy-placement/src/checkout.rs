//! Selects the pending tasks that this data centre checks out, and the checked-out tasks that it
//! returns.

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

/// The longest that a data centre of another region waits because of `region_bytes`.
const MAX_REGION_WAIT: Duration = Duration::from_secs(600);

/// How much may still be checked out.
#[derive(Debug)]
struct CheckoutBudget {
    /// Free capacity that remains after all waiting checked-out tasks are placed.
    free_capacity: Resources,
    /// The number of tasks beyond the free capacity, as work for an outage of the log.
    reserve: u32,
    /// The number of urgent tasks beyond the free capacity; they may evict other tasks.
    urgent_reserve: u32,
}

impl CheckoutBudget {
    /// Takes the size of a task from the free capacity, or else one task from the reserve.
    ///
    /// `fits_one_worker` tells whether some single worker has the capacity: the sum of many
    /// small remainders does not mean that.
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
    /// Requests checkouts of pending tasks for which there is free capacity, and of a small
    /// reserve.
    ///
    /// The tasks in the reserve can be started while the log is down.
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
            let fits_one_worker = self.roster.has_free_capacity(job.size());
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
        if !self.roster.can_ever_fit(size) {
            return self.note_never_fits(now, id, size);
        }
        let fits_one_worker = self.roster.has_free_capacity(size);
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

    /// Records why no worker can fit a job's tasks. This is recorded once per size, since the
    /// search for the smallest shortfall visits every worker.
    fn note_never_fits(&mut self, now: Instant, id: JobId, size: Resources) {
        let is_noted =
            self.jobs.get(&id).and_then(|job| job.wait_reason.as_ref()).is_some_and(|wait| {
                matches!(
                    wait.reason,
                    Reason::NotRunning(WaitReason::NeverFits { size: it, .. }) if it == size
                )
            });
        if !is_noted {
            let shortfall = self.smallest_shortfall_when_empty(size);
            self.set_job_wait_reason(now, id, WaitReason::NeverFits { size, shortfall });
        }
    }

    /// Whether this data centre may request the checkout of a task now.
    fn may_check_out(&self, now: Instant, job: &JobView, index: u32, phase: Phase) -> bool {
        let Some(rank) = job.try_rank(index, self.options.dc) else { return false };
        match phase {
            Phase::Pending { since } => now >= since + self.fallback_delay(job, rank),
            Phase::CheckoutRequested { at, .. } => now >= at + self.options.limits.resend_after,
            _ => false,
        }
    }

    /// Returns how long this data centre leaves a task to the data centres that precede it.
    ///
    /// A data centre in another region than the job's data waits in addition for the time that
    /// the transfer of `region_bytes` would take at the rate that the policy allows: for that
    /// long, waiting costs no more time than the transfer.
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

    /// Ends tasks for good that have found no capacity for long, if their job allows it.
    ///
    /// Data centres return tasks that find no capacity, so the time counts from when the job was
    /// first seen. Each data centre first searches for half the time after which it returns a
    /// task.
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

    /// Returns checked-out tasks of the included jobs that have waited at least `min_wait` for
    /// capacity.
    ///
    /// Tasks that may have started are left out: their outcome has to be known first.
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
                    && local.placement_recorded_at.is_none();
                if never_started && now >= since + min_wait {
                    tasks.push(TaskId { job: *id, index: *index });
                }
            }
        }
        tasks
    }

    /// Returns tasks that found no capacity for `return_after` to the ledger, so that other data
    /// centres may check them out.
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
    /// Returns the free capacity of all workers that take new work.
    fn total_free(&self) -> Resources {
        self.iter()
            .filter(|(_, worker)| worker.is_open())
            .map(|(_, worker)| worker.free())
            .fold(Resources::ZERO, saturating_add)
    }
}

/// Takes a size from a team's quota if it fits; the ledger makes the final decision.
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
