//! VMs as the platform's list names them.

use std::net::SocketAddr;

use crate::{DcId, Name, Resources, VmId};

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmRole {
    /// Runs a process of daisyshift.
    Entry,
    /// Runs tasks under leases; a service's tasks make it a backend server.
    Worker,
}

/// What the platform says of a VM; the list lags behind the truth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmStatus {
    /// In use.
    Live,
    /// About to be taken away: nothing new goes there.
    Leaving,
}

/// A VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// The platform's number of the VM; a replacement gets a new one.
    pub id: VmId,
    /// The name that operators use.
    pub name: Name,
    /// The data centre that the VM stands in.
    pub dc: DcId,
    /// The rack within the data centre.
    pub rack: u16,
    /// What the VM is for.
    pub role: VmRole,
    /// Live or leaving.
    pub status: VmStatus,
    /// An entry VM's address for peers; a worker's address for control.
    pub control: SocketAddr,
    /// A worker's address for requests to services that run on it.
    pub backend: Option<SocketAddr>,
    /// What the VM holds in all.
    pub capacity: Resources,
}
