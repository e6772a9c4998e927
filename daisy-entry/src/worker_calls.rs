//! Sends calls of a holder or a lease renewer to workers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use daisy_http::Http;
use daisy_model::{Epoch, Order, VmId, WorkerCall};
use daisy_wire::worker::{CallJson, ReportJson, ReportVersionJson};
use http::{Method, StatusCode};
use http_body_util::Full;
use tokio::sync::mpsc;

use crate::control::Input;

/// How long a worker may take to answer: far less than its lease, far more than the network delay
/// within a region.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The maximum size of an answer, in bytes.
const ANSWER_LIMIT: usize = 4 << 20;

/// How long a worker holds a request for an update: long, because each request costs a message.
const UPDATE_WAIT: Duration = Duration::from_secs(55);
/// The maximum size of an answer about updates, in bytes.
const UPDATE_ANSWER_LIMIT: usize = 1 << 10;

/// The worker to call, and the means to call it.
#[derive(Debug, Clone)]
pub(crate) struct CallTarget {
    pub http: Http,
    pub vm: VmId,
    /// `None` if the worker is not in the VM list.
    pub address: Option<SocketAddr>,
    /// Receives the result.
    pub control: mpsc::Sender<Input>,
}

/// Calls a worker, stating which of its reports were `seen`.
pub(crate) fn spawn(
    target: CallTarget,
    issuer: CallIssuer,
    call: WorkerCall,
    seen: Option<ReportVersionJson>,
) {
    tokio::spawn(async move {
        let (epoch, vm) = (call.epoch, target.vm);
        let outcome = match target.address {
            Some(address) => exchange(&target.http, address, call, seen).await,
            None => Err(CallFailure { sent: false }),
        };
        let _ = target.control.send(Input::WorkerCallEnded { issuer, epoch, vm, outcome }).await;
    });
}

/// Waits until a worker has something to report that was not `seen`.
pub(crate) fn wait_for_update(target: CallTarget, epoch: Epoch, seen: ReportVersionJson) {
    tokio::spawn(async move {
        let update = match target.address {
            Some(address) => request_update(&target.http, address, seen).await,
            None => WorkerUpdate::Unreachable,
        };
        let _ = target.control.send(Input::WorkerUpdate { epoch, vm: target.vm, update }).await;
    });
}

/// How a wait for a worker's update ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkerUpdate {
    /// There is something to report.
    Available,
    /// Nothing changed during the wait.
    Unchanged,
    /// The worker did not answer.
    Unreachable,
}

/// A worker's answer, and the orders of the call that it answers.
#[derive(Debug)]
pub(crate) struct WorkerAnswer {
    pub orders: Vec<Order>,
    pub report: ReportJson,
}

/// The issuer of a call, which alone handles the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallIssuer {
    /// The holder.
    Holder,
    /// The lease renewer.
    LeaseRenewer,
}

/// A failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallFailure {
    /// Whether the call may have reached the worker.
    pub sent: bool,
}

async fn exchange(
    http: &Http,
    address: SocketAddr,
    call: WorkerCall,
    seen: Option<ReportVersionJson>,
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
        .map_err(|e| CallFailure { sent: e.may_have_been_sent() })?;
    if !reply.status.is_success() {
        return Err(CallFailure { sent: true });
    }
    let report = serde_json::from_slice(&reply.body).map_err(|_| CallFailure { sent: true })?;
    Ok(WorkerAnswer { orders, report })
}

async fn request_update(http: &Http, address: SocketAddr, seen: ReportVersionJson) -> WorkerUpdate {
    let ReportVersionJson { boot, version } = seen;
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
