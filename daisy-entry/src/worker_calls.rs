//! Carries a holder's calls to workers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use daisy_model::{VmId, WorkerCall, WorkerReport};
use daisy_wire::worker::{CallJson, ReportJson};
use http::Method;
use http_body_util::Full;
use tokio::sync::mpsc;

use crate::{control::Input, http::Http};

/// How long a worker may take to answer: far below its lease, far above a region's delay.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Bytes of an answer that are read at most.
const ANSWER_LIMIT: usize = 4 << 20;

/// Calls the worker at `address` and tells the control task what came of it.
pub(crate) fn spawn(
    http: Http,
    by: By,
    vm: VmId,
    address: Option<SocketAddr>,
    call: WorkerCall,
    control: mpsc::Sender<Input>,
) {
    tokio::spawn(async move {
        let epoch = call.epoch;
        let outcome = match address {
            Some(address) => exchange(&http, address, call).await,
            None => Err(Silence { sent: false }),
        };
        let _ = control.send(Input::Worker { by, epoch, vm, outcome }).await;
    });
}

/// Who called, so that an answer reaches only who asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum By {
    /// The holder.
    Holder,
    /// The caretaker.
    Caretaker,
}

/// A call got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Silence {
    /// Whether the call may have reached the worker.
    pub sent: bool,
}

async fn exchange(
    http: &Http,
    address: SocketAddr,
    call: WorkerCall,
) -> Result<WorkerReport, Silence> {
    let body = serde_json::to_vec(&CallJson::from(call)).map_err(|_| Silence { sent: false })?;
    let req = http
        .request(Method::POST, address, "/v1/worker")
        .body(Full::new(Bytes::from(body)))
        .map_err(|_| Silence { sent: false })?;
    let reply =
        http.call(req, CALL_TIMEOUT, ANSWER_LIMIT).await.map_err(|e| Silence { sent: e.sent() })?;
    if !reply.status.is_success() {
        return Err(Silence { sent: true });
    }
    let report: ReportJson =
        serde_json::from_slice(&reply.body).map_err(|_| Silence { sent: true })?;
    Ok(report.into())
}
