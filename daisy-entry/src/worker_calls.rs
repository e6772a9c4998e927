//! Carries a holder's calls to workers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use daisy_http::Http;
use daisy_model::{Epoch, Order, VmId, WorkerCall};
use daisy_wire::worker::{CallJson, ReportJson, SeenJson};
use http::{Method, StatusCode};
use http_body_util::Full;
use tokio::sync::mpsc;

use crate::control::Input;

/// How long a worker may take to answer: far below its lease, far above a region's delay.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Bytes of an answer that are read at most.
const ANSWER_LIMIT: usize = 4 << 20;

/// How long a worker holds a request for news: long, for each costs a message.
const UPDATE_WAIT: Duration = Duration::from_secs(55);
/// Bytes of an answer about news.
const UPDATE_ANSWER_LIMIT: usize = 1 << 10;

/// Where a worker is and how to reach it.
#[derive(Debug, Clone)]
pub(crate) struct CallTarget {
    pub http: Http,
    pub vm: VmId,
    /// `None` if no VM list has it.
    pub address: Option<SocketAddr>,
    /// Told what came of it.
    pub control: mpsc::Sender<Input>,
}

/// Calls a worker, telling it what was `seen` of its reports.
pub(crate) fn spawn(
    target: CallTarget,
    issuer: CallIssuer,
    call: WorkerCall,
    seen: Option<SeenJson>,
) {
    tokio::spawn(async move {
        let (epoch, vm) = (call.epoch, target.vm);
        let outcome = match target.address {
            Some(address) => exchange(&target.http, address, call, seen).await,
            None => Err(CallFailure { sent: false }),
        };
        let _ = target.control.send(Input::Worker { issuer, epoch, vm, outcome }).await;
    });
}

/// Waits until a worker has something to report that was not `seen`.
pub(crate) fn wait_for_update(target: CallTarget, epoch: Epoch, seen: SeenJson) {
    tokio::spawn(async move {
        let update = match target.address {
            Some(address) => request_update(&target.http, address, seen).await,
            None => WorkerUpdate::Unreachable,
        };
        let _ = target.control.send(Input::WorkerUpdate { epoch, vm: target.vm, update }).await;
    });
}

/// How a wait for news ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkerUpdate {
    /// There is something to report.
    Available,
    /// Nothing happened in all that time.
    Unchanged,
    /// The worker did not answer.
    Unreachable,
}

/// A worker's answer, and the orders that it answers.
#[derive(Debug)]
pub(crate) struct WorkerAnswer {
    pub orders: Vec<Order>,
    pub report: ReportJson,
}

/// Who called, so that an answer reaches only who asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallIssuer {
    /// The holder.
    Holder,
    /// The caretaker.
    LeaseRenewer,
}

/// A call got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallFailure {
    /// Whether the call may have reached the worker.
    pub sent: bool,
}

async fn exchange(
    http: &Http,
    address: SocketAddr,
    call: WorkerCall,
    seen: Option<SeenJson>,
) -> Result<WorkerAnswer, CallFailure> {
    let orders = call.orders.clone();
    let call = CallJson { seen, ..CallJson::from(call) };
    let body = serde_json::to_vec(&call).map_err(|_| CallFailure { sent: false })?;
    let req = http
        .request(Method::POST, address, "/v1/worker")
        .body(Full::new(Bytes::from(body)))
        .map_err(|_| CallFailure { sent: false })?;
    let reply = http
        .call(req, CALL_TIMEOUT, ANSWER_LIMIT)
        .await
        .map_err(|e| CallFailure { sent: e.sent() })?;
    if !reply.status.is_success() {
        return Err(CallFailure { sent: true });
    }
    let report = serde_json::from_slice(&reply.body).map_err(|_| CallFailure { sent: true })?;
    Ok(WorkerAnswer { orders, report })
}

async fn request_update(http: &Http, address: SocketAddr, seen: SeenJson) -> WorkerUpdate {
    let SeenJson { boot, version } = seen;
    let wait = UPDATE_WAIT.as_millis();
    let target = format!("/v1/worker/news?boot={boot}&version={version}&wait_ms={wait}");
    let req = http.request(Method::GET, address, &target).body(Full::new(Bytes::new()));
    let Ok(req) = req else { return WorkerUpdate::Unreachable };
    let reply = http.call(req, UPDATE_WAIT + CALL_TIMEOUT, UPDATE_ANSWER_LIMIT).await;
    match reply.map(|reply| reply.status) {
        Ok(StatusCode::NO_CONTENT) => WorkerUpdate::Available,
        Ok(StatusCode::NOT_MODIFIED) => WorkerUpdate::Unchanged,
        _ => WorkerUpdate::Unreachable,
    }
}
