//! Stand-in for a worker, with a control address and a backend server for the services on it.
//!
//! `POST /v1/worker` and `GET /v1/worker/news` are those of [`daisy_wire::worker`]. In addition,
//! `POST /standin/jobs` with a list of [`JobBehaviour`]s sets how the tasks of particular jobs run.

mod journal;
mod state;

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

use daisy_history::{EventKind, History};
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
    fault::{FaultSwitches, count_down},
    http::{
        Abort, Handler, HandlerResult, Server, apply_faults, handle_common_paths, json, read_body,
        text,
    },
    recorder::lock,
    run::wait_for_stop_signal,
};

pub use self::state::{Interference, JobBehaviour, WorkerFaults, WorkerOptions, WorkerState};

/// Settings of a worker stand-in.
#[derive(Debug, Clone)]
pub struct Options {
    /// Its name in the history.
    pub name: String,
    /// The control address, on which it listens for its holder; port 0 chooses a free port.
    pub control: SocketAddr,
    /// Its capacity, and the run times and interference of its tasks.
    pub worker: WorkerOptions,
    /// Settings of the backend server on the same VM; `None` for no server.
    pub backend: Option<backend::Options>,
    /// The file to which each event is written as soon as it is recorded.
    pub history: Option<PathBuf>,
}

impl Default for Options {
    /// Returns settings with free ports, 16 cores and 60 GiB (one of the users' workers), and a backend
    /// server.
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
    switches: FaultSwitches,
    state: Mutex<WorkerState>,
    /// The previous call, for the switch `replay`.
    previous_call: Mutex<Option<WorkerCall>>,
    /// Calls that are carried out later, each with its time, for the switch `late_calls`.
    delayed_calls: Mutex<Vec<(daisy_model::Instant, WorkerCall)>>,
    service_states: backend::ServiceStates,
}

/// Serves until SIGTERM or SIGINT.
///
/// # Errors
///
/// If the stand-in cannot be started.
pub async fn run(options: Options) -> anyhow::Result<()> {
    let worker = Worker::start(options).await?;
    let (control, backend) = (worker.address(), worker.backend_address());
    log::info!("event=worker-started control={control} backend={backend:?}");
    wait_for_stop_signal().await?;
    worker.stop().await;
    Ok(())
}

/// Names of the fault switches that a worker has besides the common ones.
const OWN_SWITCHES: &[&str] =
    &["replay", "late_calls", "late_ms", "fail_everything", "overcommit", "unfenced"];
/// How often the state is advanced.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
const MAX_CALL_BYTES: usize = 4 << 20;
/// Maximum time that a request for updates waits.
const MAX_UPDATE_WAIT: Duration = Duration::from_secs(60);
/// How often a request for updates checks for them.
const UPDATE_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Worker {
    /// Listens and works until [`Worker::stop`].
    ///
    /// # Errors
    ///
    /// If an address cannot be bound or the history file cannot be created.
    pub async fn start(options: Options) -> anyhow::Result<Worker> {
        let recorder = Recorder::open(&options.name, options.history.as_deref())?;
        let capacity = state::history_size(options.worker.capacity);
        recorder.record(EventKind::WorkerBegan { capacity });
        let service_states = backend::ServiceStates::default();
        let mut state = WorkerState::new(options.worker);
        state.set_boot_id(fastrand::u64(..));
        let shared = Arc::new(Shared {
            recorder: recorder.clone(),
            switches: FaultSwitches::new(&recorder, "worker", OWN_SWITCHES),
            state: Mutex::new(state),
            previous_call: Mutex::new(None),
            delayed_calls: Mutex::default(),
            service_states: service_states.clone(),
        });
        let server = Server::bind(options.control, shared.clone()).await?;
        let backend = match options.backend {
            Some(backend) => Some(Backend::start_with(backend, recorder, service_states).await?),
            None => None,
        };
        shared.advance();
        let ticker = tokio::spawn(tick(shared.clone()));
        Ok(Worker { shared, server, backend, ticker })
    }

    /// Returns the control address, on which it listens for its holder.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address of its backend server, if it has one.
    pub fn backend_address(&self) -> Option<SocketAddr> {
        self.backend.as_ref().map(Backend::address)
    }

    /// Returns its backend server, if it has one.
    pub fn backend(&self) -> Option<&Backend> {
        self.backend.as_ref()
    }

    /// Replaces all fault switches.
    ///
    /// # Errors
    ///
    /// If a switch is set that this stand-in does not have.
    pub fn set_faults(&self, faults: Faults) -> Result<(), FaultError> {
        self.shared.switches.set(faults)
    }

    /// Replaces the list of jobs whose tasks run in a particular way.
    pub fn set_jobs(&self, jobs: Vec<JobBehaviour>) {
        self.shared.set_jobs(jobs);
    }

    /// Returns the number of tasks that are running.
    pub fn running(&self) -> usize {
        lock(&self.shared.state).running()
    }

    /// Returns the events recorded so far, including those of its backend server.
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

/// A request that waits for updates: the version that the holder has seen, and how long to wait.
struct UpdatesRequest {
    seen: ReportVersionJson,
    wait: Duration,
}

impl UpdatesRequest {
    fn try_parse(query: &str) -> Option<UpdatesRequest> {
        let number = |name: &str| -> Option<u64> {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(key, _)| *key == name)?.1.parse().ok()
        };
        let seen = ReportVersionJson { boot: number("boot")?, version: number("version")? };
        Some(UpdatesRequest { seen, wait: Duration::from_millis(number("wait_ms")?) })
    }
}

async fn tick(shared: Arc<Shared>) {
    let mut timer = tokio::time::interval(TICK_INTERVAL);
    loop {
        timer.tick().await;
        shared.execute_delayed_calls();
        shared.advance();
    }
}

impl Handler for Shared {
    async fn handle(&self, req: Request<Incoming>) -> HandlerResult {
        let req = match handle_common_paths(req, &self.switches, &self.recorder).await {
            Ok(reply) => return reply,
            Err(req) => req,
        };
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/standin/jobs") => self.post_jobs(req).await,
            (&Method::POST, "/v1/worker") => {
                if let Err(reply) = apply_faults(&req, &self.switches).await {
                    return reply;
                }
                self.call(req).await
            }
            (&Method::GET, "/v1/worker/news") => {
                if let Err(reply) = apply_faults(&req, &self.switches).await {
                    return reply;
                }
                self.wait_for_updates(req.uri().query().unwrap_or_default()).await
            }
            (_, path) => Ok(text(StatusCode::NOT_FOUND, &format!("no {path} here"))),
        }
    }
}

impl Shared {
    async fn call(&self, req: Request<Incoming>) -> HandlerResult {
        let body = match read_body(req.into_body(), MAX_CALL_BYTES).await {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        let call = match serde_json::from_slice::<CallJson>(&body) {
            Ok(call) => call,
            Err(error) => return Ok(text(StatusCode::BAD_REQUEST, &error.to_string())),
        };
        let (seen, call) = (call.seen, WorkerCall::from(call));
        if self.try_delay(&call) {
            return Err(Abort);
        }
        self.replay_previous(&call);
        let report = self.execute(seen, call);
        if self.switches.should_lose_answer() {
            return Err(Abort);
        }
        Ok(json(StatusCode::OK, &report))
    }

    /// Schedules a call for later and returns true if the switch `late_calls` is on.
    fn try_delay(&self, call: &WorkerCall) -> bool {
        let delay = self.switches.with(|faults| {
            count_down(&mut faults.late_calls).then_some(Duration::from_millis(faults.late_ms))
        });
        let Some(delay) = delay else { return false };
        lock(&self.delayed_calls).push((self.recorder.now() + delay, call.clone()));
        true
    }

    fn execute_delayed_calls(&self) {
        let now = self.recorder.now();
        let due: Vec<_> = lock(&self.delayed_calls).extract_if(.., |(at, _)| *at <= now).collect();
        for (_, call) in due {
            self.execute(None, call);
        }
    }

    /// Carries out the previous call once more if the switch `replay` is on.
    fn replay_previous(&self, call: &WorkerCall) {
        let previous = lock(&self.previous_call).replace(call.clone());
        let armed =
            previous.is_some() && self.switches.with(|faults| count_down(&mut faults.replay));
        if let Some(previous) = previous.filter(|_| armed) {
            self.execute(None, previous);
        }
    }

    fn execute(&self, seen: Option<ReportVersionJson>, call: WorkerCall) -> ReportJson {
        let faults = self.switches.with(|faults| WorkerFaults {
            fail_everything: faults.fail_everything,
            overcommit: faults.overcommit,
            unfenced: faults.unfenced,
        });
        let mut state = lock(&self.state);
        let report = state.call(self.recorder.now(), call, faults);
        self.publish_state(&mut state);
        state.changes_since(seen, report)
    }

    /// Answers as soon as there is an important change (see [`WorkerState::last_update`]) after the
    /// version in the query, or when the wait is over.
    async fn wait_for_updates(&self, query: &str) -> HandlerResult {
        let Some(UpdatesRequest { seen, wait }) = UpdatesRequest::try_parse(query) else {
            return Ok(text(StatusCode::BAD_REQUEST, "expected boot=B&version=V&wait_ms=M"));
        };
        let deadline = Instant::now() + wait.min(MAX_UPDATE_WAIT);
        while Instant::now() < deadline {
            let last_update = lock(&self.state).last_update();
            if last_update.boot != seen.boot || last_update.version > seen.version {
                return Ok(text(StatusCode::NO_CONTENT, ""));
            }
            sleep(UPDATE_POLL_INTERVAL).await;
        }
        Ok(text(StatusCode::NOT_MODIFIED, ""))
    }

    /// Advances the state to the current time.
    fn advance(&self) {
        let mut state = lock(&self.state);
        state.tick(self.recorder.now());
        self.publish_state(&mut state);
    }

    /// Records the new events of the worker, and updates the service states of its backend server.
    fn publish_state(&self, state: &mut WorkerState) {
        for (at, kind) in state.take_events() {
            self.recorder.record_at(at, kind);
        }
        self.service_states.set(state.services());
    }

    fn set_jobs(&self, jobs: Vec<JobBehaviour>) {
        lock(&self.state).set_jobs(jobs);
        self.advance();
    }

    async fn post_jobs(&self, req: Request<Incoming>) -> HandlerResult {
        let body = match read_body(req.into_body(), MAX_CALL_BYTES).await {
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

/// Capacity of one of Confeitaria's workers: 16 cores and 60 GiB.
pub const SMALL_WORKER: Resources =
    Resources { cpu_milli: 16_000, memory_mib: 60 << 10, accelerators: 0 };

/// Capacity of one of Beaulac's workers: 64 cores and 250 GiB.
pub const LARGE_WORKER: Resources =
    Resources { cpu_milli: 64_000, memory_mib: 250 << 10, accelerators: 0 };
