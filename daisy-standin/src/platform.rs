//! Stand-in for the platform, which serves its log and its list of VMs over HTTP.
//!
//! The paths are those of [`daisy_wire::platform`]. In addition, `POST /standin/vms` with a
//! [`VmChange`] adds or replaces a VM, marks it as leaving, or removes it, and
//! `POST /standin/views` with a list of [`AddressOverride`]s shows other addresses of VMs to
//! particular processes.

mod log;
mod vms;

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

use daisy_history::{EventKind, History};
use daisy_wire::{
    headers,
    platform::{Appended, Expired, LogPage, LogRecord, StatusJson, VmList},
};
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    FaultError, Faults, Recorder,
    fault::{FaultSwitches, count_down},
    http::{
        Abort, Body, Handler, HandlerResult, Server, apply_faults, handle_common_paths, header_of,
        json, query, read_body, text,
    },
    recorder::lock,
    run::wait_for_stop_signal,
};

pub use self::{
    log::{Log, LogError, LogOptions},
    vms::{AddressOverride, VmChange, VmError, VmRegistry},
};

/// Settings of a platform stand-in.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address to listen on; port 0 chooses a free port.
    pub listen: SocketAddr,
    /// Limits of the log: records retained and appends per second.
    pub log: LogOptions,
    /// Maximum size of a record in bytes.
    pub body_bytes: usize,
    /// Delay until a change of a VM is visible in the VM list.
    pub vm_lag: Duration,
    /// The initial VMs.
    pub vms: Vec<daisy_wire::platform::VmJson>,
    /// The file to which each event is written as soon as it is recorded.
    pub history: Option<PathBuf>,
}

impl Default for Options {
    /// Returns settings with a free port, the users' few hundred appends per second, and records that do
    /// not expire by age.
    fn default() -> Options {
        Options {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            log: LogOptions::default(),
            body_bytes: 1 << 20,
            vm_lag: Duration::from_millis(500),
            vms: Vec::new(),
            history: None,
        }
    }
}

/// A running platform stand-in.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

#[derive(Debug)]
struct Shared {
    recorder: Recorder,
    switches: FaultSwitches,
    body_bytes: usize,
    log: Mutex<Log>,
    vms: Mutex<VmRegistry>,
    /// The offset after the last record; reads that wait for a record watch it.
    next_offset: watch::Sender<u64>,
}

/// Serves until SIGTERM or SIGINT.
///
/// # Errors
///
/// If the stand-in cannot be started.
pub async fn run(options: Options) -> anyhow::Result<()> {
    let platform = Platform::start(options).await?;
    ::log::info!("event=platform-started address={}", platform.address());
    wait_for_stop_signal().await?;
    platform.stop().await;
    Ok(())
}

impl Platform {
    /// Listens and serves until [`Platform::stop`].
    ///
    /// # Errors
    ///
    /// If the address cannot be bound, the history file cannot be created, or the initial VMs are
    /// invalid.
    pub async fn start(options: Options) -> anyhow::Result<Platform> {
        let recorder = Recorder::open("platform", options.history.as_deref())?;
        let mut vms = VmRegistry::new(options.vm_lag);
        let now = recorder.now();
        for vm in options.vms {
            vms.change(now, VmChange::Put(vm))?;
        }
        vms.publish_now();
        let shared = Arc::new(Shared {
            switches: FaultSwitches::new(&recorder, "platform", &["double_appends", "late_ms"]),
            recorder,
            body_bytes: options.body_bytes,
            log: Mutex::new(Log::new(options.log)),
            vms: Mutex::new(vms),
            next_offset: watch::Sender::new(0),
        });
        let server = Server::bind(options.listen, shared.clone()).await?;
        Ok(Platform { shared, server })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all fault switches.
    ///
    /// # Errors
    ///
    /// If a switch is set that this stand-in does not have.
    pub fn set_faults(&self, faults: Faults) -> Result<(), FaultError> {
        self.shared.switches.set(faults)
    }

    /// Changes the list of VMs; the change is visible after the lag.
    ///
    /// # Errors
    ///
    /// If the VM does not exist, or the number of a new VM was used before.
    pub fn change_vm(&self, change: VmChange) -> Result<(), VmError> {
        self.shared.change_vm(change)
    }

    /// Returns the events recorded so far.
    pub fn history(&self) -> History {
        self.shared.recorder.history()
    }

    /// Closes the port and all connections.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

const MAX_WAIT: Duration = Duration::from_secs(60);
const MAX_RECORDS_PER_PAGE: usize = 1_000;

impl Handler for Shared {
    async fn handle(&self, req: Request<Incoming>) -> HandlerResult {
        let req = match handle_common_paths(req, &self.switches, &self.recorder).await {
            Ok(reply) => return reply,
            Err(req) => req,
        };
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/standin/vms") => return self.post_vm(req).await,
            (&Method::POST, "/standin/views") => return self.post_views(req).await,
            _ => {}
        }
        if let Err(reply) = apply_faults(&req, &self.switches).await {
            return reply;
        }
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/v1/log") => self.append(req).await,
            (&Method::GET, "/v1/log") => self.read(req).await,
            (&Method::GET, "/v1/vms") => Ok(self.list(&req)),
            (_, path) => Ok(text(StatusCode::NOT_FOUND, &format!("no {path} here"))),
        }
    }
}

impl Shared {
    async fn append(&self, req: Request<Incoming>) -> HandlerResult {
        let Some(id) = header_of(&req, headers::APPEND_ID).map(str::to_owned) else {
            return Ok(text(StatusCode::BAD_REQUEST, "header append-id is missing"));
        };
        let from = crate::http::caller_name(&req).to_owned();
        let body = match read_body(req.into_body(), self.body_bytes).await {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        let offset = match lock(&self.log).append(self.recorder.now(), &body) {
            Ok(offset) => offset,
            Err(wait) => return Ok(too_many_appends(wait)),
        };
        self.record_append(&id, &from, offset);
        if self.switches.with(|faults| count_down(&mut faults.double_appends)) {
            // Appends a second copy, as if the network had delivered the request twice.
            let copy = lock(&self.log).append_unlimited(self.recorder.now(), &body);
            self.record_append(&id, &from, copy);
        }
        if self.switches.should_lose_answer() {
            let late_ms = self.switches.with(|faults| faults.late_ms);
            if late_ms > 0 {
                sleep(Duration::from_millis(late_ms)).await;
            }
            return Err(Abort);
        }
        Ok(json(StatusCode::OK, &Appended { offset }))
    }

    fn record_append(&self, id: &str, from: &str, offset: u64) {
        let (id, from) = (id.to_owned(), from.to_owned());
        self.recorder.record(EventKind::Appended { id, offset, from });
        self.next_offset.send_modify(|next| *next = (*next).max(offset + 1));
    }

    async fn read(&self, req: Request<Incoming>) -> HandlerResult {
        let Some(from) = query::<_, u64>(&req, "from") else {
            return Ok(text(
                StatusCode::BAD_REQUEST,
                "the parameter from is missing or not a number",
            ));
        };
        let max = query(&req, "max").unwrap_or(MAX_RECORDS_PER_PAGE).min(MAX_RECORDS_PER_PAGE);
        let wait = Duration::from_millis(query(&req, "wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let mut next = self.next_offset.subscribe();
        let _ = timeout(wait, next.wait_for(|next| *next > from)).await;
        // A fault switch that was set during the wait also applies to this answer.
        if let Err(reply) = apply_faults(&req, &self.switches).await {
            return reply;
        }
        Ok(self.page(from, max))
    }

    fn page(&self, from: u64, max: usize) -> Response<Body> {
        let mut log = lock(&self.log);
        match log.read(self.recorder.now(), from, max) {
            Ok(records) => {
                let records = records.iter().map(|(at, bytes)| LogRecord::new(*at, bytes));
                let records = records.collect();
                let (first, next) = log.bounds();
                json(StatusCode::OK, &LogPage { first, next, records })
            }
            Err(LogError::Expired { first }) => json(StatusCode::GONE, &Expired { first }),
        }
    }

    fn list(&self, req: &Request<Incoming>) -> Response<Body> {
        let mut vms = lock(&self.vms);
        let list: VmList = vms.list(self.recorder.now(), crate::http::caller_name(req));
        if query(req, "since") == Some(list.version) {
            return text(StatusCode::NOT_MODIFIED, "");
        }
        json(StatusCode::OK, &list)
    }

    async fn post_vm(&self, req: Request<Incoming>) -> HandlerResult {
        let change: VmChange = match self.read_json(req).await {
            Ok(change) => change,
            Err(reply) => return reply,
        };
        match self.change_vm(change) {
            Ok(()) => Ok(text(StatusCode::OK, "changed")),
            Err(error) => Ok(text(StatusCode::CONFLICT, &error.to_string())),
        }
    }

    async fn post_views(&self, req: Request<Incoming>) -> HandlerResult {
        let views: Vec<AddressOverride> = match self.read_json(req).await {
            Ok(views) => views,
            Err(reply) => return reply,
        };
        lock(&self.vms).set_overrides(views);
        Ok(text(StatusCode::OK, "set"))
    }

    async fn read_json<T: DeserializeOwned>(
        &self,
        req: Request<Incoming>,
    ) -> Result<T, HandlerResult> {
        let body = read_body(req.into_body(), self.body_bytes).await?;
        let read = serde_json::from_slice(&body);
        read.map_err(|error| Ok(text(StatusCode::BAD_REQUEST, &error.to_string())))
    }

    fn change_vm(&self, change: VmChange) -> Result<(), VmError> {
        let applied = lock(&self.vms).change(self.recorder.now(), change)?;
        let status = match applied.status {
            Some(StatusJson::Live) => "live",
            Some(StatusJson::Leaving) => "leaving",
            None => "gone",
        };
        self.recorder.record(EventKind::VmChanged { vm: applied.name, status: status.to_owned() });
        Ok(())
    }
}

fn too_many_appends(wait: Duration) -> Response<Body> {
    let mut response = text(StatusCode::TOO_MANY_REQUESTS, "too many appends per second");
    let seconds = wait.as_secs().max(1);
    response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
    response
}
