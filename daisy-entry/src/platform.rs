//! A client of the platform's log and VM list, as `daisy_wire::platform` describes them.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use daisy_http::{Http, HttpError, Reply};
use daisy_ledger::AppendId;
use daisy_model::{Offset, Vm};
use daisy_wire::{
    WireError, headers,
    platform::{Appended, Expired, LogPage, VmList},
};
use http::{Method, StatusCode};
use http_body_util::Full;
use serde::de::DeserializeOwned;

/// How long a call may take beyond the wait that it requests.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum size of an answer, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;
/// The maximum number of records requested at a time.
const PAGE_RECORDS: u32 = 512;

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PlatformError {
    /// No complete answer arrived.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The limit of appends per second is reached; nothing was appended.
    #[error("too many appends")]
    Busy,
    /// The platform rejected the call for another reason.
    #[error("status {0}")]
    Status(StatusCode),
    /// The answer does not decode.
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// Consecutive records.
#[derive(Debug)]
pub(crate) struct Page {
    /// The first record that the log retains.
    pub first: Offset,
    /// The offset after the last record of the whole log.
    pub end: Offset,
    /// Offsets and bytes.
    pub records: Vec<(Offset, Bytes)>,
}

/// The answer to a read.
#[derive(Debug)]
pub(crate) enum Read {
    /// The records from the requested offset on; may be empty.
    Page(Page),
    /// The requested offset is below the first one that the log retains.
    Expired(Offset),
}

/// The platform's VM list at a version.
#[derive(Debug, Clone)]
pub(crate) struct VmListing {
    pub version: u64,
    pub vms: Vec<Vm>,
}

/// A client of the platform.
#[derive(Debug, Clone)]
pub(crate) struct Platform {
    pub http: Http,
    pub address: SocketAddr,
}

impl Platform {
    /// Appends `bytes` under `id`.
    pub async fn append(&self, id: AppendId, bytes: Bytes) -> Result<Offset, PlatformError> {
        let AppendId { sender, seq } = id;
        let req = self
            .http
            .request(Method::POST, self.address, "/v1/log")
            .header(headers::APPEND_ID, format!("{sender:016x}-{seq:016x}"))
            .body(Full::new(bytes))
            .map_err(malformed)?;
        let reply = self.http.call(req, CALL_TIMEOUT, ANSWER_LIMIT).await?;
        let Appended { offset } = parse_json(&check_status(reply)?)?;
        Ok(Offset(offset))
    }

    /// Reads from `from`, and waits up to `wait` for a record there.
    pub async fn read(&self, from: Offset, wait: Duration) -> Result<Read, PlatformError> {
        let wait_ms = wait.as_millis();
        let target = format!("/v1/log?from={from}&max={PAGE_RECORDS}&wait_ms={wait_ms}");
        let req = self.http.request(Method::GET, self.address, &target);
        let req = req.body(Full::default()).map_err(malformed)?;
        let reply = self.http.call(req, wait + CALL_TIMEOUT, ANSWER_LIMIT).await?;
        if reply.status == StatusCode::GONE {
            let Expired { first } = parse_json(&reply)?;
            return Ok(Read::Expired(Offset(first)));
        }
        let page: LogPage = parse_json(&check_status(reply)?)?;
        let records = page
            .records
            .iter()
            .map(|it| Ok((Offset(it.offset), Bytes::from(it.bytes()?))))
            .collect::<Result<_, WireError>>()?;
        let (first, end) = (Offset(page.first), Offset(page.next));
        Ok(Read::Page(Page { first, end, records }))
    }

    /// Reads the VM list unless its version is still `since`.
    pub async fn vms(&self, since: Option<u64>) -> Result<Option<VmListing>, PlatformError> {
        let target = match since {
            Some(version) => format!("/v1/vms?since={version}"),
            None => "/v1/vms".to_owned(),
        };
        let req = self.http.request(Method::GET, self.address, &target);
        let req = req.body(Full::default()).map_err(malformed)?;
        let reply = self.http.call(req, CALL_TIMEOUT, ANSWER_LIMIT).await?;
        if reply.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let list: VmList = parse_json(&check_status(reply)?)?;
        let vms = list.vms.into_iter().map(Vm::try_from).collect::<Result<_, WireError>>()?;
        Ok(Some(VmListing { version: list.version, vms }))
    }
}

fn check_status(reply: Reply) -> Result<Reply, PlatformError> {
    match reply.status {
        StatusCode::TOO_MANY_REQUESTS => Err(PlatformError::Busy),
        status if status.is_success() => Ok(reply),
        status => Err(PlatformError::Status(status)),
    }
}

fn parse_json<T: DeserializeOwned>(reply: &Reply) -> Result<T, PlatformError> {
    let value = serde_json::from_slice(&reply.body);
    Ok(value.map_err(|e| WireError::Malformed(e.to_string()))?)
}

fn malformed(e: http::Error) -> PlatformError {
    WireError::Malformed(e.to_string()).into()
}
