//! Placement: which worker a checked-out task starts on.

use std::{cmp::Reverse, time::Duration};

use daisy_ledger::Placement;
use daisy_model::{
    Incarnation, Instant, JobId, JobKind, Order, Priority, Resources, TaskId, VmId, WorkClass,
};

use crate::{
    holder::Holder,
    job::JobView,
    reason::{Miss, Reason, Wait},
    task::{Local, Phase},
    worker::{Ending, Held, Hold, WorkerKey},
};

/// A share that is not limited, in thousandths.
pub(crate) const FULL_SHARE: u32 = 1000;

/// How long work waits for a worker where it disturbs nobody much.
const PATIENCE: Duration = Duration::from_secs(30);

/// Between two looks at work that was put off.
const LOOK_PERIOD: Duration = Duration::from_millis(500);

/// A place in line: urgent work first, then the older job.
pub(crate) type Turn = (Reverse<Priority>, JobId);

impl Holder {
    /// Starts what waits, as far as there is room.
    pub(crate) fn place(&mut self, now: Instant) {
        if !std::mem::take(&mut self.place_due) {
            return;
        }
        let line = std::mem::take(&mut self.line);
        for (_, id) in &line {
            self.place_job(now, *id);
        }
        // Tasks that came back in line meanwhile have put their jobs in a new one.
        let added = std::mem::replace(&mut self.line, line);
        for turn in added {
            if let Err(at) = self.line.binary_search(&turn) {
                self.line.insert(at, turn);
            }
        }
        let jobs = &self.jobs;
        self.line.retain(|(_, id)| jobs.get(id).is_some_and(|job| !job.waiting.is_empty()));
    }

    fn place_job(&mut self, now: Instant, id: JobId) {
        while let Some(index) = self.try_next(now, id) {
            let task = TaskId { job: id, index };
            match self.choose(now, task) {
                Some(key) => {
                    self.leave_front(id);
                    self.start(now, key, task, Hold::Queued);
                }
                None if self.try_evict(now, id, index).is_some() => {}
                None if self.jobs.get(&id).is_some_and(|job| now < job.look_at) => return,
                None => return self.note_no_room(now, task),
            }
        }
    }

    /// The next task of a job that may start now.
    fn try_next(&mut self, now: Instant, id: JobId) -> Option<u32> {
        let is_paused = self.jobs.get(&id).is_some_and(|job| self.is_paused(job));
        let log_reachable = self.log_reachable;
        let job = self.jobs.get_mut(&id)?;
        let index = job.waiting.front().copied()?;
        let local = job.tasks.get(index as usize)?;
        if is_paused {
            job.waits(now, Wait::Paused);
            return None;
        }
        if is_recorded_first(local, job.spec.restartable) && !log_reachable {
            job.waits(now, Wait::LogDown);
            return None;
        }
        if job.faults.retry_at.is_some_and(|at| now < at) || now < job.look_at {
            return None;
        }
        Some(index)
    }

    fn leave_front(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.waiting.pop_front();
            job.wait = None;
        }
    }

    /// The best of a few workers with room.
    fn choose(&mut self, now: Instant, task: TaskId) -> Option<WorkerKey> {
        let size = self.start_size(task)?;
        let mut found = Vec::new();
        self.roster.find(size, self.options.limits.candidates, &mut found);
        let weighed = found.len();
        let racks = self.racks_of(task.job);
        let job = self.jobs.get(&task.job)?;
        let best = found.into_iter().min_by_key(|key| self.cost(job, size, &racks, *key))?;
        if self.is_better_later(now, task, best) {
            self.put_off(now, task.job);
            return None;
        }
        let vm = self.roster.get(best)?.label.clone();
        self.note(now, task, Reason::Placed { vm, weighed });
        Some(best)
    }

    /// Whether a task that may be delayed should leave its place to quieter work for now.
    ///
    /// On a full cluster room comes free one worker at a time, and there is nothing to
    /// choose but who takes it: noisy work would gather wherever it happens to come free.
    fn is_better_later(&self, now: Instant, task: TaskId, key: WorkerKey) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let Some(worker) = self.roster.get(key) else { return false };
        let Some(local) = job.tasks.get(task.index as usize) else { return false };
        let Phase::Waiting { since } = local.phase else { return false };
        let may_wait = job.spec.tolerance.delay && !job.is_service() && now < since + PATIENCE;
        may_wait && self.is_too_much(job, worker)
    }

    /// Looks at a job again after a moment, not at each report that brings a little room.
    fn put_off(&mut self, now: Instant, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.look_at = now + LOOK_PERIOD;
        }
    }

    /// What a task is started with: as checked out, or more if more was seen in use.
    pub(crate) fn start_size(&self, task: TaskId) -> Option<Resources> {
        let job = self.jobs.get(&task.job)?;
        let declared = job.tasks.get(task.index as usize)?.ledger.size;
        Some(job.seen.corrected(declared, self.roster.largest()))
    }

    /// Takes room on a worker and orders the start, or waits with it for room or record.
    ///
    /// See `is_recorded_first` for what has to be recorded before the order.
    pub(crate) fn start(&mut self, now: Instant, key: WorkerKey, task: TaskId, hold: Hold) {
        let Some(size) = self.start_size(task) else { return };
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.quiet = false;
        let (is_restartable, class) = (job.spec.restartable, job.class());
        let Some(local) = job.tasks.get_mut(task.index as usize) else { return };
        let is_recorded_first = is_recorded_first(local, is_restartable);
        local.incarnation = local.next_incarnation();
        local.phase = Phase::Starting { worker: key };
        let incarnation = local.incarnation;
        let checkpoint = local.ledger.checkpoint;
        let hold = if is_recorded_first && hold == Hold::Queued { Hold::Reserved } else { hold };
        let Some(worker) = self.roster.get_mut(key) else { return };
        let ending = Ending::No;
        let share = FULL_SHARE;
        let settled = false;
        worker.hold(
            task,
            Held { incarnation, size, hold, ending, share, since: now, class, settled },
        );
        worker.faults.note_start();
        let vm = worker.id;
        if hold == Hold::Queued {
            worker.orders.push(Order::Start { task, incarnation, size, checkpoint });
            self.roster.touch(key);
        } else if hold == Hold::Reserved {
            self.record_start(now, task, incarnation, vm);
        }
        self.roster.reindex(key);
    }

    /// Orders a start that the ledger has just shown, or records it again.
    pub(crate) fn start_recorded(&mut self, now: Instant, key: WorkerKey, task: TaskId) {
        let resend = self.options.limits.resend;
        let Some(local) = self.local(task) else { return };
        let is_lost = local.placed_at.is_some_and(|at| now >= at + resend);
        let incarnation = local.incarnation;
        let checkpoint = local.ledger.checkpoint;
        let shown = (local.ledger.incarnation, local.ledger.vm);
        let Some(worker) = self.roster.get_mut(key) else { return };
        let vm = worker.id;
        let Some(held) = worker.held.get_mut(&task) else { return };
        if held.hold != Hold::Reserved {
            return;
        }
        if shown != (incarnation, Some(vm)) {
            if is_lost {
                self.record_start(now, task, incarnation, vm);
            }
            return;
        }
        held.hold = Hold::Queued;
        let size = held.size;
        worker.orders.push(Order::Start { task, incarnation, size, checkpoint });
        self.roster.touch(key);
    }

    fn record_start(&mut self, now: Instant, task: TaskId, incarnation: Incarnation, vm: VmId) {
        if let Some(local) = self.local_mut(task) {
            local.placed_at = Some(now);
        }
        self.outbox.placed.push(Placement { task, incarnation, vm });
    }

    pub(crate) fn is_unsent(&self, key: WorkerKey, task: TaskId) -> bool {
        let held = self.roster.get(key).and_then(|worker| worker.held.get(&task));
        held.is_some_and(|held| held.hold.is_unsent())
    }

    /// Says why the first task in line found no room, with the nearest miss.
    ///
    /// The search looks at every worker, so it is made at most once a second for a job.
    fn note_no_room(&mut self, now: Instant, task: TaskId) {
        const PERIOD_MS: u128 = 1_000;
        self.no_room_at = Some(now);
        let Some(size) = self.start_size(task) else { return };
        let Some(job) = self.jobs.get(&task.job) else { return };
        let is_fresh = job.wait.as_ref().is_some_and(|wait| {
            let is_room = matches!(wait.reason, Reason::Waits(Wait::NoRoom { .. }));
            is_room && now.since(wait.at).as_millis() < PERIOD_MS
        });
        if is_fresh {
            return;
        }
        let wait = Wait::NoRoom { size, miss: self.nearest_miss(size) };
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.waits(now, wait);
        }
    }

    /// The open worker that lacks the least for `size`.
    pub(crate) fn nearest_miss(&self, size: Resources) -> Option<Miss> {
        let open = self.roster.iter().filter(|(_, worker)| worker.is_open());
        let misses = open.map(|(_, worker)| {
            let short = shortage(size, worker.free());
            (relative(short, worker.capacity), &worker.label, short)
        });
        let (_, vm, short) = misses.min_by_key(|(lack, ..)| *lack)?;
        Some(Miss { vm: vm.clone(), short })
    }

    /// The worker that would lack the least for `size` if it were empty.
    pub(crate) fn nearest_whole_miss(&self, size: Resources) -> Option<Miss> {
        let misses = self.roster.iter().map(|(_, worker)| {
            let short = shortage(size, worker.capacity);
            (relative(short, worker.capacity), &worker.label, short)
        });
        let (_, vm, short) = misses.min_by_key(|(lack, ..)| *lack)?;
        Some(Miss { vm: vm.clone(), short })
    }

    /// Whether an operator has paused the class of a job.
    pub(crate) fn is_paused(&self, job: &JobView) -> bool {
        self.paused.iter().any(|class| match class {
            WorkClass::Batch => job.spec.kind == JobKind::Batch,
            WorkClass::Priority(priority) => job.spec.priority == *priority,
        })
    }
}

/// What `room` lacks for `size`.
fn shortage(size: Resources, room: Resources) -> Resources {
    Resources {
        cpu_milli: size.cpu_milli.saturating_sub(room.cpu_milli),
        memory_mib: size.memory_mib.saturating_sub(room.memory_mib),
        accelerators: size.accelerators.saturating_sub(room.accelerators),
    }
}

/// A shortage in thousandths of what a worker holds, its parts summed.
fn relative(short: Resources, whole: Resources) -> u64 {
    let part = |short: u32, whole: u32| u64::from(short) * 1000 / u64::from(whole.max(1));
    part(short.cpu_milli, whole.cpu_milli)
        + part(short.memory_mib, whole.memory_mib)
        + part(short.accelerators, whole.accelerators)
}

/// Whether a start has to be in the ledger before it is ordered.
///
/// Restartable work starts at once and is recorded afterwards. Work that must not run again
/// when its fate is unknown is recorded first: else a new holder could not tell a task that
/// never started from one that ran on a VM which is gone. So is any incarnation but the one
/// after the last ended: a new holder takes that one for started, and would give the
/// number of a later one out a second time.
fn is_recorded_first(local: &Local, is_restartable: bool) -> bool {
    !is_restartable || local.next_incarnation() != local.ledger.next_incarnation()
}
