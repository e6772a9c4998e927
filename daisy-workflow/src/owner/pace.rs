//! Holding best-effort tasks back beside tasks that serve callers.

use std::time::Duration;

use daisy_model::Instant;

use super::{
    Owner,
    interference::{ImageKey, Interference},
    message::{Action, OrderReply, Refusal, StopCause},
    place::Place,
    room::{HEADROOM_MIN, HEADROOM_TIGHT, PRESS_MIN, Pressed, press},
    worker::{Assignment, Sent, Stop, Worker, WorkerKey},
};
use crate::TaskId;

/// How long a target may be missed before all best-effort tasks beside are halted, whatever was
/// learnt of them.
const OVER_MAX: Duration = Duration::from_millis(1_200);
/// How long a target may be missed before that is put down to the serving task's own load: with
/// all beside it halted for over two seconds, its queue would have emptied.
const OVER_OWN: Duration = Duration::from_millis(3_600);
/// Headroom without best-effort tasks below which holding back those that hardly disturb is of no
/// use: the target is missed all the same.
const HEADROOM_LOST: f64 = 0.97;
/// The factor below which a pair counts as one that hardly disturbs.
const WEIGHT_HARMLESS: f64 = 2.0;
/// Headroom below which a report says less of a serving task's own load: its queue is full, and
/// empties over a second.
const HEADROOM_FULL: f64 = 0.6;
/// Headroom above which more says nothing: tails are whole milliseconds.
const HEADROOM_MAX: f64 = 6.0;
/// Workers report figures of the last half second; what comes sooner repeats them.
const REPORT_EVERY: Duration = Duration::from_millis(400);
/// The smallest change of a share that is ordered, in percent.
const STEP: u8 = 10;
/// How long after its last change a task gets more again.
const RAISE_AFTER: Duration = Duration::from_millis(900);
/// A task that was held to less than this, in percent, for this long, starts anew elsewhere.
const STARVED_BELOW: u8 = 40;
const STARVED_AFTER: Duration = Duration::from_millis(1_000);
/// Work done, in percent, that a task without checkpoints may lose by starting anew.
const LOSS_MAX: u8 = 25;
/// Weight of the newest report in running means, so that they follow a load that swings over some
/// ten seconds.
const SMOOTHING: f64 = 0.4;

/// Whether a run can be paced at present.
fn is_there(it: &Assignment) -> bool {
    matches!(it.sent, Sent::There(_)) && it.stop == Stop::No
}

impl Owner {
    /// Learns from a worker's report and chooses the shares of its best-effort tasks.
    pub(super) fn pace(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if !worker.tasks.iter().any(|it| it.target_ms > 0) {
            order(now, worker, key, |_| 100, &mut self.actions);
            return;
        }
        if now.since(worker.reported_at) >= REPORT_EVERY {
            worker.reported_at = now;
            learn(now, &mut self.interference, worker);
            worker.weigh(&self.interference);
            let images: Vec<ImageKey> = worker.pressed.iter().filter_map(|it| it.image).collect();
            worker.open_to = self.interference.harmless(&images, WEIGHT_HARMLESS);
        }
        if !worker.is_weighed {
            worker.weigh(&self.interference);
        }
        let learnt = &self.interference;
        let mut caps: Vec<Cap> = Vec::new();
        let mut halt = false;
        for (serving, it) in worker.tasks.iter().enumerate() {
            if headroom(it).is_none() {
                continue;
            }
            halt |= it.over_since.is_some_and(|at| {
                let over = now.since(at);
                (OVER_MAX..OVER_OWN).contains(&over)
            });
            let pressed = worker.pressed.iter().find(|of| of.image == it.image);
            caps.extend(pressed.and_then(|of| Cap::new(serving, it, of)));
        }
        let shares = shares(learnt, worker, &caps, halt);
        order(now, worker, key, |at| shares[at], &mut self.actions);
        self.move_starved(now, key);
    }

    /// Stops best-effort tasks that are held back for long where another worker would not.
    fn move_starved(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else { return };
        let starved = |it: &Assignment| {
            it.best_effort_cpu > 0
                && is_there(it)
                && it.pace.is_some_and(|it| it < STARVED_BELOW)
                && now.since(it.slowed_at) > STARVED_AFTER
        };
        let Some(it) = worker.tasks.iter().find(|it| starved(it)) else { return };
        let (task, run, percent) = (it.task, it.run, it.percent);
        let Some(job) = self.ledger.job(task.job) else { return };
        let spec = job.spec.clone();
        let step = &spec.steps[usize::from(task.step)];
        if !step.checkpoints && percent > LOSS_MAX {
            return;
        }
        let service = worker.service.clone();
        self.weigh_all();
        let options =
            Place { rack: None, taken: &[], any_pace: false, reservations: &self.reservations };
        let to = self.try_place(now, &service, step, task, options);
        if to.is_some_and(|to| to != key)
            && let Some(it) = self.workers.get_mut(key).and_then(|it| it.find(task, run))
        {
            let percent = it.pace.unwrap_or_default();
            it.stop_at(now, StopCause::HeldBack { percent });
        }
    }

    pub(super) fn paced(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        percent: u8,
        reply: OrderReply,
    ) {
        if reply == OrderReply::Refused(Refusal::Fenced) {
            self.actions.push(Action::StepDown);
            return;
        }
        let Some(it) = self.workers.get_mut(key).and_then(|it| it.find(task, run)) else { return };
        it.pace_in_flight = false;
        // Anything but a plain yes is ordered again after the next renewal.
        if let OrderReply::Done { .. } = reply {
            it.pace = Some(percent);
        }
    }
}

/// A serving task that is pressed too hard.
struct Cap {
    /// Its position among the worker's tasks.
    serving: usize,
    /// The share at which tasks that disturb it may work.
    strong: f64,
    /// The share at which tasks that hardly disturb it may work.
    weak: f64,
}

impl Cap {
    /// Holds those back first that disturb most. The others, of which there are many, only count
    /// where the target itself is near.
    fn new(serving: usize, it: &Assignment, pressed: &Pressed) -> Option<Cap> {
        let Pressed { strong, weak, .. } = *pressed;
        let part = |room: f64, wanted: f64| match wanted > room {
            true => (room / wanted).max(0.0),
            false => 1.0,
        };
        let for_strong = part(it.own_headroom - weak - HEADROOM_MIN, strong);
        let left = it.own_headroom - strong * for_strong;
        let for_weak = match it.own_headroom < HEADROOM_LOST {
            true => 1.0,
            false => part(left - HEADROOM_TIGHT, weak),
        };
        let pressed = for_strong < 1.0 || for_weak < 1.0;
        pressed.then_some(Cap { serving, strong: for_strong, weak: for_weak })
    }
}

/// The target of a serving task at work, divided by its tail latency.
fn headroom(it: &Assignment) -> Option<f64> {
    if it.target_ms == 0 || it.percent < 100 || it.load == 0 {
        return None;
    }
    Some((f64::from(it.target_ms) / f64::from(it.load)).min(HEADROOM_MAX))
}

/// Takes a worker's report in.
fn learn(now: Instant, learnt: &mut Interference, worker: &mut Worker) {
    let capacity = f64::from(worker.capacity.cpu_milli.max(1));
    let mut used: Vec<(ImageKey, f64)> = Vec::new();
    for it in worker.tasks.iter().filter(|it| it.best_effort_cpu > 0 && is_there(it)) {
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
        it.over_since = match headroom < 1.0 {
            true => it.over_since.or(Some(now)),
            false => None,
        };
        let Some(image) = it.image else { continue };
        let taken = |used: &[(ImageKey, f64)], learnt: &Interference| -> f64 {
            let each = used.iter();
            each.map(|(other, share)| learnt.weight(Some(image), Some(*other)) * share).sum()
        };
        let pressed = taken(&used, learnt);
        let own = headroom + pressed;
        match it.mean_headroom {
            Some(mean) => {
                let expected = taken(&more, learnt);
                // A full queue shows only that there was at least so much loss.
                if headroom >= HEADROOM_FULL || mean - headroom > expected {
                    learnt.learn(now, image, mean - headroom, &more);
                }
                it.mean_headroom = Some(mean + (headroom - mean) * SMOOTHING);
                it.own_headroom = match headroom >= HEADROOM_FULL {
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

/// How much more of a worker's processors each image uses than in the running means, which then
/// follow.
fn more_used(means: &mut Vec<(ImageKey, f64)>, used: &[(ImageKey, f64)]) -> Vec<(ImageKey, f64)> {
    /// Means below this are forgotten.
    const NOTHING: f64 = 1e-4;
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
    means.retain(|(_, mean)| *mean > NOTHING);
    more
}

/// For each task of a worker, the share that it is to work at, in percent. `caps` are the
/// serving tasks that are pressed too hard.
fn shares(learnt: &Interference, worker: &Worker, caps: &[Cap], halt: bool) -> Vec<u8> {
    let share = |it: &Assignment| {
        if it.best_effort_cpu == 0 {
            return 100;
        }
        let mut share = 1.0f64;
        for cap in caps {
            let image = worker.tasks[cap.serving].image;
            let strong = press(learnt, worker, image, it) >= PRESS_MIN;
            share = share.min(if strong { cap.strong } else { cap.weak });
        }
        let percent = (share * 100.0) as u8;
        if halt || percent < STEP { 0 } else { percent }
    };
    worker.tasks.iter().map(share).collect()
}

/// Orders the shares that differ enough from what was ordered last.
fn order(
    now: Instant,
    worker: &mut Worker,
    key: WorkerKey,
    share: impl Fn(usize) -> u8,
    actions: &mut Vec<Action>,
) {
    for (at, it) in worker.tasks.iter_mut().enumerate() {
        if it.best_effort_cpu == 0 || !is_there(it) || it.pace_in_flight {
            continue;
        }
        let wanted = share(at);
        let due = match it.pace {
            None => true,
            Some(pace) if wanted < pace => wanted + STEP <= pace || wanted == 0,
            Some(pace) => {
                let more = wanted >= pace + STEP || (wanted == 100 && pace < 100);
                more && now.since(it.paced_at) >= RAISE_AFTER
            }
        };
        if due {
            if wanted < STARVED_BELOW && it.pace.is_none_or(|it| it >= STARVED_BELOW) {
                it.slowed_at = now;
            }
            it.pace_in_flight = true;
            it.paced_at = now;
            actions.push(Action::Pace(key, it.task, it.run, wanted));
        }
    }
}
