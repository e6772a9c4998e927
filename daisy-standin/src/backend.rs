//! Stand-in for a backend server, which answers requests to the services on its VM.
//!
//! The query of a request chooses its cost: `ms` is the service time, `size` the length of the answer
//! in bytes, `chunks` the number of chunks in which the answer is streamed, and `gap_ms` the time
//! before each of them.

mod admission;
mod reply;

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use daisy_history::{EventKind, History};
use daisy_wire::headers;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::sleep;

use crate::{
    FaultError, Faults, Recorder, answer,
    fault::FaultSwitches,
    http::{
        Abort, Body, Handler, HandlerResult, Server, apply_faults, handle_common_paths, header_of,
        query, read_body, text,
    },
    repeat::RepeatSwitch,
    run::wait_for_stop_signal,
};

use self::{
    admission::{RejectReason, Slot, Slots},
    reply::AnswerOptions,
};

pub use self::admission::{ServiceState, ServiceStates};

/// Settings of a backend server stand-in.
#[derive(Debug, Clone)]
pub struct Options {
    /// Its name in the history.
    pub name: String,
    /// The address to listen on; port 0 chooses a free port.
    pub listen: SocketAddr,
    /// Maximum number of concurrent requests (8 at the users' sites).
    pub slots: u32,
    /// Service time of requests whose query does not choose one.
    pub service_time: Duration,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// The file to which each event is written as soon as it is recorded.
    pub history: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            name: "backend".to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 8,
            service_time: Duration::from_millis(2),
            body_bytes: 1 << 20,
            history: None,
        }
    }
}

/// A running backend server stand-in.
#[derive(Debug)]
pub struct Backend {
    shared: Arc<Shared>,
    server: Server,
}

#[derive(Debug)]
struct Shared {
    recorder: Recorder,
    switches: FaultSwitches,
    slots: Slots,
    service_states: ServiceStates,
    service_time: Duration,
    body_bytes: usize,
    /// The request id and body of the answer before, for the switch `reorder`.
    previous_answer: Mutex<Option<(String, Bytes)>>,
}

/// Serves until SIGTERM or SIGINT.
///
/// # Errors
///
/// If the stand-in cannot be started.
pub async fn run(options: Options) -> anyhow::Result<()> {
    let backend = Backend::start(options).await?;
    log::info!("event=backend-started address={}", backend.address());
    wait_for_stop_signal().await?;
    backend.stop().await;
    Ok(())
}

/// Names of the fault switches that a backend server has besides the common ones.
const OWN_SWITCHES: &[&str] =
    &["leaving", "absent", "truncate", "doubled", "wrong_id", "reorder", "late_ms"];

impl Backend {
    /// Listens and serves every service until [`Backend::stop`].
    ///
    /// # Errors
    ///
    /// If the address cannot be bound or the history file cannot be created.
    pub async fn start(options: Options) -> anyhow::Result<Backend> {
        let recorder = Recorder::open(&options.name, options.history.as_deref())?;
        Backend::start_with(options, recorder, ServiceStates::default()).await
    }

    /// Listens and serves the services according to `service_states`.
    pub(crate) async fn start_with(
        options: Options,
        recorder: Recorder,
        service_states: ServiceStates,
    ) -> anyhow::Result<Backend> {
        let shared = Arc::new(Shared {
            switches: FaultSwitches::new(&recorder, "backend server", OWN_SWITCHES),
            recorder,
            slots: Slots::new(options.slots),
            service_states,
            service_time: options.service_time,
            body_bytes: options.body_bytes,
            previous_answer: Mutex::new(None),
        });
        let server = Server::bind(options.listen, shared.clone()).await?;
        Ok(Backend { shared, server })
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

    /// Returns the events recorded so far.
    pub fn history(&self) -> History {
        self.shared.recorder.history()
    }

    /// Closes the port and all connections.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

/// The identifiers in a request: its id, the number of its call and its idempotency key.
#[derive(Debug, Clone)]
struct RequestIds {
    request: String,
    call: Option<u64>,
    key: Option<String>,
}

impl Handler for Shared {
    /// The limit of the users' backend servers.
    const MAX_CONNECTIONS: usize = 64;

    async fn handle(&self, req: Request<Incoming>) -> HandlerResult {
        let req = match handle_common_paths(req, &self.switches, &self.recorder).await {
            Ok(reply) => return reply,
            Err(req) => req,
        };
        if let Err(reply) = apply_faults(&req, &self.switches).await {
            return reply;
        }
        let Some(request) = header_of(&req, headers::REQUEST_ID).map(str::to_owned) else {
            return Ok(text(StatusCode::BAD_REQUEST, "header daisy-request-id is missing"));
        };
        let service = header_of(&req, headers::SERVICE).unwrap_or("").to_owned();
        let key = header_of(&req, headers::IDEMPOTENCY_KEY).map(str::to_owned);
        let mut options = AnswerOptions::of(&req, self.service_time);
        let repeat = req.extensions().get::<RepeatSwitch>().cloned().unwrap_or_default();
        let body = match read_body(req.into_body(), self.body_bytes).await {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        let ids = RequestIds { request, call: answer::call_number(&body), key };
        match self.admit(&service) {
            Ok((slot, slowdown)) => {
                options.slow_down(slowdown);
                self.answer(ids, body, options, slot, repeat).await
            }
            Err(reason) => Ok(self.reject(ids, reason)),
        }
    }
}

impl Shared {
    /// Takes a slot for a request to `service`, and returns it with the slowdown of the service in
    /// thousandths.
    fn admit(&self, service: &str) -> Result<(Slot, u32), RejectReason> {
        let faults = self.switches.get();
        if faults.leaving {
            return Err(RejectReason::Leaving);
        }
        if faults.absent.iter().any(|absent| absent == service) {
            return Err(RejectReason::ServiceAbsent);
        }
        let slowdown = self.service_states.slowdown(service).ok_or(RejectReason::ServiceAbsent)?;
        let slot = self.slots.try_acquire().ok_or(RejectReason::NoFreeSlot)?;
        Ok((slot, slowdown))
    }

    fn reject(&self, ids: RequestIds, reason: RejectReason) -> Response<Body> {
        let RequestIds { request, call, .. } = ids;
        let mut response = text(StatusCode::SERVICE_UNAVAILABLE, &reason.to_string());
        reply::set_protocol_headers(
            &mut response,
            &request,
            "not-run",
            &self.slots,
            reason == RejectReason::Leaving,
        );
        self.recorder.record(EventKind::RequestRefused { request, call });
        response
    }

    async fn answer(
        &self,
        ids: RequestIds,
        body: Bytes,
        options: AnswerOptions,
        slot: Slot,
        repeat: RepeatSwitch,
    ) -> HandlerResult {
        let RequestIds { request, call, key } = ids;
        self.recorder.record(EventKind::RequestBegan { request: request.clone(), call, key });
        let (recorder, id) = (self.recorder.clone(), request.clone());
        let service_time = options.service_time;
        // The work runs in a task of its own so that it finishes even if the caller disconnects.
        let work = tokio::spawn(async move {
            sleep(service_time).await;
            drop(slot);
            recorder.record(EventKind::RequestEnded { request: id });
        });
        work.await.map_err(|_| Abort)?;
        let late_ms = self.switches.with(|faults| faults.late_ms);
        sleep(Duration::from_millis(late_ms)).await;
        if self.switches.should_lose_answer() {
            return Err(Abort);
        }
        let complete_answer = answer::expected_answer(&body, options.size);
        Ok(self.build_response(request, complete_answer, options, &repeat))
    }
}

/// Returns the number in the query parameter `name`, or `default`.
fn query_number<B>(req: &Request<B>, name: &str, default: u64) -> u64 {
    query(req, name).unwrap_or(default)
}
