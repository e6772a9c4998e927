//! What late usage reports lead to: learning, limits on batch work, and relief of services.

use std::time::Duration;

use daisy_model::{Instant, Order, TaskId, Usage};

use crate::{
    holder::Holder,
    interference::Interference,
    kind::Kind,
    place::FULL_SHARE,
    reason::Reason,
    throttle::{LEVELS, Signal, TARGET, ThrottleControl, ThrottleRule},
    worker::{Ending, Hold, Worker, WorkerKey},
};

/// How late usage is taken to be reported.
const LAG: Duration = Duration::from_secs(6);
/// Between two looks at a worker's usage to learn from it.
const LEARN_PERIOD: Duration = Duration::from_secs(5);
/// What a noisy task is expected to add to the services beside it, in thousandths.
pub(crate) const NOISY: f32 = 40.0;
/// Between two tasks made to leave one worker: the effect of the first shows that late.
const RELIEF_PERIOD: Duration = Duration::from_secs(30);
/// A changed limit is ordered only if it differs by more than this, in thousandths.
const SHARE_STEP: u32 = 40;

impl Holder {
    /// Takes a worker's usage in.
    pub(crate) fn control(&mut self, now: Instant, key: WorkerKey, usage: &[Usage]) {
        if usage.is_empty() {
            return;
        }
        if let Some(worker) = self.worker_mut(key) {
            worker.remember(now, LAG);
        }
        if let Some(worker) = self.worker_mut(key).filter(|it| now >= it.learn_at) {
            worker.learn_at = now + LEARN_PERIOD;
            self.learn(now, key, usage);
        }
        let Some(slowdown) = self.worst_service(key, usage) else {
            self.set_share(now, key, FULL_SHARE, 1000, None);
            return;
        };
        let busy = self.busy(key, usage);
        let limit = self.policy.throttle_above;
        let of_policy = || ThrottleControl::of(&self.policy.objective);
        let control = self.options.limits.control.unwrap_or_else(of_policy);
        let backlog = self.backlog;
        let patience = ThrottleControl::patience(&self.policy.objective);
        let Some(worker) = self.worker_mut(key) else { return };
        let share = worker.throttle.step(now, control.rule, Signal { slowdown, busy, limit });
        let is_stuck = worker.throttle.is_stuck(now, patience);
        let is_crowded = busy > limit;
        let interfering_only = control.interfering_only && !is_crowded;
        let noisy = if interfering_only { self.noisy_kinds(key) } else { None };
        let share = match (&noisy, control.rule) {
            (Some(_), _) => share.min(control.ceiling.share(backlog)).min(self.foreseen_share(key)),
            // A fixed share is meant for noisy kinds, and there are none.
            (None, ThrottleRule::Static(_)) if control.interfering_only && !is_crowded => {
                FULL_SHARE
            }
            (None, _) => share,
        };
        self.set_share(now, key, share, slowdown, noisy.as_deref());
        if is_stuck {
            self.relieve(now, key, slowdown);
        }
    }

    /// Counts the batch tasks that wait, for each worker that takes work.
    pub(crate) fn count_backlog(&mut self) {
        let batch = self.jobs.iter().filter(|(_, job)| !job.is_service() && !job.cancelled);
        let waiting: usize = batch.map(|(_, job)| job.waiting.len() + job.pending.len()).sum();
        let here = self.options.data_centres.len().max(1);
        let open = self.roster.iter().filter(|(_, worker)| worker.is_open()).count();
        self.backlog = waiting as f32 / (here * open.max(1)) as f32;
    }

    fn learn(&mut self, now: Instant, key: WorkerKey, usage: &[Usage]) {
        for it in usage {
            if let Some(job) = self.jobs.get_mut(&it.task.job) {
                job.seen.add(it.used);
            }
        }
        let Some(worker) = self.roster.get(key) else { return };
        // The report speaks of the neighbours that there were then: those that came since
        // would be blamed for it, and those that left since would go free.
        let Some((at, past)) = worker.past.front() else { return };
        if now < *at + LAG {
            return;
        }
        for it in usage {
            let Some(held) = worker.held.get(&it.task) else { continue };
            if held.class.service && now >= held.since + LAG {
                let neighbours = neighbours(past, held.class.kind);
                self.interference.learn(held.class.kind, &neighbours, it.slowdown);
            }
        }
    }

    fn worst_service(&self, key: WorkerKey, usage: &[Usage]) -> Option<u32> {
        let worker = self.roster.get(key)?;
        let is_service =
            |it: &&Usage| worker.held.get(&it.task).is_some_and(|held| held.class.service);
        usage.iter().filter(is_service).map(|it| it.slowdown).max()
    }

    /// Processor use of a worker in thousandths of what it holds.
    fn busy(&self, key: WorkerKey, usage: &[Usage]) -> u32 {
        let Some(worker) = self.roster.get(key) else { return 0 };
        let used: u64 = usage.iter().map(|it| u64::from(it.used.cpu_milli)).sum();
        let whole = u64::from(worker.capacity.cpu_milli.max(1));
        u32::try_from(used * 1000 / whole).unwrap_or(u32::MAX)
    }

    /// The batch kinds on a worker that are known for noisy beside its services.
    ///
    /// `None` where there are none: then all are limited alike.
    fn noisy_kinds(&self, key: WorkerKey) -> Option<Vec<Kind>> {
        let worker = self.roster.get(key)?;
        let services = services_of(worker);
        let batch = worker.kinds.iter().filter(|(kind, _)| !self.kinds.is_service(*kind));
        let is_noisy = |kind: &Kind| harm(&self.interference, &services, *kind) >= NOISY;
        let noisy: Vec<Kind> = batch.map(|(kind, _)| *kind).filter(is_noisy).collect();
        (!noisy.is_empty()).then_some(noisy)
    }

    /// The share at which the neighbours are expected to keep the services near the target.
    ///
    /// Reports come too late for the first seconds of a wave, and in them the tail is made:
    /// kinds that are known to be noisy are limited before they are heard. What a neighbour
    /// adds falls about with the square of its share.
    fn foreseen_share(&self, key: WorkerKey) -> u32 {
        let Some(worker) = self.roster.get(key) else { return FULL_SHARE };
        let worst = services_of(worker)
            .into_iter()
            .map(|service| self.interference.added(service, &worker.kinds))
            .max()
            .unwrap_or(0);
        let budget = TARGET - 1000;
        if worst <= budget {
            return FULL_SHARE;
        }
        let share = (budget as f32 / worst as f32).sqrt() * 1000.0;
        (share as u32).max(LEVELS[LEVELS.len() - 1])
    }

    /// Orders a limit for the tasks of a worker that may be delayed, or for those of them
    /// that are of the kinds `only`.
    ///
    /// A limit on a neighbour that disturbs nobody costs its work and helps nothing.
    fn set_share(
        &mut self,
        now: Instant,
        key: WorkerKey,
        share: u32,
        slowdown: u32,
        only: Option<&[Kind]>,
    ) {
        let Some(worker) = self.roster.get_mut(key) else { return };
        let mut is_changed = false;
        for (task, held) in worker.held.iter_mut() {
            let is_running = held.hold == Hold::Running && held.ending == Ending::No;
            let is_meant = only.is_none_or(|only| only.contains(&held.class.kind));
            let share = if is_meant { share } else { FULL_SHARE };
            if !held.class.delay || !is_running || !is_step(held.share, share) {
                continue;
            }
            held.share = share;
            let (task, incarnation) = (*task, held.incarnation);
            worker.orders.retain(|order| !is_throttle_of(order, task));
            worker.orders.push(Order::Throttle { task, incarnation, share });
            is_changed = true;
        }
        if is_changed {
            worker.notes.add(now, Reason::Throttled { share, slowdown });
            self.roster.touch(key);
        }
    }

    /// Makes the neighbour leave that is expected to disturb the services most.
    fn relieve(&mut self, now: Instant, key: WorkerKey, slowdown: u32) {
        let Some(worker) = self.roster.get(key) else { return };
        if worker.relief_at.is_some_and(|at| now < at) {
            return;
        }
        let Some(task) = self.worst_neighbour(key) else { return };
        let vm = worker.label.clone();
        self.note(now, task, Reason::Disturbs { vm, slowdown });
        self.checkpoint(key, task);
        if let Some(worker) = self.worker_mut(key) {
            worker.relief_at = Some(now + RELIEF_PERIOD);
            worker.throttle.relieved();
        }
    }

    fn worst_neighbour(&self, key: WorkerKey) -> Option<TaskId> {
        let worker = self.roster.get(key)?;
        let services = services_of(worker);
        let able = worker.held.iter().filter(|(_, held)| {
            held.class.evict
                && !held.class.service
                && held.hold == Hold::Running
                && held.ending == Ending::No
        });
        let harm = |kind: Kind| harm(&self.interference, &services, kind);
        let worst = able.max_by(|(_, a), (_, b)| {
            let interfering_only = harm(a.class.kind).total_cmp(&harm(b.class.kind));
            interfering_only.then(a.size.cpu_milli.cmp(&b.size.cpu_milli))
        });
        worst.map(|(task, _)| *task)
    }
}

/// The kinds of the services on a worker, each once.
fn services_of(worker: &Worker) -> Vec<Kind> {
    let services = worker.held.iter().filter(|(_, held)| held.class.service);
    let mut kinds: Vec<Kind> = services.map(|(_, held)| held.class.kind).collect();
    kinds.sort_unstable();
    kinds.dedup();
    kinds
}

/// What a task of a kind is expected to add to services, in thousandths.
fn harm(interference: &Interference, services: &[Kind], kind: Kind) -> f32 {
    services.iter().map(|victim| interference.pair(*victim, kind)).sum()
}

/// The kinds beside one task of `own`.
fn neighbours(weights: &[(Kind, f32)], own: Kind) -> Vec<(Kind, f32)> {
    let but_itself = |(kind, weight): &(Kind, f32)| {
        let weight = if *kind == own { (weight - 1.0).max(0.0) } else { *weight };
        (*kind, weight)
    };
    weights.iter().map(but_itself).collect()
}

fn is_step(old: u32, new: u32) -> bool {
    old.abs_diff(new) > SHARE_STEP || new == FULL_SHARE && old != new
}

fn is_throttle_of(order: &Order, task: TaskId) -> bool {
    matches!(order, Order::Throttle { task: it, .. } if *it == task)
}
