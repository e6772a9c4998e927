//! JSON of the platform: its log and its VM list.
//!
//! - `POST /v1/log`, body the record's bytes, header `append-id`: [`Appended`].
//!   429 over the cap of appends, 503 in an outage; an answer can be lost after the effect.
//! - `GET /v1/log?from=N&max=K&wait_ms=M`: [`LogPage`]; waits up to `M` for a record at `N`.
//!   410 with [`Expired`] when `N` is below the first record kept.
//! - `GET /v1/vms?since=V`: [`VmList`], or 304 when its version is still `V`.

use std::net::SocketAddr;

use base64::{Engine, prelude::BASE64_STANDARD};
use daisy_model::{DcId, Name, Resources, Vm, VmId, VmRole, VmStatus};
use serde::{Deserialize, Serialize};

use crate::WireError;

/// The answer to an append.
#[derive(Debug, Serialize, Deserialize)]
pub struct Appended {
    /// Where the record stands.
    pub offset: u64,
}

/// One record of the log.
#[derive(Debug, Serialize, Deserialize)]
pub struct LogRecord {
    /// Where the record stands.
    pub offset: u64,
    /// The record's bytes in base64.
    pub body: String,
}

impl LogRecord {
    /// A record of `bytes` at `offset`.
    pub fn new(offset: u64, bytes: &[u8]) -> LogRecord {
        LogRecord { offset, body: BASE64_STANDARD.encode(bytes) }
    }

    /// The record's bytes.
    pub fn bytes(&self) -> Result<Vec<u8>, WireError> {
        BASE64_STANDARD
            .decode(&self.body)
            .map_err(|e| WireError::Field { field: "body", reason: e.to_string() })
    }
}

/// Consecutive records of the log.
#[derive(Debug, Serialize, Deserialize)]
pub struct LogPage {
    /// The first offset that the log still keeps.
    pub first: u64,
    /// The offset after the last record of the whole log.
    pub next: u64,
    /// Records from the offset asked for.
    pub records: Vec<LogRecord>,
}

/// The answer when the offset asked for has expired.
#[derive(Debug, Serialize, Deserialize)]
pub struct Expired {
    /// The first offset that the log still keeps.
    pub first: u64,
}

/// The platform's list of VMs; it lags behind the truth.
#[derive(Debug, Serialize, Deserialize)]
pub struct VmList {
    /// Grows with each change of the list.
    pub version: u64,
    /// All VMs that are live or leaving.
    pub vms: Vec<VmJson>,
}

/// What a VM is for.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RoleJson {
    /// An entry VM.
    Entry,
    /// A worker.
    Worker,
}

/// What the platform says of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StatusJson {
    /// In use.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One VM of the list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmJson {
    /// The platform's number of the VM.
    pub id: u32,
    /// Its name.
    pub name: String,
    /// Its data centre, by position in the sorted list of data centres.
    pub dc: u16,
    /// Its rack.
    pub rack: u16,
    /// What it is for.
    pub role: RoleJson,
    /// Live or leaving.
    pub status: StatusJson,
    /// Peers' or control address.
    pub control: SocketAddr,
    /// Address for requests to services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend: Option<SocketAddr>,
    /// What it holds.
    #[serde(default)]
    pub capacity: ResourcesJson,
}

/// Processors, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourcesJson {
    /// Thousandths of a core.
    #[serde(default)]
    pub cpu_milli: u32,
    /// MiB.
    #[serde(default)]
    pub memory_mib: u32,
    /// Whole accelerators.
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
