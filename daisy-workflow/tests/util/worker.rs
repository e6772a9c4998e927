//! A fake worker that follows the platform's contract, with faults on demand.

use std::{net::SocketAddr, time::Duration};

use daisy_model::{Instant, Resources};
use daisy_workflow::{
    Action, ActiveRun, EndedRun, Event, OrderReply, Outcome, RejectReason, RenewalAnswer, Start,
    TaskId, WorkerKey, WorkerListing,
};

use super::{LEASE_MAX, TICK};

/// A fault of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    #[default]
    None,
    /// No call arrives, and the worker goes on working.
    Unreachable,
    /// Orders to start are carried out, but their answers are lost.
    LosesAnswers,
    /// Orders to start get no answer and are carried out this many milliseconds later.
    DelaysStarts(u64),
    /// Calls of any kind are carried out, but their answers are lost.
    LosesAllAnswers,
    /// Calls of any kind get no answer and are carried out this many milliseconds later.
    DelaysCalls(u64),
    /// Orders to start are rejected.
    RejectsStarts,
    /// Orders to start are rejected for lack of room, and extend the lease.
    LacksRoom,
    /// Every run fails as soon as it starts.
    Fails,
    /// Every run stops making progress.
    Hangs,
}

/// Maximum time for which a renewal waits for an end, unless a test sets another.
pub const HOLD_WAIT_MAX: Duration = Duration::from_millis(50);

/// Time after which a call without an answer ends.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Work in milliseconds of a long-running task, which runs until it is stopped.
pub const LONG_RUNNING_WORK_MS: u64 = 600_000;

/// Processor time that a run which ends by itself reports, in thousandths of a core.
const FINITE_RUN_LOAD: u32 = 800;

#[derive(Debug, Clone)]
pub struct FakeRun {
    pub task: TaskId,
    pub run: u32,
    pub run_started_ms: u64,
    pub work_ms: u64,
    /// Milliseconds of work done.
    pub done_ms: f64,
    /// The share of its processor time that the last order to set its pace allows.
    pub pace: f64,
    pub stopping: Option<u64>,
    /// The newest checkpoint, and at how much work it was made, in milliseconds.
    pub checkpoint: String,
    pub saved_ms: f64,
    /// Whether the run waits for the other members of its gang.
    pub waits_for_gang: bool,
}

/// A fake worker. Times are milliseconds of its clock, which shows `clock_offset_ms` at
/// `clock_zero_ms` of the simulation's clock and runs `clock_slow_permille` slower.
#[derive(Debug, Clone)]
pub struct FakeWorker {
    pub name: String,
    pub data_centre: String,
    /// The port of its address; it keeps its address when it restarts.
    pub port: u16,
    pub capacity: Resources,
    pub labels: Vec<String>,
    pub started_at_ms: u64,
    pub clock_offset_ms: u64,
    pub clock_zero_ms: u64,
    pub clock_slow_permille: u64,
    pub ready: bool,
    pub cold_ms: u64,
    pub listed: bool,
    pub fault: Fault,
    pub fence: u64,
    pub deadline: u64,
    pub runs: Vec<FakeRun>,
    pub ends: Vec<EndedRun>,
    pub last_end_number: u64,
    /// Ends as done that were neither acknowledged nor made void by the end of the lease of other
    /// runs: the number, the task, and when it ended.
    pub unconfirmed_ends: Vec<(u64, TaskId, Instant)>,
    /// Ends as done that were acknowledged and are final: the task, and when it ended.
    pub final_ends: Vec<(TaskId, Instant)>,
    /// Runs that ended or were stopped here; runs of the same task up to this number may not start
    /// any more.
    pub closed_runs: Vec<(TaskId, u32)>,
    /// Whether runs share the processors equally when there are more runs than processors, at one
    /// core a run.
    pub shares_processors: bool,
    pub advanced_at: u64,
    /// The tail latency of its serving tasks, in milliseconds.
    pub tail_latency_ms: u32,
    /// The work after which its runs make a checkpoint, in milliseconds; 0 for none.
    pub checkpoint_ms: u64,
    /// Ends as failed that were not acknowledged, and those that were: the number, the task, and
    /// the run.
    pub unconfirmed_failures: Vec<(u64, TaskId, u32)>,
    pub final_failures: Vec<(TaskId, u32)>,
    /// Orders that will be carried out later: when, their token, the order, and the work in
    /// milliseconds.
    pub delayed_orders: Vec<(u64, u64, Start, u64)>,
    /// Calls of any kind that will be carried out later, as [`FakeWorker::delayed_orders`].
    pub delayed_calls: Vec<(u64, u64, Action, u64)>,
}

/// Returns the worker that an action calls.
pub fn target_worker(action: &Action) -> Option<WorkerKey> {
    match action {
        Action::Renew { worker: key, .. }
        | Action::Start(key, _)
        | Action::Stop(key, ..)
        | Action::Pace(key, ..) => Some(*key),
        Action::Forward(..) | Action::RemoveSubmissions(_) | Action::StepDown | Action::Note(_) => {
            None
        }
    }
}

/// Returns the event that an owner receives for a call that gets no answer.
pub fn unanswered_event(action: Action) -> Option<Event> {
    let renewal_event = |worker| Event::RenewalAnswered(worker, None);
    answer_event(action, renewal_event, OrderReply::Unknown)
}

/// Returns the event that an owner receives for a call to a worker whose address another
/// incarnation has by now.
pub fn replaced_event(action: Action, started_at_ms: u64) -> Option<Event> {
    let renewal_event = |worker| Event::WorkerReplaced(worker, started_at_ms);
    answer_event(action, renewal_event, OrderReply::Rejected(RejectReason::OtherIncarnation))
}

/// Returns the event for the answer to a call: `renewal_event` for a renewal, `reply` for an order.
fn answer_event(
    action: Action,
    renewal_event: impl Fn(WorkerKey) -> Event,
    reply: OrderReply,
) -> Option<Event> {
    Some(match action {
        Action::Renew { worker, .. } => renewal_event(worker),
        Action::Start(key, start) => Event::StartAnswered(key, start.task, start.run, reply),
        Action::Stop(key, task, run, _) => Event::StopAnswered(key, task, run, reply),
        Action::Pace(key, task, run, percent) => {
            Event::PaceAnswered(key, task, run, percent, reply)
        }
        Action::Forward(..) | Action::RemoveSubmissions(_) | Action::StepDown | Action::Note(_) => {
            return None;
        }
    })
}

impl FakeWorker {
    pub fn new(name: &str, cores: u32) -> FakeWorker {
        FakeWorker {
            name: name.to_owned(),
            data_centre: "here".to_owned(),
            port: 1,
            capacity: Resources { cpu_milli: cores * 1_000, memory_mib: 64_000, accelerators: 0 },
            labels: vec!["a".to_owned(), "r1".to_owned()],
            started_at_ms: 1,
            clock_offset_ms: 5_000,
            clock_zero_ms: 0,
            clock_slow_permille: 0,
            ready: true,
            cold_ms: 0,
            listed: true,
            fault: Fault::None,
            fence: 0,
            deadline: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            last_end_number: 0,
            unconfirmed_ends: Vec::new(),
            final_ends: Vec::new(),
            closed_runs: Vec::new(),
            shares_processors: false,
            advanced_at: 0,
            tail_latency_ms: 10,
            checkpoint_ms: 0,
            unconfirmed_failures: Vec::new(),
            final_failures: Vec::new(),
            delayed_orders: Vec::new(),
            delayed_calls: Vec::new(),
        }
    }

    pub fn listing(&self) -> WorkerListing {
        WorkerListing {
            id: self.name.as_str().into(),
            address: SocketAddr::from(([127, 0, 0, 1], self.port)),
            service: "shop".into(),
            data_centre: self.data_centre.as_str().into(),
            ready: self.ready,
            capacity: self.capacity,
            labels: self.labels.iter().map(|it| it.as_str().into()).collect(),
            started_at_ms: self.started_at_ms,
            cold_ms: self.cold_ms,
            min_remaining_ms: (!self.ready).then_some(2_500),
        }
    }

    /// Returns the tasks that run on this worker.
    pub fn tasks(&self) -> Vec<TaskId> {
        self.runs.iter().map(|it| it.task).collect()
    }

    pub fn clock(&self, now: Instant) -> u64 {
        let passed = now.0 / 1_000 - self.clock_zero_ms;
        passed - passed * self.clock_slow_permille / 1_000 + self.clock_offset_ms
    }

    /// Carries out an action of an owner, and returns the answer and the time that it takes.
    pub fn execute(
        &mut self,
        now: Instant,
        token: u64,
        action: Action,
        work_ms: u64,
    ) -> Option<(Duration, Event)> {
        let unanswered = unanswered_event(action.clone()).map(|it| (CALL_TIMEOUT, it));
        match self.fault {
            Fault::DelaysCalls(by) => {
                self.delayed_calls.push((self.clock(now) + by, token, action, work_ms));
                unanswered
            }
            Fault::LosesAllAnswers => {
                self.carry_out(now, token, action, work_ms);
                unanswered
            }
            _ => self.carry_out(now, token, action, work_ms),
        }
    }

    fn carry_out(
        &mut self,
        now: Instant,
        token: u64,
        action: Action,
        work_ms: u64,
    ) -> Option<(Duration, Event)> {
        Some(match action {
            Action::Renew { worker: key, deadline_ms, cursor, wait } => {
                match self.hold(now, token, deadline_ms, cursor) {
                    None => (CALL_TIMEOUT, Event::RenewalAnswered(key, None)),
                    Some(Err(())) => (TICK, Event::RenewalFenced(key, token)),
                    Some(Ok(answer)) => (wait.max(TICK), Event::RenewalAnswered(key, Some(answer))),
                }
            }
            Action::Start(key, start) => {
                let reply = self.start(now, token, &start, work_ms);
                (TICK, Event::StartAnswered(key, start.task, start.run, reply))
            }
            Action::Stop(key, task, run, _) => {
                let reply = self.stop(now, token, task, run);
                (TICK, Event::StopAnswered(key, task, run, reply))
            }
            Action::Pace(key, task, run, percent) => {
                let reply = self.accept_pace(now, token, task, run, percent);
                (TICK, Event::PaceAnswered(key, task, run, percent, reply))
            }
            Action::Forward(..)
            | Action::RemoveSubmissions(_)
            | Action::StepDown
            | Action::Note(_) => return None,
        })
    }

    /// Grants a lease, limited to the longest lease that workers grant.
    fn grant(&mut self, clock: u64, deadline_ms: u64) {
        let longest = clock + LEASE_MAX.as_millis() as u64;
        self.deadline = self.deadline.max(deadline_ms.min(longest));
    }

    /// Advances the clock to `now`: runs end, leases lapse, and delayed orders are carried out.
    pub fn advance(&mut self, now: Instant, fails: &dyn Fn(TaskId) -> bool) {
        let clock = self.clock(now);
        let due: Vec<_> = self.delayed_orders.iter().filter(|it| it.0 <= clock).cloned().collect();
        self.delayed_orders.retain(|it| it.0 > clock);
        for (_, token, start, work_ms) in due {
            self.accept(clock, token, &start, work_ms);
        }
        let due = self.delayed_calls.extract_if(.., |it| it.0 <= clock).collect::<Vec<_>>();
        let fault = std::mem::take(&mut self.fault);
        for (_, token, action, work_ms) in due {
            self.carry_out(now, token, action, work_ms);
        }
        self.fault = fault;
        // A lease that ends while nothing runs makes no end void.
        if clock > self.deadline && !self.runs.is_empty() {
            self.unconfirmed_ends.clear();
            for run in std::mem::take(&mut self.runs) {
                self.end(&run, Outcome::LeaseExpired);
            }
        }
        let passed = clock - self.advanced_at.clamp(1, clock);
        self.advanced_at = clock;
        let pace = self.pace();
        for mut run in std::mem::take(&mut self.runs) {
            if run.waits_for_gang && run.stopping.is_none() && self.fault != Fault::Fails {
                self.runs.push(run);
                continue;
            }
            run.done_ms += (clock - run.run_started_ms).min(passed) as f64 * pace * run.pace;
            let age = run.done_ms.round() as u64;
            if self.checkpoint_ms > 0 && run.done_ms >= run.saved_ms + self.checkpoint_ms as f64 {
                run.saved_ms = run.done_ms;
                run.checkpoint = format!("{}-{}-{age}", run.task, run.run);
            }
            if run.stopping.is_some_and(|at| clock >= at) {
                self.end(&run, Outcome::Stopped);
            } else if self.fault == Fault::Fails || (fails(run.task) && age >= run.work_ms) {
                self.end(&run, Outcome::Failed);
            } else if self.fault != Fault::Hangs && age >= run.work_ms {
                self.end(&run, Outcome::Done);
                self.unconfirmed_ends.push((self.last_end_number, run.task, now));
            } else {
                self.runs.push(run);
            }
        }
    }

    /// Returns the share of its processor time that each run gets.
    fn pace(&self) -> f64 {
        let cores = f64::from(self.capacity.cpu_milli / 1_000);
        match self.shares_processors {
            true => (cores / self.runs.len().max(1) as f64).min(1.0),
            false => 1.0,
        }
    }

    /// Ends the runs for which `ends` returns true.
    pub fn end_runs(&mut self, now: Instant, outcome: Outcome, ends: impl Fn(&FakeRun) -> bool) {
        let (ended, left) = std::mem::take(&mut self.runs).into_iter().partition(|it| ends(it));
        self.runs = left;
        let ended: Vec<FakeRun> = ended;
        for run in ended {
            self.end(&run, outcome);
            if outcome == Outcome::Done {
                self.unconfirmed_ends.push((self.last_end_number, run.task, now));
            }
        }
    }

    fn end(&mut self, run: &FakeRun, outcome: Outcome) {
        self.last_end_number += 1;
        if outcome == Outcome::Failed {
            self.unconfirmed_failures.push((self.last_end_number, run.task, run.run));
        }
        self.closed_runs.push((run.task, run.run));
        self.ends.push(EndedRun {
            number: self.last_end_number,
            task: run.task,
            run: run.run,
            outcome,
            checkpoint: run.checkpoint.clone(),
        });
    }

    pub fn start(&mut self, now: Instant, token: u64, start: &Start, work_ms: u64) -> OrderReply {
        let clock = self.clock(now);
        match self.fault {
            Fault::Unreachable => OrderReply::Unknown,
            Fault::RejectsStarts => OrderReply::Rejected(RejectReason::Unhealthy),
            Fault::LosesAnswers => {
                self.accept(clock, token, start, work_ms);
                OrderReply::Unknown
            }
            Fault::DelaysStarts(by) => {
                self.delayed_orders.push((clock + by, token, start.clone(), work_ms));
                OrderReply::Unknown
            }
            _ => self.accept(clock, token, start, work_ms),
        }
    }

    fn accept(&mut self, clock: u64, token: u64, start: &Start, work_ms: u64) -> OrderReply {
        if token < self.fence {
            return OrderReply::Rejected(RejectReason::Fenced { token });
        }
        self.fence = token;
        if self.runs.iter().any(|it| it.task == start.task && it.run == start.run) {
            self.grant(clock, start.deadline_ms);
            return OrderReply::Done { clock_ms: clock };
        }
        if self.closed_runs.iter().any(|(task, run)| *task == start.task && start.run <= *run) {
            // The lease is extended all the same.
            self.grant(clock, start.deadline_ms);
            return OrderReply::Rejected(RejectReason::StaleRun);
        }
        if start.deadline_ms < clock {
            return OrderReply::Rejected(RejectReason::LeaseExpired);
        }
        self.grant(clock, start.deadline_ms);
        if self.fault == Fault::LacksRoom {
            return OrderReply::Rejected(RejectReason::DoesNotFit);
        }
        let (task, run) = (start.task, start.run);
        self.runs.push(FakeRun {
            task,
            run,
            run_started_ms: clock,
            work_ms,
            done_ms: 0.0,
            pace: 1.0,
            stopping: None,
            checkpoint: start.checkpoint.clone(),
            saved_ms: 0.0,
            waits_for_gang: false,
        });
        OrderReply::Done { clock_ms: clock }
    }

    fn accept_pace(
        &mut self,
        now: Instant,
        token: u64,
        task: TaskId,
        run: u32,
        percent: u8,
    ) -> OrderReply {
        if token < self.fence {
            return OrderReply::Rejected(RejectReason::Fenced { token });
        }
        self.fence = token;
        self.set_pace(task, run, percent);
        OrderReply::Done { clock_ms: self.clock(now) }
    }

    pub fn set_pace(&mut self, task: TaskId, run: u32, percent: u8) {
        let run = self.runs.iter_mut().find(|it| it.task == task && it.run == run);
        if let Some(it) = run {
            it.pace = f64::from(percent) / 100.0;
        }
    }

    pub fn stop(&mut self, now: Instant, token: u64, task: TaskId, run: u32) -> OrderReply {
        if self.fault == Fault::Unreachable {
            return OrderReply::Unknown;
        }
        if token < self.fence {
            return OrderReply::Rejected(RejectReason::Fenced { token });
        }
        self.fence = token;
        let clock = self.clock(now);
        match self.runs.iter_mut().find(|it| it.task == task && it.run == run) {
            Some(it) => it.stopping = it.stopping.or(Some(clock + 200)),
            None => self.closed_runs.push((task, run)),
        }
        OrderReply::Done { clock_ms: clock }
    }

    /// Renews the lease and reports runs and ends; `None` if unreachable, `Err` if fenced.
    pub fn hold(
        &mut self,
        now: Instant,
        token: u64,
        deadline_ms: Option<u64>,
        cursor: u64,
    ) -> Option<Result<RenewalAnswer, ()>> {
        if self.fault == Fault::Unreachable {
            return None;
        }
        if token < self.fence {
            return Some(Err(()));
        }
        self.fence = token;
        let clock = self.clock(now);
        self.grant(clock, deadline_ms.unwrap_or_default());
        self.ends.retain(|it| it.number > cursor);
        let (noted, left) = self.unconfirmed_ends.drain(..).partition(|it| it.0 <= cursor);
        self.unconfirmed_ends = left;
        let noted: Vec<_> = noted;
        self.final_ends.extend(noted.into_iter().map(|(_, task, at)| (task, at)));
        let (noted, left) = self.unconfirmed_failures.drain(..).partition(|it| it.0 <= cursor);
        self.unconfirmed_failures = left;
        let noted: Vec<_> = noted;
        self.final_failures.extend(noted.into_iter().map(|(_, task, run)| (task, run)));
        let percent = |it: &FakeRun| match self.fault {
            Fault::Hangs => 7,
            // A long-running task counts as complete from its start.
            _ if it.work_ms >= LONG_RUNNING_WORK_MS => 100,
            _ => (it.done_ms * 100.0 / it.work_ms.max(1) as f64).min(100.0) as u8,
        };
        let running = self.runs.iter().map(|it| ActiveRun {
            task: it.task,
            run: it.run,
            checkpoint: it.checkpoint.clone(),
            percent: percent(it),
            load: if it.work_ms >= LONG_RUNNING_WORK_MS {
                self.tail_latency_ms
            } else {
                FINITE_RUN_LOAD
            },
        });
        let running = running.collect();
        Some(Ok(RenewalAnswer {
            clock_ms: clock,
            started_at_ms: self.started_at_ms,
            running,
            ended: self.ends.clone(),
        }))
    }

    /// Crashes the worker and starts it again under its name, without its state.
    pub fn restart(&mut self, now: Instant) {
        let name = self.name.clone();
        let restarted = FakeWorker::new(&name, self.capacity.cpu_milli / 1_000);
        let started_at_ms = now.0 / 1_000 + 1;
        let port = self.port;
        let (labels, late) = (self.labels.clone(), std::mem::take(&mut self.delayed_orders));
        // Its clock restarts, and orders in flight still arrive, though not before the owner has
        // had time for a call: nobody could prevent an order that is carried out right at the
        // start, with a token that the new incarnation has not seen replaced.
        let at = now.0 / 1_000 + restarted.clock_offset_ms + 300;
        let late = late.into_iter().map(|(_, token, start, work)| (at, token, start, work));
        let late_calls = std::mem::take(&mut self.delayed_calls).into_iter();
        let late_calls = late_calls.map(|(_, token, action, work)| (at, token, action, work));
        *self = FakeWorker {
            started_at_ms,
            port,
            labels,
            checkpoint_ms: self.checkpoint_ms,
            final_failures: std::mem::take(&mut self.final_failures),
            final_ends: std::mem::take(&mut self.final_ends),
            delayed_orders: late.collect(),
            delayed_calls: late_calls.collect(),
            ..restarted
        };
    }
}

/// Returns a renewal with its wait limited to `most`, and any other action unchanged.
pub fn with_max_wait(action: Action, most: Duration) -> Action {
    match action {
        Action::Renew { worker, deadline_ms, cursor, wait } => {
            Action::Renew { worker, deadline_ms, cursor, wait: wait.min(most) }
        }
        other => other,
    }
}
