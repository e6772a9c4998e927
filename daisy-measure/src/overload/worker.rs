//! A modelled worker: its capacity, processors shared by best-effort tasks, and tail latency.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use daisy_model::{Instant, Resources};
use daisy_workflow::{
    ActiveRun, EndedRun, OrderReply, Outcome, RejectReason, RenewalAnswer, Start, StepSpec, TaskId,
    WorkerKey, WorkerListing,
};

use super::load::{TARGET_MS, interferes_strongly};

/// How long a worker takes to stop a run.
const STOP_TIME: Duration = Duration::from_millis(300);
/// Time from the start of a long-running task until it is ready.
const STARTUP_TIME: Duration = Duration::from_millis(500);
/// Latency headroom (latency target divided by tail latency) of an idle serving task.
const IDLE_HEADROOM: f64 = 5.0;
/// Mean load of a serving task, as a share of its reserved processors.
const MEAN_LOAD: f64 = 0.45;
/// Amplitude of the load's variation, as a share of the mean.
const LOAD_SWING: f64 = 0.2;
/// Period of the load's variation, in seconds.
const SWING_PERIOD_S: f64 = 14.0;
/// Headroom that best-effort tasks filling a whole worker take from a serving task, if their image
/// interferes strongly with its image.
const HIGH_INTERFERENCE: f64 = 18.0;
/// The same, if it does not.
const LOW_INTERFERENCE: f64 = 0.6;

/// A run of a task on the worker.
#[derive(Debug, Clone)]
struct Run {
    task: TaskId,
    run: u32,
    step: Arc<StepSpec>,
    started_at: Instant,
    /// Milliseconds of work in all.
    work_ms: f64,
    /// Milliseconds of work done.
    done_ms: f64,
    /// Share of its processors that the owner allows it, from 0 to 1.
    pace: f64,
    /// When the run ends, if it has been ordered to stop.
    stop_ends_at: Option<Instant>,
}

/// A lease renewal that is answered when a run ends, or at `until`.
#[derive(Debug, Clone, Copy)]
struct Hold {
    until: Instant,
    key: WorkerKey,
    /// The number of the last ended run that the owner knows.
    cursor: u64,
}

/// A modelled worker.
#[derive(Debug)]
pub struct Worker {
    pub name: String,
    pub capacity: Resources,
    runs: Vec<Run>,
    ended_runs: Vec<EndedRun>,
    /// The number of the last ended run.
    last_end_number: u64,
    hold: Option<Hold>,
    /// Offset of the load's variation, in periods.
    load_phase: f64,
}

impl Worker {
    pub fn new(name: String, capacity: Resources, load_phase: f64) -> Worker {
        let (runs, ended_runs) = (Vec::new(), Vec::new());
        Worker { name, capacity, runs, ended_runs, last_end_number: 0, hold: None, load_phase }
    }

    pub fn listing(&self) -> WorkerListing {
        WorkerListing {
            id: self.name.as_str().into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            service: "shop".into(),
            data_centre: "here".into(),
            ready: true,
            capacity: self.capacity,
            labels: Vec::new(),
            started_at_ms: 1,
            cold_ms: 0,
            min_remaining_ms: None,
        }
    }

    /// Advances all runs by `elapsed` and ends those that are stopped or done.
    pub fn advance(&mut self, now: Instant, elapsed: Duration) {
        let best_effort_share = self.best_effort_share();
        let millis = elapsed.as_secs_f64() * 1_000.0;
        let mut ended = Vec::new();
        self.runs.retain_mut(|it| {
            let share = if it.step.best_effort { best_effort_share * it.pace } else { 1.0 };
            it.done_ms += millis * share;
            let end_outcome = match it.stop_ends_at {
                Some(at) if now >= at => Outcome::Stopped,
                _ if !it.step.long_running && it.done_ms >= it.work_ms => Outcome::Done,
                _ => return true,
            };
            ended.push((it.task, it.run, end_outcome, it.done_ms));
            false
        });
        for (task, run, outcome, done_ms) in ended {
            self.last_end_number += 1;
            let checkpoint = format!("{done_ms}");
            self.ended_runs.push(EndedRun {
                number: self.last_end_number,
                task,
                run,
                outcome,
                checkpoint,
            });
        }
    }

    /// Returns the share of its paced demand that each best-effort run gets, from 0 to 1.
    fn best_effort_share(&self) -> f64 {
        let used = |it: &Run| match (it.step.best_effort, it.step.long_running) {
            (true, _) => 0.0,
            (false, true) => f64::from(it.step.need.cpu_milli) * MEAN_LOAD,
            (false, false) => f64::from(it.step.need.cpu_milli),
        };
        let idle = f64::from(self.capacity.cpu_milli) - self.runs.iter().map(used).sum::<f64>();
        let best_effort = self.runs.iter().filter(|it| it.step.best_effort);
        let requested: f64 =
            best_effort.map(|it| f64::from(it.step.need.cpu_milli) * it.pace).sum();
        (idle.max(0.0) / requested.max(1.0)).min(1.0)
    }

    /// Returns the latency headroom that a serving run's own load and the best-effort runs on the
    /// worker leave. Below 1 the run misses its target.
    fn headroom(&self, now: Instant, run: &Run) -> f64 {
        let seconds = now.0 as f64 / 1e6;
        let angle = std::f64::consts::TAU * (seconds / SWING_PERIOD_S + self.load_phase);
        let load = MEAN_LOAD * (1.0 + LOAD_SWING * angle.sin());
        let best_effort_share = self.best_effort_share();
        let interference = |it: &Run| match (&run.step.image, &it.step.image) {
            (Some(serving), Some(best_effort)) if it.step.best_effort => {
                let share = f64::from(it.step.need.cpu_milli) / f64::from(self.capacity.cpu_milli);
                let weight = if interferes_strongly(serving, best_effort) {
                    HIGH_INTERFERENCE
                } else {
                    LOW_INTERFERENCE
                };
                weight * share * it.pace * best_effort_share
            }
            _ => 0.0,
        };
        IDLE_HEADROOM * (1.0 - load) - self.runs.iter().map(interference).sum::<f64>()
    }

    pub fn start(
        &mut self,
        now: Instant,
        start: &Start,
        step: Arc<StepSpec>,
        work_ms: f64,
    ) -> OrderReply {
        let clock_ms = now.0 / 1_000;
        let allocated = self.allocated().try_add(step.allocation());
        if allocated.is_none_or(|it| !it.fits(self.capacity)) {
            return OrderReply::Rejected(RejectReason::DoesNotFit);
        }
        let done_ms = start.checkpoint.parse().unwrap_or_default();
        self.runs.push(Run {
            task: start.task,
            run: start.run,
            step,
            started_at: now,
            work_ms,
            done_ms,
            pace: 1.0,
            stop_ends_at: None,
        });
        OrderReply::Done { clock_ms }
    }

    pub fn stop(&mut self, now: Instant, task: TaskId, run: u32) -> OrderReply {
        let run = self.runs.iter_mut().find(|it| it.task == task && it.run == run);
        if let Some(it) = run {
            it.stop_ends_at.get_or_insert(now + STOP_TIME);
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

    /// Receives a lease renewal, to be answered after `wait` or when a run ends.
    pub fn hold(&mut self, now: Instant, key: WorkerKey, cursor: u64, wait: Duration) {
        self.ended_runs.retain(|it| it.number > cursor);
        self.hold = Some(Hold { until: now + wait, key, cursor });
    }

    /// Returns the answer to the pending renewal, if it is due.
    pub fn try_answer_renewal(&mut self, now: Instant) -> Option<(WorkerKey, RenewalAnswer)> {
        let hold = self.hold?;
        if now < hold.until && !self.ended_runs.iter().any(|it| it.number > hold.cursor) {
            return None;
        }
        self.hold = None;
        let running = self.runs.iter().map(|it| self.active_run(now, it)).collect();
        let ended = self.ended_runs.clone();
        Some((
            hold.key,
            RenewalAnswer { clock_ms: now.0 / 1_000, started_at_ms: 1, running, ended },
        ))
    }

    fn active_run(&self, now: Instant, it: &Run) -> ActiveRun {
        let is_ready = now.since(it.started_at) >= STARTUP_TIME;
        let percent = match it.step.long_running {
            true if is_ready => 100,
            true => 50,
            false => (it.done_ms * 100.0 / it.work_ms.max(1.0)).min(99.0) as u8,
        };
        let load = match it.step.target_ms {
            0 => (f64::from(it.step.need.cpu_milli) * it.pace * self.best_effort_share()) as u32,
            _ => (f64::from(TARGET_MS) / self.headroom(now, it).max(0.1)) as u32,
        };
        ActiveRun { task: it.task, run: it.run, checkpoint: String::new(), percent, load }
    }

    fn allocated(&self) -> Resources {
        let add =
            |sum: Resources, it: &Run| sum.try_add(it.step.allocation()).unwrap_or(self.capacity);
        self.runs.iter().fold(Resources::ZERO, add)
    }

    /// Returns the number of ready serving runs, and how many of them miss their latency target.
    pub fn count_serving(&self, now: Instant) -> (usize, usize) {
        let serving = self.runs.iter().filter(|it| it.step.target_ms > 0);
        let ready: Vec<&Run> =
            serving.filter(|it| now.since(it.started_at) >= STARTUP_TIME).collect();
        let over_target = ready.iter().filter(|it| self.headroom(now, it) < 1.0).count();
        (ready.len(), over_target)
    }
}
