//! A worker: its control address, and the backend server of the services on it.
//!
//! `POST /v1/worker` and `GET /v1/worker/news` are those of [`daisy_wire::worker`]. Besides, `POST /standin/jobs` with a
//! list of [`JobRun`]s says how long the tasks of which jobs run.

mod journal;
mod state;

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

use daisy_history::{History, Kind};
use daisy_model::{Resources, WorkerCall};
use daisy_wire::worker::{CallJson, ReportJson, ReportVersionJson};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::{
    Backend, FaultError, Faults, Recorder, backend,
    fault::{Switches, count_down},
    http::{Abort, Handler, Reply, Server, json, pass, read_body, standin, text},
    recorder::locked,
    run::until_stopped,
};

pub use self::state::{Flaws, Interference, JobRun, WorkerOptions, WorkerState};

/// How a worker stand-in works.
#[derive(Debug, Clone)]
pub struct Options {
    /// Its name in the history.
    pub name: String,
    /// Where it listens for its holder; port 0 takes a free one.
    pub control: SocketAddr,
    /// Capacity, run times, interference.
    pub worker: WorkerOptions,
    /// The backend server beside it; `None` for none.
    pub backend: Option<backend::Options>,
    /// The file that each event is written to at once.
    pub history: Option<PathBuf>,
}

impl Default for Options {
    /// Free ports, 16 cores and 60 GiB (one of the users' workers), a backend server.
    fn default() -> Options {
        Options {
            name: "worker".to_owned(),
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
            worker: WorkerOptions::default(),
            backend: Some(backend::Options::default()),
            history: None,
        }
    }
}

/// A running worker stand-in.
#[derive(Debug)]
pub struct Worker {
    shared: Arc<Shared>,
    server: Server,
    backend: Option<Backend>,
    ticker: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    recorder: Recorder,
    switches: Switches,
    state: Mutex<WorkerState>,
    /// The call before, for the replay switch.
    previous: Mutex<Option<WorkerCall>>,
    /// Calls that are carried out late, and when.
    late: Mutex<Vec<(daisy_model::Instant, WorkerCall)>>,
    presence: backend::Presence,
}

/// Serves until SIGTERM.
pub async fn run(options: Options) -> anyhow::Result<()> {
    let worker = Worker::start(options).await?;
    let (control, backend) = (worker.address(), worker.backend_address());
    log::info!("event=worker-started control={control} backend={backend:?}");
    until_stopped().await?;
    worker.stop().await;
    Ok(())
}

const OWN_SWITCHES: &[&str] =
    &["replay", "late_calls", "late_ms", "fail_everything", "overcommit", "unfenced"];
const TICK: Duration = Duration::from_millis(10);
const CALL_BYTES: usize = 4 << 20;
/// The longest wait for news.
const NEWS_WAIT: Duration = Duration::from_secs(60);
const NEWS_POLL: Duration = Duration::from_millis(20);

impl Worker {
    /// Listens and works until [`Worker::stop`].
    ///
    /// Fails if an address or the history's file cannot be had.
    pub async fn start(options: Options) -> anyhow::Result<Worker> {
        let recorder = Recorder::open(&options.name, options.history.as_deref())?;
        let capacity = state::size_of(options.worker.capacity);
        recorder.record(Kind::WorkerBegan { capacity });
        let presence = backend::Presence::default();
        let mut state = WorkerState::new(options.worker);
        state.set_boot(fastrand::u64(..));
        let shared = Arc::new(Shared {
            recorder: recorder.clone(),
            switches: Switches::new(&recorder, "worker", OWN_SWITCHES),
            state: Mutex::new(state),
            previous: Mutex::new(None),
            late: Mutex::default(),
            presence: presence.clone(),
        });
        let server = Server::bind(options.control, shared.clone()).await?;
        let backend = match options.backend {
            Some(backend) => Some(Backend::start_with(backend, recorder, presence).await?),
            None => None,
        };
        shared.settle();
        let ticker = tokio::spawn(tick(shared.clone()));
        Ok(Worker { shared, server, backend, ticker })
    }

    /// Where it listens for its holder.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Where its backend server listens.
    pub fn backend_address(&self) -> Option<SocketAddr> {
        self.backend.as_ref().map(Backend::address)
    }

    /// The backend server beside it.
    pub fn backend(&self) -> Option<&Backend> {
        self.backend.as_ref()
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: Faults) -> Result<(), FaultError> {
        self.shared.switches.set(faults)
    }

    /// Says how tasks of these jobs run from now on.
    pub fn set_jobs(&self, jobs: Vec<JobRun>) {
        self.shared.set_jobs(jobs);
    }

    /// Tasks that run on it now.
    pub fn running(&self) -> usize {
        locked(&self.shared.state).running()
    }

    /// What it saw so far, its backend server included.
    pub fn history(&self) -> History {
        self.shared.recorder.history()
    }

    /// Closes the ports and all connections.
    pub async fn stop(self) {
        self.ticker.abort();
        self.server.stop().await;
        if let Some(backend) = self.backend {
            backend.stop().await;
        }
    }
}

/// What a request for news asks.
struct News {
    seen: ReportVersionJson,
    wait: Duration,
}

impl News {
    fn try_parse(query: &str) -> Option<News> {
        let number = |name: &str| -> Option<u64> {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(key, _)| *key == name)?.1.parse().ok()
        };
        let seen = ReportVersionJson { boot: number("boot")?, version: number("version")? };
        Some(News { seen, wait: Duration::from_millis(number("wait_ms")?) })
    }
}

async fn tick(shared: Arc<Shared>) {
    let mut timer = tokio::time::interval(TICK);
    loop {
        timer.tick().await;
        shared.carry_out_late();
        shared.settle();
    }
}

impl Handler for Shared {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        let req = match standin(req, &self.switches, &self.recorder).await {
            Ok(reply) => return reply,
            Err(req) => req,
        };
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/standin/jobs") => self.post_jobs(req).await,
            (&Method::POST, "/v1/worker") => {
                if let Err(reply) = pass(&req, &self.switches).await {
                    return reply;
                }
                self.call(req).await
            }
            (&Method::GET, "/v1/worker/news") => {
                if let Err(reply) = pass(&req, &self.switches).await {
                    return reply;
                }
                self.wait_for_news(req.uri().query().unwrap_or_default()).await
            }
            (_, path) => Ok(text(StatusCode::NOT_FOUND, &format!("no {path} here"))),
        }
    }
}

impl Shared {
    async fn call(&self, req: Request<Incoming>) -> Reply {
        let body = match read_body(req.into_body(), CALL_BYTES).await {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        let call = match serde_json::from_slice::<CallJson>(&body) {
            Ok(call) => call,
            Err(error) => return Ok(text(StatusCode::BAD_REQUEST, &error.to_string())),
        };
        let (seen, call) = (call.seen, WorkerCall::from(call));
        if self.holds_back(&call) {
            return Err(Abort);
        }
        self.replay_previous(&call);
        let report = self.carry_out(seen, call);
        if self.switches.loses_answer() {
            return Err(Abort);
        }
        Ok(json(StatusCode::OK, &report))
    }

    fn holds_back(&self, call: &WorkerCall) -> bool {
        let late = self.switches.with(|faults| {
            count_down(&mut faults.late_calls).then_some(Duration::from_millis(faults.late_ms))
        });
        let Some(late) = late else { return false };
        locked(&self.late).push((self.recorder.now() + late, call.clone()));
        true
    }

    fn carry_out_late(&self) {
        let now = self.recorder.now();
        let due: Vec<_> = locked(&self.late).extract_if(.., |(at, _)| *at <= now).collect();
        for (_, call) in due {
            self.carry_out(None, call);
        }
    }

    fn replay_previous(&self, call: &WorkerCall) {
        let previous = locked(&self.previous).replace(call.clone());
        let armed =
            previous.is_some() && self.switches.with(|faults| count_down(&mut faults.replay));
        if let Some(previous) = previous.filter(|_| armed) {
            self.carry_out(None, previous);
        }
    }

    fn carry_out(&self, seen: Option<ReportVersionJson>, call: WorkerCall) -> ReportJson {
        let flaws = self.switches.with(|faults| Flaws {
            fail_everything: faults.fail_everything,
            overcommit: faults.overcommit,
            unfenced: faults.unfenced,
        });
        let mut state = locked(&self.state);
        let report = state.call(self.recorder.now(), call, flaws);
        self.publish(&mut state);
        state.since(seen, report)
    }

    /// Answers once a task has ended since the version asked about, or after a while.
    async fn wait_for_news(&self, query: &str) -> Reply {
        let Some(News { seen, wait }) = News::try_parse(query) else {
            return Ok(text(StatusCode::BAD_REQUEST, "expected boot=B&version=V&wait_ms=M"));
        };
        let deadline = Instant::now() + wait.min(NEWS_WAIT);
        while Instant::now() < deadline {
            let news = locked(&self.state).news();
            if news.boot != seen.boot || news.version > seen.version {
                return Ok(text(StatusCode::NO_CONTENT, ""));
            }
            sleep(NEWS_POLL).await;
        }
        Ok(text(StatusCode::NOT_MODIFIED, ""))
    }

    /// Lets time pass.
    fn settle(&self) {
        let mut state = locked(&self.state);
        state.tick(self.recorder.now());
        self.publish(&mut state);
    }

    fn publish(&self, state: &mut WorkerState) {
        for (at, kind) in state.take_events() {
            self.recorder.record_at(at, kind);
        }
        self.presence.set(state.services());
    }

    fn set_jobs(&self, jobs: Vec<JobRun>) {
        locked(&self.state).set_jobs(jobs);
        self.settle();
    }

    async fn post_jobs(&self, req: Request<Incoming>) -> Reply {
        let body = match read_body(req.into_body(), CALL_BYTES).await {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        match serde_json::from_slice(&body) {
            Ok(jobs) => {
                self.set_jobs(jobs);
                Ok(text(StatusCode::OK, "set"))
            }
            Err(error) => Ok(text(StatusCode::BAD_REQUEST, &error.to_string())),
        }
    }
}

/// Capacity of one of Confeitaria's workers: 16 cores, 60 GB.
pub const CONFEITARIA: Resources =
    Resources { cpu_milli: 16_000, memory_mib: 60 << 10, accelerators: 0 };

/// Capacity of one of Beaulac's workers: 64 cores, 250 GB.
pub const BEAULAC: Resources =
    Resources { cpu_milli: 64_000, memory_mib: 250 << 10, accelerators: 0 };
