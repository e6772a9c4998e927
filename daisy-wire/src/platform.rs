//! JSON of the platform: its log and its VM list.
//!
//! - `POST /v1/log`, with the record's bytes as the body and the header `append-id`, returns
//!   [`Appended`]; 429 if the rate limit of appends is exceeded, 503 during an outage. The
//!   response may be lost although the record was appended.
//! - `GET /v1/log?from=N&max=K&wait_ms=M` returns a [`LogPage`]; it waits up to `M` ms for a
//!   record at offset `N`. 410 with [`Expired`] if `N` is below the first record that the log
//!   still has.
//! - `GET /v1/vms?since=V` returns the [`VmList`], or 304 if its version is still `V`.

use std::net::SocketAddr;

use base64::{Engine, prelude::BASE64_STANDARD};
use daisy_model::{DcId, Name, Resources, Vm, VmId, VmRole, VmStatus};
use serde::{Deserialize, Serialize};

use crate::WireError;

/// The answer to an append.
#[derive(Debug, Serialize, Deserialize)]
pub struct Appended {
    /// The offset of the record.
    pub offset: u64,
}

/// One record of the log.
#[derive(Debug, Serialize, Deserialize)]
pub struct LogRecord {
    /// The offset of the record.
    pub offset: u64,
    /// The record's bytes in base64.
    pub body: String,
}

impl LogRecord {
    /// Creates a record of `bytes` at `offset`.
    pub fn new(offset: u64, bytes: &[u8]) -> LogRecord {
        LogRecord { offset, body: BASE64_STANDARD.encode(bytes) }
    }

    /// Decodes the record's bytes.
    pub fn bytes(&self) -> Result<Vec<u8>, WireError> {
        BASE64_STANDARD
            .decode(&self.body)
            .map_err(|e| WireError::Field { field: "body", reason: e.to_string() })
    }
}

/// Consecutive records of the log.
#[derive(Debug, Serialize, Deserialize)]
pub struct LogPage {
    /// The first offset that the log still has.
    pub first: u64,
    /// The offset after the last record of the whole log.
    pub next: u64,
    /// The records from the requested offset on.
    pub records: Vec<LogRecord>,
}

/// The response if the requested offset has expired.
#[derive(Debug, Serialize, Deserialize)]
pub struct Expired {
    /// The first offset that the log still has.
    pub first: u64,
}

/// The platform's list of VMs, which lags behind the actual VMs.
#[derive(Debug, Serialize, Deserialize)]
pub struct VmList {
    /// The version of the list, which grows with each change.
    pub version: u64,
    /// All VMs that are live or leaving.
    pub vms: Vec<VmJson>,
}

/// The role of a VM.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RoleJson {
    /// An entry VM.
    Entry,
    /// A worker.
    Worker,
}

/// The status of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StatusJson {
    /// In use.
    Live,
    /// About to be removed.
    Leaving,
}

/// A VM of the list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmJson {
    /// The platform's number of the VM.
    pub id: u32,
    /// Its name.
    pub name: String,
    /// The index of its data centre in the sorted list of data centres.
    pub dc: u16,
    /// Its rack.
    pub rack: u16,
    /// Its role.
    pub role: RoleJson,
    /// Its status.
    pub status: StatusJson,
    /// The address for peers (entry VMs) or for control calls (workers).
    pub control: SocketAddr,
    /// The address for requests to services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend: Option<SocketAddr>,
    /// Its total resources.
    #[serde(default)]
    pub capacity: ResourcesJson,
}

/// Processors, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourcesJson {
    /// Processors, in thousandths of a core.
    #[serde(default)]
    pub cpu_milli: u32,
    /// Memory, in MiB.
    #[serde(default)]
    pub memory_mib: u32,
    /// The number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl From<Resources> for ResourcesJson {
    fn from(it: Resources) -> ResourcesJson {
        let Resources { cpu_milli, memory_mib, accelerators } = it;
        ResourcesJson { cpu_milli, memory_mib, accelerators }
    }
}

impl From<ResourcesJson> for Resources {
    fn from(it: ResourcesJson) -> Resources {
        let ResourcesJson { cpu_milli, memory_mib, accelerators } = it;
        Resources { cpu_milli, memory_mib, accelerators }
    }
}

impl From<&Vm> for VmJson {
    fn from(vm: &Vm) -> VmJson {
        VmJson {
            id: vm.id.0,
            name: vm.name.to_string(),
            dc: vm.dc.0,
            rack: vm.rack,
            role: match vm.role {
                VmRole::Entry => RoleJson::Entry,
                VmRole::Worker => RoleJson::Worker,
            },
            status: match vm.status {
                VmStatus::Live => StatusJson::Live,
                VmStatus::Leaving => StatusJson::Leaving,
            },
            control: vm.control,
            backend: vm.backend,
            capacity: vm.capacity.into(),
        }
    }
}

impl TryFrom<VmJson> for Vm {
    type Error = WireError;

    fn try_from(vm: VmJson) -> Result<Vm, WireError> {
        let name = Name::new(&vm.name)
            .map_err(|e| WireError::Field { field: "name", reason: e.to_string() })?;
        Ok(Vm {
            id: VmId(vm.id),
            name,
            dc: DcId(vm.dc),
            rack: vm.rack,
            role: match vm.role {
                RoleJson::Entry => VmRole::Entry,
                RoleJson::Worker => VmRole::Worker,
            },
            status: match vm.status {
                StatusJson::Live => VmStatus::Live,
                StatusJson::Leaving => VmStatus::Leaving,
            },
            control: vm.control,
            backend: vm.backend,
            capacity: vm.capacity.into(),
        })
    }
}
