//! Which pending tasks this data centre checks out.

use std::{cmp::Reverse, time::Duration};

use daisy_model::{Instant, JobId, Priority, Resources, TaskId};

use crate::{
    holder::Holder,
    job::JobView,
    task::Phase,
    worker::{Worker, saturating_add},
};

impl Holder {
    /// Asks for pending tasks that there is room for, and for a small reserve.
    ///
    /// The reserve is what goes on being started while the log is down.
    pub(crate) fn want(&mut self, now: Instant) {
        if !self.log_reachable || !self.is_ready() {
            return;
        }
        let mut room = self.roster.total_free();
        let mut spare = self.options.limits.reserve;
        for (_, job) in self.jobs.iter() {
            for _ in &job.waiting {
                match room.try_sub(job.size()) {
                    Some(rest) => room = rest,
                    None => spare = spare.saturating_sub(1),
                }
            }
        }
        for id in self.pending_jobs() {
            self.want_of(now, id, &mut room, &mut spare);
        }
    }

    fn pending_jobs(&self) -> Vec<JobId> {
        let mut jobs: Vec<(Reverse<Priority>, JobId)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.pending.is_empty() && !job.cancelled && !self.is_paused(job))
            .map(|(id, job)| (Reverse(job.spec.priority), *id))
            .collect();
        jobs.sort_unstable();
        jobs.into_iter().map(|(_, id)| id).collect()
    }

    fn want_of(&mut self, now: Instant, id: JobId, room: &mut Resources, spare: &mut u32) {
        let Some(job) = self.jobs.get(&id) else { return };
        if !self.roster.can_ever_hold(job.size()) {
            return;
        }
        let mut asked = Vec::new();
        for index in &job.pending {
            let Some(local) = job.tasks.get(*index as usize) else { continue };
            if !self.is_turn(now, job, *index, local.phase) {
                continue;
            }
            match room.try_sub(job.size()) {
                Some(rest) => *room = rest,
                None if *spare > 0 => *spare -= 1,
                None => break,
            }
            asked.push(*index);
        }
        for index in asked {
            let task = TaskId { job: id, index };
            let Some(local) = self.local_mut(task) else { continue };
            let (Phase::Pending { since } | Phase::Asked { since, .. }) = local.phase else {
                continue;
            };
            local.phase = Phase::Asked { since, at: now };
            self.outbox.wanted.push(task);
        }
    }

    /// Whether it is this data centre's turn to ask for a task.
    fn is_turn(&self, now: Instant, job: &JobView, index: u32, phase: Phase) -> bool {
        let Some(rank) = job.try_rank(index, self.options.dc) else { return false };
        match phase {
            Phase::Pending { since } => now >= since + self.fallback(job, rank),
            Phase::Asked { at, .. } => now >= at + self.options.limits.resend,
            _ => false,
        }
    }

    /// How long the data centres before this one are given.
    fn fallback(&self, job: &JobView, rank: u32) -> Duration {
        let limits = &self.options.limits;
        let step = if job.is_urgent() { limits.urgent_fallback } else { limits.fallback };
        step * rank
    }
}

impl crate::roster::Roster {
    /// The free room of all workers that take new work.
    pub(crate) fn total_free(&self) -> Resources {
        self.iter()
            .filter(|(_, worker)| worker.is_open())
            .map(|(_, worker)| worker.free())
            .fold(Resources::ZERO, saturating_add)
    }

    /// Whether some worker could hold `size` if nothing else ran there.
    pub(crate) fn can_ever_hold(&self, size: Resources) -> bool {
        self.iter().any(|(_, worker): (_, &Worker)| size.fits(worker.capacity))
    }
}
