//! A stand-in for a worker.
//!
//! A task's text says how long each run takes: `work-ms=N`. A text with `lasting` is of a task that
//! lasts: it is at work after a short startup, and ends `how=HOW` after `work-ms`, if that is set.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use http::StatusCode;
use serde::Deserialize;
use serde_json::json;
use tokio::{task::JoinHandle, time::sleep};

use crate::{
    record::Recorder,
    serve::{Answer, Call, Server, serve},
    store::Writer,
};

const BEAT: Duration = Duration::from_millis(1_100);
const CHECK: Duration = Duration::from_millis(5);
/// The longest lease that a worker grants.
const HOLD_MAX_MS: u64 = 10_000;

/// What a worker says of itself.
#[derive(Debug, Clone)]
pub struct Kind {
    pub labels: Vec<String>,
    pub cpu: u32,
}

#[derive(Debug, Clone)]
struct Run {
    task: String,
    run: u64,
    began: Instant,
    work: Duration,
    how: &'static str,
    lasting: bool,
    /// The checkpoint that the run began with, and whether it makes new ones.
    resumed: String,
    saves: bool,
}

/// The interval of checkpoints.
const CHECKPOINT: Duration = Duration::from_millis(500);

impl Run {
    /// The newest checkpoint: a run makes its own values.
    fn saved(&self) -> String {
        let made = self.began.elapsed().as_millis() / CHECKPOINT.as_millis();
        match self.saves && made > 0 {
            true => {
                let index: u64 =
                    self.task.rsplit('.').next().and_then(|it| it.parse().ok()).unwrap_or_default();
                format!("{:04x}{:04x}{made:08x}", index, self.run)
            }
            false => self.resumed.clone(),
        }
    }
}

/// One life of a worker.
struct Life {
    began: Instant,
    born: u64,
    kind: Kind,
    fence: u64,
    lease_end_ms: u64,
    running: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
    barred: Vec<(String, u64)>,
    /// The worker answers 503 to starts, having done nothing.
    refuses: bool,
    /// All that the worker starts ends `failed` after this time.
    fails_after: Option<Duration>,
}

impl Life {
    fn new(kind: Kind) -> Life {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Life {
            began: Instant::now(),
            born: born.as_millis() as u64,
            kind,
            fence: 0,
            lease_end_ms: 0,
            running: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            barred: Vec::new(),
            refuses: false,
            fails_after: None,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn advance(&mut self, id: &str, recorder: &Recorder) {
        let now = Instant::now();
        let expires = self.began + Duration::from_millis(self.lease_end_ms);
        let mut at = 0;
        while at < self.running.len() {
            let it = &self.running[at];
            let done = it.began + it.work;
            let how = match () {
                () if done <= now && done <= expires => it.how,
                () if expires < now => "lapsed",
                () => {
                    at += 1;
                    continue;
                }
            };
            self.end(at, how, id, recorder);
        }
    }

    fn end(&mut self, at: usize, how: &'static str, id: &str, recorder: &Recorder) {
        let it = self.running.remove(at);
        self.last_end += 1;
        let saved = it.saved();
        recorder.note(format!("worker {id}: {} run {} ends {how}", it.task, it.run));
        self.barred.push((it.task.clone(), it.run));
        self.ended.push((self.last_end, it.task, it.run, how, saved));
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
#[derive(Default)]
struct Order {
    task: String,
    run: u64,
    spec: String,
    last_checkpoint: String,
    fence_token: u64,
    deadline_ms: u64,
    ack_cursor: u64,
    wait_ms: u64,
}

/// A start that a worker has begun.
#[derive(Debug, Clone)]
pub struct Started {
    pub task: String,
    pub run: u64,
    pub checkpoint: String,
    pub worker: String,
    pub labels: Vec<String>,
}

pub struct Worker {
    pub id: String,
    life: Arc<Mutex<Life>>,
    writer: Writer,
    recorder: Recorder,
    address: SocketAddr,
    up: Option<(Server, JoinHandle<()>)>,
    pub started: Arc<Mutex<Vec<Started>>>,
}

impl Worker {
    /// Starts a worker at a free loopback port, and lists it.
    pub async fn start(
        writer: Writer,
        recorder: Recorder,
        id: &str,
        kind: Kind,
        started: Arc<Mutex<Vec<Started>>>,
    ) -> std::io::Result<Worker> {
        let life = Arc::new(Mutex::new(Life::new(kind)));
        let mut worker = Worker {
            id: id.to_owned(),
            life,
            writer,
            recorder,
            address: ([127, 0, 0, 1], 0).into(),
            up: None,
            started,
        };
        worker.begin().await?;
        Ok(worker)
    }

    async fn begin(&mut self) -> std::io::Result<()> {
        let (life, id) = (self.life.clone(), self.id.clone());
        let (recorder, started) = (self.recorder.clone(), self.started.clone());
        let handler = Arc::new(move |call| {
            let (life, id) = (life.clone(), id.clone());
            let (recorder, started) = (recorder.clone(), started.clone());
            Box::pin(async move { handle(&life, &id, &recorder, &started, call).await })
                as std::pin::Pin<Box<_>>
        });
        // A worker is listed before it answers its first call.
        let (life, id, writer) = (self.life.clone(), self.id.clone(), self.writer.clone());
        if self.address.port() != 0 {
            announce(&life, &id, &writer, self.address);
        }
        let server = serve(self.address, handler).await?;
        self.address = server.address;
        let address = self.address;
        let beats = tokio::spawn(async move {
            loop {
                announce(&life, &id, &writer, address);
                sleep(BEAT).await;
            }
        });
        self.up = Some((server, beats));
        Ok(())
    }

    /// Ends the worker at once, without a word.
    pub fn crash(&mut self) {
        if let Some((server, beats)) = self.up.take() {
            drop(server);
            beats.abort();
        }
        self.recorder.note(format!("worker {}: crashes", self.id));
    }

    /// Starts a new life under the same id and at the same address.
    pub async fn restart(&mut self, kind: Kind) -> std::io::Result<()> {
        self.recorder
            .note(format!("worker {}: starts again with labels {:?}", self.id, kind.labels));
        *lock(&self.life) = Life::new(kind);
        self.begin().await
    }

    /// Sets whether the worker answers 503 to starts while its list and lease calls go on.
    pub fn refuse_starts(&self, refuses: bool) {
        self.recorder.note(format!("worker {}: refuses starts: {refuses}", self.id));
        lock(&self.life).refuses = refuses;
    }

    /// Sets whether all that the worker starts fails.
    pub fn fail_runs(&self, after: Option<Duration>) {
        self.recorder.note(format!("worker {}: fails all that it starts: {after:?}", self.id));
        lock(&self.life).fails_after = after;
    }

    /// Ends all runs of a step as `broken`: another member of the gang has ended.
    pub fn break_gang(&self, step: &str) {
        let mut life = lock(&self.life);
        while let Some(at) = life.running.iter().position(|it| it.task.starts_with(step)) {
            life.end(at, "broken", &self.id, &self.recorder);
        }
    }

    /// The tasks that run now.
    pub fn running(&self) -> Vec<String> {
        if self.up.is_none() {
            return Vec::new();
        }
        let mut life = lock(&self.life);
        life.advance(&self.id, &self.recorder);
        life.running.iter().map(|it| it.task.clone()).collect()
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        if let Some((_, beats)) = self.up.take() {
            beats.abort();
        }
    }
}

fn lock<T>(it: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    it.lock().unwrap_or_else(PoisonError::into_inner)
}

fn announce(life: &Mutex<Life>, id: &str, writer: &Writer, address: SocketAddr) {
    let (clock_ms, born, kind) = {
        let it = lock(life);
        (it.clock_ms(), it.born, it.kind.clone())
    };
    let body = json!({
        "service": "svc", "address": address.to_string(), "zone": "z1", "version": "v1",
        "slots": 8, "state": "ready", "cold-ms": 0,
        "capacity": { "cpu": kind.cpu, "mem-mb": 64_000, "gpu": 0 }, "labels": kind.labels,
        "clock-ms": clock_ms, "seq-no": clock_ms, "born": born,
    });
    writer.write("keyed.servers", 0, id, body.to_string().into());
}

/// Startup of a task that lasts.
const STARTUP: Duration = Duration::from_millis(400);

fn run_of(task: String, number: u64, spec: &str, index: usize) -> Run {
    let value = |name: &str| spec.split_whitespace().find_map(|it| it.strip_prefix(name));
    let lasting = spec.split_whitespace().any(|it| it == "lasting");
    // The words `only=N` limit the end to the task with this index; the others last for long.
    let ends = value("only=").is_none_or(|it| it.parse() == Ok(index));
    let default = if lasting { 600_000 } else { 100 };
    let work = value("work-ms=").filter(|_| ends).and_then(|it| it.parse().ok());
    let how = match value("how=") {
        Some("failed") => "failed",
        _ => "done",
    };
    let work = Duration::from_millis(work.unwrap_or(default));
    let saves = spec.split_whitespace().any(|it| it == "saves");
    let (began, resumed) = (Instant::now(), String::new());
    Run { task, run: number, began, work, how, lasting, resumed, saves }
}

async fn handle(
    life: &Mutex<Life>,
    id: &str,
    recorder: &Recorder,
    started: &Mutex<Vec<Started>>,
    call: Call,
) -> Answer {
    if call.expected.as_deref().is_some_and(|it| it != id) {
        return Some((StatusCode::MISDIRECTED_REQUEST, Vec::new()));
    }
    let Ok(order) = serde_json::from_slice::<Order>(&call.body) else {
        return Some((StatusCode::BAD_REQUEST, Vec::new()));
    };
    let conflict = |clock_ms: u64, reason: &str| {
        let body = json!({ "clock-ms": clock_ms, "reason": reason });
        Some((StatusCode::CONFLICT, body.to_string().into_bytes()))
    };
    let done = |clock_ms: u64| {
        Some((StatusCode::OK, json!({ "clock-ms": clock_ms }).to_string().into_bytes()))
    };
    {
        let mut it = lock(life);
        it.advance(id, recorder);
        if order.fence_token < it.fence {
            return conflict(it.clock_ms(), "fence");
        }
        it.fence = order.fence_token;
    }
    match call.name() {
        "run-start" => {
            let mut it = lock(life);
            if it.refuses {
                recorder.note(format!("worker {id}: start of {} answered 503", order.task));
                return Some((StatusCode::SERVICE_UNAVAILABLE, Vec::new()));
            }
            let clock = it.clock_ms();
            if it.running.iter().any(|it| it.task == order.task && it.run == order.run) {
                return done(clock);
            }
            if it.barred.iter().any(|(task, run)| *task == order.task && order.run <= *run) {
                return conflict(clock, "old");
            }
            if order.deadline_ms < clock {
                return conflict(clock, "late");
            }
            it.lease_end_ms = it.lease_end_ms.max(order.deadline_ms.min(clock + HOLD_MAX_MS));
            recorder.note(format!(
                "worker {id} labels {:?}: starts {} run {} from checkpoint {:?}",
                it.kind.labels, order.task, order.run, order.last_checkpoint
            ));
            let index = order.task.rsplit('.').next().and_then(|it| it.parse().ok());
            let mut run =
                run_of(order.task.clone(), order.run, &order.spec, index.unwrap_or_default());
            if let Some(after) = it.fails_after {
                (run.work, run.how) = (after, "failed");
            }
            run.resumed.clone_from(&order.last_checkpoint);
            it.running.push(run);
            let labels = it.kind.labels.clone();
            let checkpoint = order.last_checkpoint;
            let (task, run, worker) = (order.task, order.run, id.to_owned());
            lock(started).push(Started { task, run, checkpoint, worker, labels });
            done(clock)
        }
        "run-stop" => {
            let mut it = lock(life);
            let at = it.running.iter().position(|r| r.task == order.task && r.run == order.run);
            match at {
                Some(at) => it.end(at, "stopped", id, recorder),
                None => it.barred.push((order.task, order.run)),
            }
            done(it.clock_ms())
        }
        "pace" => done(lock(life).clock_ms()),
        "hold" => {
            {
                let mut it = lock(life);
                let clock = it.clock_ms();
                it.lease_end_ms = it.lease_end_ms.max(order.deadline_ms.min(clock + HOLD_MAX_MS));
                it.ended.retain(|(number, ..)| *number > order.ack_cursor);
            }
            let until = Instant::now() + Duration::from_millis(order.wait_ms.min(2_000));
            loop {
                {
                    let mut it = lock(life);
                    it.advance(id, recorder);
                    if !it.ended.is_empty() || Instant::now() >= until {
                        break;
                    }
                }
                sleep(CHECK).await;
            }
            let it = lock(life);
            let percent = |run: &Run| {
                if run.lasting {
                    return if run.began.elapsed() >= STARTUP { 100 } else { 0 };
                }
                (run.began.elapsed().as_millis() * 100 / run.work.as_millis().max(1)).min(99) as u64
            };
            let running: Vec<_> = it
                .running
                .iter()
                .map(|r| json!([r.task, r.run, r.saved(), percent(r), 1_000]))
                .collect();
            let ended = it.ended.iter().take(500);
            let ended: Vec<_> = ended
                .map(|(number, task, run, how, saved)| json!([number, task, run, how, saved]))
                .collect();
            let body = json!({
                "clock-ms": it.clock_ms(), "born": it.born, "running": running, "ended": ended,
            });
            Some((StatusCode::OK, body.to_string().into_bytes()))
        }
        _ => Some((StatusCode::NOT_FOUND, Vec::new())),
    }
}
