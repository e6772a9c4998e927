//! Jobs with ready tasks of which none runs.
//!
//! This handles the case of more accepted work than the workers do. Jobs that cannot be in time go
//! last, so that the others still are, and as long as the load lasts there are always others. Two
//! rules bound how long a job stands still: one start in [`STARTS_PER_TURN`] goes to the job that
//! has been idle for longest, and beside free capacity no job is idle that is late, or that nobody
//! follows.

use std::time::Duration;

use daisy_model::Instant;

use super::Owner;
use crate::{JobId, JobKind};

/// Time without a new job after which a shard only works off what it has accepted.
const ARRIVALS_ENDED_AFTER: Duration = Duration::from_millis(2_500);
/// How long a finite job is idle until it takes turns.
const MIN_IDLE_FOR_TURN: Duration = Duration::from_secs(10);
/// The number of starts of finite tasks for each turn. A turn costs one start, but may make a job of
/// many tasks late. A job that has its turn and of which no task is started meanwhile fits nowhere, and
/// must not take the turns of others.
const STARTS_PER_TURN: u32 = 64;

/// Which idle job has its turn, and how many starts there were since it was given.
#[derive(Debug, Default)]
pub(super) struct Turns {
    current: Option<JobId>,
    starts: u32,
}

impl Turns {
    /// Notes a start of a finite task.
    pub(super) fn task_started(&mut self) {
        self.starts += 1;
    }
}

impl Owner {
    /// Updates since when a job has a ready step and no run.
    pub(super) fn update_idle(&mut self, now: Instant, id: JobId, is_ready: bool) {
        let has_runs = self.ledger.job(id).is_some_and(|job| {
            let mut tasks = job.progress.occurrences.iter().flatten().flatten();
            tasks.any(|it| !it.copies.is_empty() || it.on_other_shard && !it.done)
        });
        let Some(view) = self.active.get_mut(&id) else { return };
        view.idle_since = match is_ready && !has_runs {
            true => view.idle_since.or(Some(now)),
            false => None,
        };
    }

    /// Whether at least half of the processors of usable workers are not reserved.
    pub(super) fn has_free_capacity(&self, now: Instant) -> bool {
        let (mut free, mut capacity) = (0, 0);
        for (_, it) in self.workers.iter().filter(|(_, it)| self.is_usable(now, it)) {
            free += u64::from(it.free().cpu_milli);
            capacity += u64::from(it.capacity.cpu_milli);
        }
        free * 2 >= capacity
    }

    /// Whether one task of a job is to start beside free capacity even where it is throttled. While
    /// it can be in time, a job gains more by waiting until it can run at full pace, as long as the
    /// queue also serves jobs that arrive.
    pub(super) fn is_starved(&self, now: Instant, id: JobId) -> bool {
        let arrivals_ended = now.since(self.last_arrival_at) >= ARRIVALS_ENDED_AFTER;
        self.active
            .get(&id)
            .is_some_and(|it| it.idle_since.is_some() && (arrivals_ended || now > it.objective))
    }

    /// Returns the job whose turn it is to start a task before more urgent finite jobs, if any.
    pub(super) fn take_turn(&mut self, now: Instant) -> Option<JobId> {
        if let Some(id) = self.turns.current {
            let idle_since = self.active.get_mut(&id).and_then(|it| it.idle_since.as_mut());
            match idle_since {
                Some(_) if self.turns.starts < STARTS_PER_TURN => return Some(id),
                Some(since) => *since = now,
                None => {}
            }
            self.turns.current = None;
        }
        if !self.settings.rules.idle_turns || self.turns.starts < STARTS_PER_TURN {
            return None;
        }
        let idle = self.active.iter().filter_map(|(id, view)| {
            let is_finite = self.ledger.job(*id)?.spec.kind() != JobKind::LongRunning;
            Some((view.idle_since.filter(|_| is_finite)?, *id))
        });
        let (_, id) = idle.min().filter(|(since, _)| now.since(*since) >= MIN_IDLE_FOR_TURN)?;
        self.turns = Turns { current: Some(id), starts: 0 };
        Some(id)
    }
}
