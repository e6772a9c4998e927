//! Throttles best-effort tasks that run beside serving tasks.

use std::time::Duration;

use daisy_model::Instant;

use super::{
    Owner,
    best_effort::{
        HEADROOM_MIN, HEADROOM_MIN_LOW_INTERFERENCE, HIGH_INTERFERENCE_MIN, InterferenceLoad,
        headroom_cost,
    },
    interference::{ImageKey, Interference},
    message::{Action, OrderReply, StopCause},
    placement::PlacementOptions,
    worker::{Assignment, StartState, StopState, Worker, WorkerKey},
};
use crate::TaskId;

/// How long a target may be missed before all best-effort tasks on the worker are halted, whatever
/// interference was learned for them.
const MAX_TARGET_MISS: Duration = Duration::from_millis(1_200);
/// How long a target may be missed before that is attributed to the serving task's own load: with
/// all best-effort tasks halted for more than two seconds, its queue would have emptied.
const OWN_LOAD_MISS: Duration = Duration::from_millis(3_600);
/// Headroom without best-effort tasks below which throttling tasks with low interference is of no
/// use: the target is missed anyway.
const HEADROOM_UNRECOVERABLE: f64 = 0.97;
/// Interference weight below which a best-effort image is treated as harmless.
const HARMLESS_WEIGHT: f64 = 2.0;
/// Headroom below which a report says little about a serving task's own load: its queue is full,
/// and takes a second to empty.
const SATURATED_HEADROOM: f64 = 0.6;
/// Upper bound of the headroom; larger values carry no information, since tail latencies are whole
/// milliseconds.
const HEADROOM_MAX: f64 = 6.0;
/// Minimum interval between reports that are used: workers report figures of the last half second,
/// so more frequent reports repeat them.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// The smallest change of a pace that is ordered, in percent.
const MIN_PACE_CHANGE: u8 = 10;
/// Delay after a change of a task's pace before the pace may be raised.
const PACE_RAISE_DELAY: Duration = Duration::from_millis(900);
/// A task whose pace was below this value, in percent, for this long is stopped to be started
/// elsewhere.
const STARVED_PACE: u8 = 40;
const STARVED_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Completed work, in percent, that a task without checkpoints may lose by being started again.
const MAX_LOST_PROGRESS: u8 = 25;
/// Weight of the newest report in running means, so that they follow loads that fluctuate over
/// about ten seconds.
const SMOOTHING: f64 = 0.4;

/// Whether a run is confirmed and no stop was requested, so that it can be throttled.
fn is_confirmed_running(it: &Assignment) -> bool {
    matches!(it.start_state, StartState::Confirmed(_)) && it.stop_state == StopState::NotRequested
}

impl Owner {
    /// Learns from a worker's report and sets the paces of its best-effort tasks.
    pub(super) fn pace(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        for it in &worker.tasks {
            let Some(image) = it.image else { continue };
            match it.target_ms {
                0 => self.interference.best_effort_seen(now, image),
                _ => self.interference.serving_seen(now, image),
            }
        }
        if !worker.tasks.iter().any(|it| it.target_ms > 0) {
            order_paces(now, worker, key, |_| 100, &mut self.actions);
            return;
        }
        if now.since(worker.reported_at) >= REPORT_INTERVAL {
            worker.reported_at = now;
            learn(now, &mut self.interference, worker);
            worker.update_interference(&self.interference);
            let images: Vec<ImageKey> =
                worker.interference_loads.iter().filter_map(|it| it.image).collect();
            worker.harmless_images = self.interference.count_harmless(&images, HARMLESS_WEIGHT);
        }
        if !worker.is_interference_current {
            worker.update_interference(&self.interference);
        }
        let interference = &self.interference;
        let mut limits: Vec<PaceLimit> = Vec::new();
        let mut halt = false;
        for (serving, it) in worker.tasks.iter().enumerate() {
            if headroom(it).is_none() {
                continue;
            }
            halt |= it.target_missed_since.is_some_and(|since| {
                let missed_for = now.since(since);
                (MAX_TARGET_MISS..OWN_LOAD_MISS).contains(&missed_for)
            });
            let loads = worker.interference_loads.iter().find(|of| of.image == it.image);
            limits.extend(loads.and_then(|of| PaceLimit::new(serving, it, of)));
        }
        let shares = shares(interference, worker, &limits, halt);
        order_paces(now, worker, key, |at| shares[at], &mut self.actions);
        self.stop_starved(now, key);
    }

    /// Stops a best-effort task that has been throttled for [`STARVED_TIMEOUT`] if another worker
    /// would not throttle it.
    fn stop_starved(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else { return };
        let starved = |it: &Assignment| {
            it.best_effort_cpu > 0
                && is_confirmed_running(it)
                && it.pace.is_some_and(|it| it < STARVED_PACE)
                && now.since(it.slowed_at) > STARVED_TIMEOUT
        };
        let Some(it) = worker.tasks.iter().find(|it| starved(it)) else { return };
        let (task, run, percent) = (it.task, it.run, it.percent);
        let Some(job) = self.ledger.job(task.job) else { return };
        let spec = job.spec.clone();
        let step = &spec.steps[usize::from(task.step)];
        if !step.checkpoints && percent > MAX_LOST_PROGRESS {
            return;
        }
        let service = worker.service.clone();
        self.update_all_interference();
        let options = PlacementOptions {
            rack: None,
            tentative: &[],
            allow_throttled: false,
            reservations: &self.reservations,
        };
        let to = self.try_place(now, &service, step, task, options);
        if to.is_some_and(|to| to != key)
            && let Some(it) = self.workers.get_mut(key).and_then(|it| it.find(task, run))
        {
            let percent = it.pace.unwrap_or_default();
            it.request_stop(now, StopCause::Throttled { percent });
        }
    }

    pub(super) fn pace_answered(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        percent: u8,
        reply: OrderReply,
    ) {
        if self.is_deposed(key, reply) {
            return self.step_down(now, key);
        }
        let Some(it) = self.workers.get_mut(key).and_then(|it| it.find(task, run)) else { return };
        it.pace_in_flight = false;
        // Any other reply is retried after the next renewal.
        if let OrderReply::Done { .. } = reply {
            it.pace = Some(percent);
        }
    }
}

/// Limits on the best-effort tasks beside a serving task with too little headroom.
struct PaceLimit {
    /// Index of the serving task among the worker's tasks.
    serving: usize,
    /// Maximum pace of tasks with high interference, from 0 to 1.
    high: f64,
    /// Maximum pace of tasks with low interference, from 0 to 1.
    low: f64,
}

impl PaceLimit {
    /// Limits tasks with high interference first. Tasks with low interference are many; they are
    /// limited only if the serving task would otherwise come close to its target.
    fn new(serving: usize, it: &Assignment, on_image: &InterferenceLoad) -> Option<PaceLimit> {
        let InterferenceLoad { high, low, .. } = *on_image;
        let fitting_share = |spare: f64, wanted: f64| match wanted > spare {
            true => (spare / wanted).max(0.0),
            false => 1.0,
        };
        let share_high = fitting_share(it.own_headroom - low - HEADROOM_MIN, high);
        let left = it.own_headroom - high * share_high;
        let share_low = match it.own_headroom < HEADROOM_UNRECOVERABLE {
            true => 1.0,
            false => fitting_share(left - HEADROOM_MIN_LOW_INTERFERENCE, low),
        };
        let is_limited = share_high < 1.0 || share_low < 1.0;
        is_limited.then_some(PaceLimit { serving, high: share_high, low: share_low })
    }
}

/// Returns the target of a ready serving task divided by its tail latency.
fn headroom(it: &Assignment) -> Option<f64> {
    if it.target_ms == 0 || it.percent < 100 || it.load == 0 {
        return None;
    }
    Some((f64::from(it.target_ms) / f64::from(it.load)).min(HEADROOM_MAX))
}

/// Learns interference from a worker's report.
fn learn(now: Instant, interference: &mut Interference, worker: &mut Worker) {
    let capacity = f64::from(worker.capacity.cpu_milli.max(1));
    let mut used: Vec<(ImageKey, f64)> = Vec::new();
    for it in worker.tasks.iter().filter(|it| it.best_effort_cpu > 0 && is_confirmed_running(it)) {
        let Some(image) = it.image else { continue };
        let share = f64::from(it.load) / capacity;
        match used.iter_mut().find(|(other, _)| *other == image) {
            Some((_, sum)) => *sum += share,
            None => used.push((image, share)),
        }
    }
    let more = more_used(&mut worker.mean_used, &used);
    for it in &mut worker.tasks {
        let Some(headroom) = headroom(it) else { continue };
        it.target_missed_since = match headroom < 1.0 {
            true => it.target_missed_since.or(Some(now)),
            false => None,
        };
        let Some(image) = it.image else { continue };
        let headroom_loss = |used: &[(ImageKey, f64)], interference: &Interference| -> f64 {
            let each = used.iter();
            each.map(|(other, share)| interference.weight(Some(image), Some(*other)) * share).sum()
        };
        let current_loss = headroom_loss(&used, interference);
        let own = headroom + current_loss;
        match it.mean_headroom {
            Some(mean) => {
                let expected = headroom_loss(&more, interference);
                // With a full queue, the report only shows a lower bound of the lost headroom.
                if headroom >= SATURATED_HEADROOM || mean - headroom > expected {
                    interference.learn(now, image, mean - headroom, &more);
                }
                it.mean_headroom = Some(mean + (headroom - mean) * SMOOTHING);
                it.own_headroom = match headroom >= SATURATED_HEADROOM {
                    true => (it.own_headroom + (own - it.own_headroom) * SMOOTHING).min(own),
                    false => it.own_headroom.min(own.max(HEADROOM_MIN)),
                };
            }
            None => {
                it.mean_headroom = Some(headroom);
                it.own_headroom = own;
            }
        }
    }
}

/// Returns, for each image, how much more of a worker's processors it uses than its running mean,
/// and updates the means.
fn more_used(means: &mut Vec<(ImageKey, f64)>, used: &[(ImageKey, f64)]) -> Vec<(ImageKey, f64)> {
    /// Means below this are dropped.
    const NEGLIGIBLE_SHARE: f64 = 1e-4;
    for (image, _) in used {
        if !means.iter().any(|(it, _)| it == image) {
            means.push((*image, 0.0));
        }
    }
    let mut more = Vec::with_capacity(means.len());
    for (image, mean) in means.iter_mut() {
        let share = used.iter().find(|(it, _)| it == image).map_or(0.0, |(_, share)| *share);
        more.push((*image, share - *mean));
        *mean += (share - *mean) * SMOOTHING;
    }
    means.retain(|(_, mean)| *mean > NEGLIGIBLE_SHARE);
    more
}

/// Returns the pace in percent for each task of a worker. `limits` come from the serving tasks with
/// too little headroom.
fn shares(
    interference: &Interference,
    worker: &Worker,
    limits: &[PaceLimit],
    halt: bool,
) -> Vec<u8> {
    let share = |it: &Assignment| {
        if it.best_effort_cpu == 0 {
            return 100;
        }
        let mut share = 1.0f64;
        for limit in limits {
            let image = worker.tasks[limit.serving].image;
            let high = headroom_cost(interference, worker, image, it) >= HIGH_INTERFERENCE_MIN;
            share = share.min(if high { limit.high } else { limit.low });
        }
        let percent = (share * 100.0) as u8;
        if halt || percent < MIN_PACE_CHANGE { 0 } else { percent }
    };
    worker.tasks.iter().map(share).collect()
}

/// Orders the paces that differ enough from the last confirmed ones.
fn order_paces(
    now: Instant,
    worker: &mut Worker,
    key: WorkerKey,
    share: impl Fn(usize) -> u8,
    actions: &mut Vec<Action>,
) {
    for (at, it) in worker.tasks.iter_mut().enumerate() {
        if it.best_effort_cpu == 0 || !is_confirmed_running(it) || it.pace_in_flight {
            continue;
        }
        let wanted = share(at);
        let due = match it.pace {
            None => true,
            Some(pace) if wanted < pace => wanted + MIN_PACE_CHANGE <= pace || wanted == 0,
            Some(pace) => {
                let more = wanted >= pace + MIN_PACE_CHANGE || (wanted == 100 && pace < 100);
                more && now.since(it.paced_at) >= PACE_RAISE_DELAY
            }
        };
        if due {
            if wanted < STARVED_PACE && it.pace.is_none_or(|it| it >= STARVED_PACE) {
                it.slowed_at = now;
            }
            it.pace_in_flight = true;
            it.paced_at = now;
            actions.push(Action::Pace(key, it.task, it.run, wanted));
        }
    }
}
