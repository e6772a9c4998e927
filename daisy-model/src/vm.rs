//! VMs as listed by the platform.

use std::net::SocketAddr;

use crate::{DcId, Name, Resources, VmId};

/// The role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmRole {
    /// Runs a process of daisyshift.
    Entry,
    /// Runs tasks under leases; a service's tasks make it a backend server.
    Worker,
}

/// The status of a VM in the platform's list; the list may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmStatus {
    /// The VM is in use.
    Live,
    /// The VM will be removed soon: no further tasks are started there.
    Leaving,
}

/// A VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// The number that the platform assigned to the VM; a replacement gets a new one.
    pub id: VmId,
    /// The name that operators use.
    pub name: Name,
    /// The data centre of the VM.
    pub dc: DcId,
    /// The rack within the data centre.
    pub rack: u16,
    /// The role of the VM.
    pub role: VmRole,
    /// The status of the VM.
    pub status: VmStatus,
    /// The address for control traffic: of an entry VM for its peers, of a worker for its holder.
    pub control: SocketAddr,
    /// The address of a worker for requests to the services that run on it.
    pub backend: Option<SocketAddr>,
    /// The total capacity of the VM.
    pub capacity: Resources,
}
