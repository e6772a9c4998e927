//! A worker of the model: room, processors that are shared, and tails that are disturbed.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use daisy_model::{Instant, Resources};
use daisy_workflow::{
    ActiveRun, EndedRun, OrderReply, Outcome, RejectReason, RenewalAnswer, Start, StepSpec, TaskId,
    WorkerKey, WorkerListing,
};

use super::load::{TARGET_MS, disturbs};

/// How long a stop takes, and until a lasting task is at work.
const STOP: Duration = Duration::from_millis(300);
const STARTUP: Duration = Duration::from_millis(500);
/// Headroom that an idle serving task has, its load in the mean, and how much and how long it swings.
const HEADROOM: f64 = 5.0;
const LOAD: f64 = 0.45;
const SWING: f64 = 0.2;
const SWING_S: f64 = 14.0;
/// Headroom that best-effort tasks on a whole worker take.
const HEAVY: f64 = 18.0;
const LIGHT: f64 = 0.6;

/// A run.
#[derive(Debug, Clone)]
struct Run {
    task: TaskId,
    run: u32,
    step: Arc<StepSpec>,
    began: Instant,
    /// Milliseconds of work, and of work done.
    work_ms: f64,
    done_ms: f64,
    pace: f64,
    stops_at: Option<Instant>,
}

/// An answer that a renewal waits for.
#[derive(Debug, Clone, Copy)]
struct Hold {
    until: Instant,
    key: WorkerKey,
    cursor: u64,
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    pub name: String,
    pub capacity: Resources,
    runs: Vec<Run>,
    ends: Vec<EndedRun>,
    number: u64,
    hold: Option<Hold>,
    phase: f64,
}

impl Worker {
    pub fn new(name: String, capacity: Resources, phase: f64) -> Worker {
        let (runs, ends) = (Vec::new(), Vec::new());
        Worker { name, capacity, runs, ends, number: 0, hold: None, phase }
    }

    pub fn listing(&self) -> WorkerListing {
        WorkerListing {
            id: self.name.as_str().into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            service: "shop".into(),
            ready: true,
            capacity: self.capacity,
            labels: Vec::new(),
            started_at_ms: 1,
            cold_ms: 0,
            min_remaining_ms: None,
        }
    }

    /// Lets `passed` go by.
    pub fn pass(&mut self, now: Instant, passed: Duration) {
        let pace = self.pace();
        let millis = passed.as_secs_f64() * 1_000.0;
        let mut ended = Vec::new();
        self.runs.retain_mut(|it| {
            let share = if it.step.best_effort { pace * it.pace } else { 1.0 };
            it.done_ms += millis * share;
            let how = match it.stops_at {
                Some(at) if now >= at => Outcome::Stopped,
                _ if !it.step.long_running && it.done_ms >= it.work_ms => Outcome::Done,
                _ => return true,
            };
            ended.push((it.task, it.run, how, it.done_ms));
            false
        });
        for (task, run, outcome, done_ms) in ended {
            self.number += 1;
            let checkpoint = format!("{done_ms}");
            self.ends.push(EndedRun { number: self.number, task, run, outcome, checkpoint });
        }
    }

    /// The share of its processors that each best-effort run gets.
    fn pace(&self) -> f64 {
        let used = |it: &Run| match (it.step.best_effort, it.step.long_running) {
            (true, _) => 0.0,
            (false, true) => f64::from(it.step.need.cpu_milli) * LOAD,
            (false, false) => f64::from(it.step.need.cpu_milli),
        };
        let idle = f64::from(self.capacity.cpu_milli) - self.runs.iter().map(used).sum::<f64>();
        let best_effort = self.runs.iter().filter(|it| it.step.best_effort);
        let asked: f64 = best_effort.map(|it| f64::from(it.step.need.cpu_milli) * it.pace).sum();
        (idle.max(0.0) / asked.max(1.0)).min(1.0)
    }

    /// The headroom of a serving run: what its own load and the best-effort runs beside it leave.
    fn headroom(&self, now: Instant, run: &Run) -> f64 {
        let seconds = now.0 as f64 / 1e6;
        let angle = std::f64::consts::TAU * (seconds / SWING_S + self.phase);
        let load = LOAD * (1.0 + SWING * angle.sin());
        let pace = self.pace();
        let taken = |it: &Run| match (&run.step.image, &it.step.image) {
            (Some(serving), Some(best_effort)) if it.step.best_effort => {
                let share = f64::from(it.step.need.cpu_milli) / f64::from(self.capacity.cpu_milli);
                let weight = if disturbs(serving, best_effort) { HEAVY } else { LIGHT };
                weight * share * it.pace * pace
            }
            _ => 0.0,
        };
        HEADROOM * (1.0 - load) - self.runs.iter().map(taken).sum::<f64>()
    }

    pub fn start(
        &mut self,
        now: Instant,
        start: &Start,
        step: Arc<StepSpec>,
        work_ms: f64,
    ) -> OrderReply {
        let clock_ms = now.0 / 1_000;
        let used = self.used().try_add(step.allocation());
        if used.is_none_or(|it| !it.fits(self.capacity)) {
            return OrderReply::Rejected(RejectReason::DoesNotFit);
        }
        let done_ms = start.checkpoint.parse().unwrap_or_default();
        self.runs.push(Run {
            task: start.task,
            run: start.run,
            step,
            began: now,
            work_ms,
            done_ms,
            pace: 1.0,
            stops_at: None,
        });
        OrderReply::Done { clock_ms }
    }

    pub fn stop(&mut self, now: Instant, task: TaskId, run: u32) -> OrderReply {
        let run = self.runs.iter_mut().find(|it| it.task == task && it.run == run);
        if let Some(it) = run {
            it.stops_at.get_or_insert(now + STOP);
        }
        OrderReply::Done { clock_ms: now.0 / 1_000 }
    }

    pub fn set_pace(&mut self, now: Instant, task: TaskId, run: u32, percent: u8) -> OrderReply {
        let run = self.runs.iter_mut().find(|it| it.task == task && it.run == run);
        if let Some(it) = run {
            it.pace = f64::from(percent) / 100.0;
        }
        OrderReply::Done { clock_ms: now.0 / 1_000 }
    }

    /// A renewal that waits for an end.
    pub fn hold(&mut self, now: Instant, key: WorkerKey, cursor: u64, wait: Duration) {
        self.ends.retain(|it| it.number > cursor);
        self.hold = Some(Hold { until: now + wait, key, cursor });
    }

    /// The answer to the renewal that waits, if it is due.
    pub fn try_answer(&mut self, now: Instant) -> Option<(WorkerKey, RenewalAnswer)> {
        let hold = self.hold?;
        if now < hold.until && !self.ends.iter().any(|it| it.number > hold.cursor) {
            return None;
        }
        self.hold = None;
        let running = self.runs.iter().map(|it| self.running(now, it)).collect();
        let ended = self.ends.clone();
        Some((
            hold.key,
            RenewalAnswer { clock_ms: now.0 / 1_000, started_at_ms: 1, running, ended },
        ))
    }

    fn running(&self, now: Instant, it: &Run) -> ActiveRun {
        let at_work = now.since(it.began) >= STARTUP;
        let percent = match it.step.long_running {
            true if at_work => 100,
            true => 50,
            false => (it.done_ms * 100.0 / it.work_ms.max(1.0)).min(99.0) as u8,
        };
        let load = match it.step.target_ms {
            0 => (f64::from(it.step.need.cpu_milli) * it.pace * self.pace()) as u32,
            _ => (f64::from(TARGET_MS) / self.headroom(now, it).max(0.1)) as u32,
        };
        ActiveRun { task: it.task, run: it.run, checkpoint: String::new(), percent, load }
    }

    fn used(&self) -> Resources {
        let add =
            |sum: Resources, it: &Run| sum.try_add(it.step.allocation()).unwrap_or(self.capacity);
        self.runs.iter().fold(Resources::ZERO, add)
    }

    /// Serving runs at work, and those of them that miss their target.
    pub fn serving(&self, now: Instant) -> (usize, usize) {
        let serving = self.runs.iter().filter(|it| it.step.target_ms > 0);
        let at_work: Vec<&Run> = serving.filter(|it| now.since(it.began) >= STARTUP).collect();
        let over = at_work.iter().filter(|it| self.headroom(now, it) < 1.0).count();
        (at_work.len(), over)
    }
}
