//! A stand-in for a worker.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde::Deserialize;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    http::{Answer, Call, serve},
    record::Recorder,
    store::Store,
};

pub const HEARTBEAT: Duration = Duration::from_millis(1_100);
const FIRST_HEARTBEAT: Duration = Duration::from_millis(800);
pub const MAX_HOLD_MS: u64 = 10_000;
const CHECKPOINT_MS: u64 = 500;
const STEP: Duration = Duration::from_millis(10);
/// The most ends that one answer lists.
const ENDS_LISTED: usize = 500;
/// How long ago the first incarnation of each worker started.
const FIRST_CLOCK_MS: u64 = 400_000;

/// A run that a worker has begun, in any of its incarnations.
#[derive(Clone)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub began: Instant,
    pub ended: Option<(Instant, &'static str)>,
    pub cpu: u32,
    work: Option<Duration>,
    saves: bool,
    tail_ms: u32,
    /// The number of the end in the incarnation that listed it.
    number: u64,
    /// When the cursor of a renewal reached the end.
    pub noted: Option<Instant>,
}

#[derive(Default)]
struct Faults {
    /// Whether no call reaches the worker.
    cut: bool,
    /// Whether the worker's entries don't reach the store either.
    unlisted: bool,
    /// Leave the next start order unanswered and carry it out after this time.
    delay_next_start: Option<Duration>,
}

struct State {
    began: Instant,
    clock_base_ms: u64,
    born: u64,
    fence: u64,
    lease_end_ms: u64,
    runs: Vec<Run>,
    active: Vec<usize>,
    ended: Vec<usize>,
    last_number: u64,
    /// The highest run of each task that was stopped or has ended here.
    closed: HashMap<String, u64>,
    faults: Faults,
    delayed_carried_out: u32,
    /// When the last renewal was answered, and when the one that waits for an end arrived.
    hold_answered: Instant,
    hold_began: Option<Instant>,
    /// Before this time the worker has no power.
    dark_until: Instant,
}

/// What the tasks of a job need and do, by the job's id.
#[derive(Clone)]
pub struct Work {
    pub cpu: u32,
    /// `None` for tasks that last.
    pub time: Option<Duration>,
    pub saves: bool,
    /// The tail that tasks which serve report, in milliseconds; 0 for other tasks.
    pub tail_ms: u32,
}

pub type Works = Arc<Mutex<HashMap<String, Work>>>;

pub struct Worker {
    pub id: String,
    pub rack: String,
    pub zone: String,
    pub cores: u32,
    pub checkpoint_chars: usize,
    works: Works,
    state: Mutex<State>,
    recorder: Recorder,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Order {
    task: String,
    run: u64,
    fence_token: u64,
    deadline_ms: u64,
    ack_cursor: u64,
    wait_ms: u64,
    last_checkpoint: String,
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.clock_base_ms + self.began.elapsed().as_millis() as u64
    }

    fn end(&mut self, at: usize, how: &'static str, when: Instant) {
        self.last_number += 1;
        let it = &mut self.runs[at];
        it.ended = Some((when, how));
        it.number = self.last_number;
        let closed = self.closed.entry(it.task.clone()).or_default();
        *closed = (*closed).max(it.run);
        self.active.retain(|other| *other != at);
        self.ended.push(at);
    }

    /// Ends what has done its work, and everything when the lease is over.
    fn end_due(&mut self) -> Vec<(String, u64, &'static str)> {
        let now = Instant::now();
        let lapsed = self.clock_ms() > self.lease_end_ms;
        let mut ends = Vec::new();
        for at in self.active.clone() {
            let it = &self.runs[at];
            let done = it.work.is_some_and(|work| it.began + work <= now);
            let how = if done {
                "done"
            } else if lapsed {
                "lapsed"
            } else {
                continue;
            };
            ends.push((it.task.clone(), it.run, how));
            self.end(at, how, now);
        }
        ends
    }

    fn extend_lease(&mut self, deadline_ms: u64) {
        let granted = deadline_ms.min(self.clock_ms() + MAX_HOLD_MS);
        self.lease_end_ms = self.lease_end_ms.max(granted);
    }
}

impl Worker {
    pub async fn start(
        id: &str,
        (zone, rack): (&str, &str),
        cores: u32,
        checkpoint_chars: usize,
        works: Works,
        store: Arc<Store>,
        recorder: Recorder,
    ) -> Arc<Worker> {
        let state = State {
            began: Instant::now(),
            clock_base_ms: FIRST_CLOCK_MS,
            born: wall_ms() - FIRST_CLOCK_MS,
            fence: 0,
            lease_end_ms: 0,
            runs: Vec::new(),
            active: Vec::new(),
            ended: Vec::new(),
            last_number: 0,
            closed: HashMap::new(),
            faults: Faults::default(),
            delayed_carried_out: 0,
            hold_answered: Instant::now(),
            hold_began: None,
            dark_until: Instant::now(),
        };
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            rack: rack.to_owned(),
            zone: zone.to_owned(),
            cores,
            checkpoint_chars,
            works,
            state: Mutex::new(state),
            recorder,
        });
        let address = serve(worker.clone(), handle).await;
        tokio::spawn(worker.clone().announce(store, address));
        tokio::spawn(worker.clone().run_tasks());
        worker
    }

    /// Writes the worker's entry at every heartbeat. After a start the first one comes when the
    /// worker has served calls for a short time.
    async fn announce(self: Arc<Worker>, store: Arc<Store>, address: SocketAddr) {
        let mut due = Instant::now();
        let mut last_born = 0;
        let (mut written, mut dropped) = (Instant::now(), false);
        for seq in 1u64.. {
            let (born, clock_ms, is_dark) = {
                let state = self.state.lock().unwrap();
                let is_dark = Instant::now() < state.dark_until || state.faults.unlisted;
                (state.born, state.clock_ms(), is_dark)
            };
            if last_born != 0 && born != last_born {
                due = Instant::now() + FIRST_HEARTBEAT;
            }
            last_born = born;
            // The store drops the entry after three heartbeats of silence.
            if is_dark && !dropped && written.elapsed() > HEARTBEAT * 3 {
                dropped = true;
                store.write("keyed.servers", &self.id, Vec::new());
            }
            if is_dark || Instant::now() < due {
                sleep(STEP).await;
                continue;
            }
            due = Instant::now() + HEARTBEAT;
            (written, dropped) = (Instant::now(), false);
            let body = json!({
                "service": "devis", "address": address.to_string(), "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready", "cold-ms": 0, "seq-no": seq,
                "capacity": { "cpu": self.cores * 1_000, "mem-mb": 256_000, "gpu": 0 },
                "labels": ["a", self.rack], "clock-ms": clock_ms, "born": born,
                "machine": format!("m-{}", self.id),
            });
            store.write("keyed.servers", &self.id, body.to_string().into_bytes());
        }
    }

    async fn run_tasks(self: Arc<Worker>) {
        loop {
            let ends = self.state.lock().unwrap().end_due();
            for (task, run, how) in ends {
                self.note(&format!("end task={task} run={run} how={how}"));
            }
            sleep(STEP).await;
        }
    }

    fn note(&self, text: &str) {
        self.recorder.line(&format!("worker {} {text}", self.id));
    }

    pub fn set_cut(&self, cut: bool) {
        self.note(if cut { "is cut off and runs on" } else { "is reached again" });
        self.state.lock().unwrap().faults.cut = cut;
    }

    /// Cuts the worker off from the store as well, or connects it again.
    pub fn set_unlisted(&self, unlisted: bool) {
        self.state.lock().unwrap().faults.unlisted = unlisted;
    }

    pub fn delay_next_start(&self, delay: Duration) {
        self.state.lock().unwrap().faults.delay_next_start = Some(delay);
    }

    /// Returns how many delayed orders have arrived.
    pub fn delayed_carried_out(&self) -> u32 {
        self.state.lock().unwrap().delayed_carried_out
    }

    fn is_silent(&self) -> bool {
        let state = self.state.lock().unwrap();
        state.faults.cut || Instant::now() < state.dark_until
    }

    /// Returns the time since the last renewal was answered.
    pub fn since_hold(&self) -> Duration {
        self.state.lock().unwrap().hold_answered.elapsed()
    }

    /// Returns for how long a renewal has waited for an end.
    pub fn hold_age(&self) -> Duration {
        let began = self.state.lock().unwrap().hold_began;
        began.map_or(Duration::ZERO, |it| it.elapsed())
    }

    /// Takes the worker's power for a time, after which it starts under the same id. Connections
    /// that are open go silent.
    pub async fn lose_power(&self, time: Duration) {
        self.state.lock().unwrap().dark_until = Instant::now() + time;
        self.note(&format!("loses power for {time:?}"));
        sleep(time).await;
        self.crash();
    }

    /// Crashes the worker and starts it again under the same id: what ran has ended, and it knows
    /// nothing of before.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        for at in std::mem::take(&mut state.active) {
            state.runs[at].ended = Some((now, "crashed"));
        }
        state.ended.clear();
        state.closed.clear();
        state.last_number = 0;
        state.fence = 0;
        state.lease_end_ms = 0;
        state.began = now;
        state.clock_base_ms = 0;
        state.born = wall_ms();
        drop(state);
        self.note("crashes and starts again under its id");
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Returns the tasks that run, and the processors they take.
    pub fn running(&self) -> (Vec<String>, u32) {
        let state = self.state.lock().unwrap();
        let active = state.active.iter().map(|at| &state.runs[*at]);
        (active.clone().map(|it| it.task.clone()).collect(), active.map(|it| it.cpu).sum())
    }

    pub fn lease_left_ms(&self) -> u64 {
        let state = self.state.lock().unwrap();
        state.lease_end_ms.saturating_sub(state.clock_ms())
    }

    fn checkpoint(&self, it: &Run) -> String {
        let passed = it.began.elapsed().as_millis() as u64;
        if !it.saves || passed < CHECKPOINT_MS {
            return String::new();
        }
        let value = (passed / CHECKPOINT_MS) << 32 | it.run;
        format!("{value:0width$x}", width = self.checkpoint_chars)
    }

    /// Begins a run, or gives the reason for which it is rejected.
    fn begin(&self, order: &Order) -> Option<&'static str> {
        let job = order.task.split('.').next().unwrap_or_default();
        let work = self.works.lock().unwrap().get(job).cloned();
        let mut state = self.state.lock().unwrap();
        let here =
            |at: &usize| state.runs[*at].task == order.task && state.runs[*at].run == order.run;
        if state.active.iter().any(here) {
            return None;
        }
        if state.closed.get(&order.task).is_some_and(|run| order.run <= *run) {
            state.extend_lease(order.deadline_ms);
            return Some("old");
        }
        if order.deadline_ms < state.clock_ms() {
            return Some("late");
        }
        state.extend_lease(order.deadline_ms);
        let Some(work) = work else {
            drop(state);
            self.note(&format!("start task={} run={} of no client's job", order.task, order.run));
            return Some("late");
        };
        let at = state.runs.len();
        state.runs.push(Run {
            task: order.task.clone(),
            run: order.run,
            began: Instant::now(),
            ended: None,
            cpu: work.cpu,
            work: work.time,
            saves: work.saves,
            tail_ms: work.tail_ms,
            number: 0,
            noted: None,
        });
        state.active.push(at);
        drop(state);
        let resumed = if order.last_checkpoint.is_empty() { "" } else { " resumed" };
        self.note(&format!("start task={} run={}{resumed}", order.task, order.run));
        None
    }

    fn stop(&self, order: &Order) {
        let mut state = self.state.lock().unwrap();
        let here =
            |at: &&usize| state.runs[**at].task == order.task && state.runs[**at].run == order.run;
        match state.active.iter().find(here).copied() {
            Some(at) => state.end(at, "stopped", Instant::now()),
            None => {
                let closed = state.closed.entry(order.task.clone()).or_default();
                *closed = (*closed).max(order.run);
            }
        }
        drop(state);
        self.note(&format!("stop task={} run={}", order.task, order.run));
    }

    /// Renews the lease and lists what runs and what has ended; `None` if the worker crashes
    /// meanwhile.
    async fn hold(&self, order: &Order) -> Answer {
        let born = {
            let mut state = self.state.lock().unwrap();
            if order.deadline_ms > 0 {
                state.extend_lease(order.deadline_ms);
            }
            let State { ended, runs, .. } = &mut *state;
            ended.retain(|at| {
                let it = &mut runs[*at];
                let is_noted = it.number <= order.ack_cursor;
                it.noted = is_noted.then(Instant::now);
                !is_noted
            });
            state.hold_began = Some(Instant::now());
            state.born
        };
        let until = Instant::now() + Duration::from_millis(order.wait_ms.min(2_000));
        while Instant::now() < until && self.state.lock().unwrap().ended.is_empty() {
            sleep(STEP).await;
        }
        let mut state = self.state.lock().unwrap();
        state.hold_answered = Instant::now();
        state.hold_began = None;
        if state.born != born {
            return None;
        }
        let running: Vec<_> = state
            .active
            .iter()
            .map(|at| {
                let it = &state.runs[*at];
                let percent = match it.work {
                    Some(work) => it.began.elapsed().as_millis() * 100 / work.as_millis().max(1),
                    None => 100,
                };
                let load = if it.tail_ms > 0 { it.tail_ms } else { it.cpu };
                json!([it.task, it.run, self.checkpoint(it), percent.min(100) as u64, load])
            })
            .collect();
        let ended: Vec<_> = state
            .ended
            .iter()
            .take(ENDS_LISTED)
            .map(|at| {
                let it = &state.runs[*at];
                let how = it.ended.map_or("", |(_, how)| how);
                let saved = if how == "stopped" { self.checkpoint(it) } else { String::new() };
                json!([it.number, it.task, it.run, how, saved])
            })
            .collect();
        let body = json!({
            "clock-ms": state.clock_ms(), "born": state.born, "running": running, "ended": ended,
        });
        Some((200, body.to_string().into_bytes()))
    }

    fn answer(&self, reason: Option<&str>) -> (u16, Vec<u8>) {
        let clock_ms = self.state.lock().unwrap().clock_ms();
        let (status, body) = match reason {
            None => (200, json!({ "clock-ms": clock_ms })),
            Some(reason) => (409, json!({ "clock-ms": clock_ms, "reason": reason })),
        };
        (status, body.to_string().into_bytes())
    }

    /// Whether the order has a token that is not lower than the highest seen.
    fn accepts(&self, order: &Order) -> bool {
        let mut state = self.state.lock().unwrap();
        let accepted = order.fence_token >= state.fence;
        state.fence = state.fence.max(order.fence_token);
        accepted
    }
}

async fn handle(worker: Arc<Worker>, call: Call) -> Answer {
    if worker.is_silent() {
        return None;
    }
    if call.name() == "health" {
        return Some((200, Vec::new()));
    }
    if !call.expected_instance.is_empty() && call.expected_instance != worker.id {
        return Some((421, Vec::new()));
    }
    let Ok(order) = serde_json::from_slice::<Order>(&call.body) else {
        return Some((400, Vec::new()));
    };
    if call.name() == "run-start" {
        let delay = worker.state.lock().unwrap().faults.delay_next_start.take();
        if let Some(delay) = delay {
            worker.note(&format!(
                "leaves start task={} run={} deadline_ms={} unanswered, to be carried out in {:?}",
                order.task, order.run, order.deadline_ms, delay
            ));
            tokio::spawn(carry_out_late(worker, order, delay));
            return None;
        }
    }
    if !worker.accepts(&order) {
        return Some(worker.answer(Some("fence")));
    }
    let answer = match call.name() {
        "run-start" => {
            let reason = worker.begin(&order);
            worker.answer(reason)
        }
        "run-stop" => {
            worker.stop(&order);
            worker.answer(None)
        }
        "pace" => worker.answer(None),
        "hold" => worker.hold(&order).await?,
        _ => (404, Vec::new()),
    };
    // An answer that was under way when the worker was cut off is lost.
    (!worker.is_silent()).then_some(answer)
}

async fn carry_out_late(worker: Arc<Worker>, order: Order, delay: Duration) {
    sleep(delay).await;
    let reason = match worker.accepts(&order) {
        true => worker.begin(&order),
        false => Some("fence"),
    };
    worker.note(&format!(
        "carries out the delayed start task={} run={} rejected={} lease_left_ms={}",
        order.task,
        order.run,
        reason.unwrap_or("no"),
        worker.lease_left_ms()
    ));
    worker.state.lock().unwrap().delayed_carried_out += 1;
}
