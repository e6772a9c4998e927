//! Queries between entry VMs, each on its own stream.

use bincode::{Decode, Encode};
use daisy_model::{DcId, Name, Resources, Vm, VmId, VmRole, VmStatus};
use daisy_query::LiveView;
use daisy_routing::{KeyAnswer, KeyQuery};

use crate::{
    WireError,
    peer::{
        key::{KeyAnswerWire, KeyQueryWire},
        live::LiveViewWire,
    },
};

/// A query of one entry VM to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerQuery {
    /// The key protocol of `daisy-routing`.
    Key(KeyQuery),
    /// Requests the platform's VM list, if the peer has a newer one.
    Vms {
        /// The version of the list that the sender has.
        known: Option<u64>,
    },
    /// Requests the view that the holder of a data centre has of it.
    LiveView,
}

/// The answer to a [`PeerQuery`].
#[derive(Debug, Clone)]
pub enum PeerAnswer {
    /// The answer to [`PeerQuery::Key`].
    Key(KeyAnswer),
    /// The VM list and its version.
    Vms {
        /// The version of the list, which grows with each change.
        version: u64,
        /// All VMs.
        vms: Vec<Vm>,
    },
    /// The answer to [`PeerQuery::LiveView`].
    LiveView(Box<LiveView>),
    /// The queried entry VM cannot answer.
    Unable,
}

/// See [`Vm`].
#[derive(Debug, Encode, Decode)]
pub struct VmWire {
    id: u32,
    name: String,
    dc: u16,
    rack: u16,
    worker: bool,
    leaving: bool,
    control: std::net::SocketAddr,
    backend: Option<std::net::SocketAddr>,
    capacity: (u32, u32, u32),
}

/// See [`PeerQuery`].
#[derive(Debug, Encode, Decode)]
pub enum PeerQueryWire {
    /// See [`PeerQuery::Key`].
    Key(KeyQueryWire),
    /// See [`PeerQuery::Vms`].
    Vms {
        /// The version of the list that the sender has.
        known: Option<u64>,
    },
    /// See [`PeerQuery::LiveView`].
    LiveView,
}

/// See [`PeerAnswer`].
#[derive(Debug, Encode, Decode)]
pub enum PeerAnswerWire {
    /// See [`PeerAnswer::Key`].
    Key(KeyAnswerWire),
    /// See [`PeerAnswer::Vms`].
    Vms {
        /// The version of the list, which grows with each change.
        version: u64,
        /// All VMs.
        vms: Vec<VmWire>,
    },
    /// See [`PeerAnswer::LiveView`].
    LiveView(LiveViewWire),
    /// See [`PeerAnswer::Unable`].
    Unable,
}

impl From<PeerQuery> for PeerQueryWire {
    fn from(query: PeerQuery) -> PeerQueryWire {
        match query {
            PeerQuery::Key(key_query) => PeerQueryWire::Key(key_query.into()),
            PeerQuery::Vms { known } => PeerQueryWire::Vms { known },
            PeerQuery::LiveView => PeerQueryWire::LiveView,
        }
    }
}

impl TryFrom<PeerQueryWire> for PeerQuery {
    type Error = WireError;

    fn try_from(query: PeerQueryWire) -> Result<PeerQuery, WireError> {
        Ok(match query {
            PeerQueryWire::Key(key_query) => PeerQuery::Key(key_query.try_into()?),
            PeerQueryWire::Vms { known } => PeerQuery::Vms { known },
            PeerQueryWire::LiveView => PeerQuery::LiveView,
        })
    }
}

impl From<PeerAnswer> for PeerAnswerWire {
    fn from(answer: PeerAnswer) -> PeerAnswerWire {
        match answer {
            PeerAnswer::Key(answer) => PeerAnswerWire::Key(answer.into()),
            PeerAnswer::Vms { version, vms } => {
                PeerAnswerWire::Vms { version, vms: vms.into_iter().map(VmWire::from).collect() }
            }
            PeerAnswer::LiveView(live) => PeerAnswerWire::LiveView(LiveViewWire::from(&*live)),
            PeerAnswer::Unable => PeerAnswerWire::Unable,
        }
    }
}

impl TryFrom<PeerAnswerWire> for PeerAnswer {
    type Error = WireError;

    fn try_from(answer: PeerAnswerWire) -> Result<PeerAnswer, WireError> {
        Ok(match answer {
            PeerAnswerWire::Key(answer) => PeerAnswer::Key(answer.into()),
            PeerAnswerWire::Vms { version, vms } => PeerAnswer::Vms {
                version,
                vms: vms.into_iter().map(Vm::try_from).collect::<Result<_, _>>()?,
            },
            PeerAnswerWire::LiveView(live) => PeerAnswer::LiveView(Box::new(live.into())),
            PeerAnswerWire::Unable => PeerAnswer::Unable,
        })
    }
}

impl From<Vm> for VmWire {
    fn from(vm: Vm) -> VmWire {
        let Resources { cpu_milli, memory_mib, accelerators } = vm.capacity;
        VmWire {
            id: vm.id.0,
            name: vm.name.to_string(),
            dc: vm.dc.0,
            rack: vm.rack,
            worker: vm.role == VmRole::Worker,
            leaving: vm.status == VmStatus::Leaving,
            control: vm.control,
            backend: vm.backend,
            capacity: (cpu_milli, memory_mib, accelerators),
        }
    }
}

impl TryFrom<VmWire> for Vm {
    type Error = WireError;

    fn try_from(vm: VmWire) -> Result<Vm, WireError> {
        let name = Name::new(&vm.name)
            .map_err(|e| WireError::Field { field: "name", reason: e.to_string() })?;
        let (cpu_milli, memory_mib, accelerators) = vm.capacity;
        Ok(Vm {
            id: VmId(vm.id),
            name,
            dc: DcId(vm.dc),
            rack: vm.rack,
            role: if vm.worker { VmRole::Worker } else { VmRole::Entry },
            status: if vm.leaving { VmStatus::Leaving } else { VmStatus::Live },
            control: vm.control,
            backend: vm.backend,
            capacity: Resources { cpu_milli, memory_mib, accelerators },
        })
    }
}
