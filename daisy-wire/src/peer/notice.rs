//! Notices that an entry VM sends to its peers without a request: heartbeats, and where
//! services run.

use bincode::{Decode, Encode};
use daisy_membership::{Heartbeat, HolderEvidence, Status};
use daisy_model::{DcId, Epoch, JobId, Offset, VmId};

use crate::WireError;

/// A backend server of a service. Replicas are ordered by service, then by VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Replica {
    /// The service.
    pub job: JobId,
    /// The worker that runs a task of the service.
    pub vm: VmId,
    /// Whether that task is about to stop, so that it gets no new requests.
    pub leaving: bool,
}

/// The replicas of a data centre's services: the full set, or what has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaChange {
    /// The data centre.
    pub dc: DcId,
    /// The epoch of the holder that published the change.
    pub epoch: Epoch,
    /// The number of changes so far, counted across all epochs of the data centre.
    pub version: u64,
    /// Whether `added` is the full set of replicas.
    pub full: bool,
    /// Replicas that are new, or whose new value differs; sorted.
    pub added: Vec<Replica>,
    /// Replicas that no longer exist, and the old values of those that differ; sorted.
    pub removed: Vec<Replica>,
}

/// A message of the notice stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// The sender's heartbeat.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// Whether `in_flight` is the full list rather than the changes only.
        full: bool,
        /// The number of the sender's requests in flight by backend server; zero removes the
        /// backend server from the list.
        in_flight: Vec<(VmId, u32)>,
    },
    /// Where services run.
    Replicas(ReplicaChange),
}

/// See [`Heartbeat`].
#[derive(Debug, Encode, Decode)]
pub struct HeartbeatWire {
    vm: u32,
    dc: u16,
    seq: u32,
    next: u64,
    generation: u64,
    status: u8,
    reads_log: bool,
    evidence: Option<(u64, u32)>,
}

/// See [`Replica`].
type ReplicaWire = (u32, u32, bool);

/// See [`ReplicaChange`].
#[derive(Debug, Encode, Decode)]
pub struct ReplicaChangeWire {
    dc: u16,
    epoch: u64,
    version: u64,
    full: bool,
    added: Vec<ReplicaWire>,
    removed: Vec<ReplicaWire>,
}

/// See [`Notice`].
#[derive(Debug, Encode, Decode)]
pub enum NoticeWire {
    /// See [`Notice::Heartbeat`].
    Heartbeat {
        /// The heartbeat.
        heartbeat: HeartbeatWire,
        /// Whether `in_flight` is the full list.
        full: bool,
        /// The number of requests in flight by backend server.
        in_flight: Vec<(u32, u32)>,
    },
    /// See [`Notice::Replicas`].
    Replicas(ReplicaChangeWire),
}

impl From<&Notice> for NoticeWire {
    fn from(notice: &Notice) -> NoticeWire {
        match notice {
            Notice::Heartbeat { heartbeat, full, in_flight } => NoticeWire::Heartbeat {
                heartbeat: heartbeat_to_wire(*heartbeat),
                full: *full,
                in_flight: in_flight.iter().map(|(vm, count)| (vm.0, *count)).collect(),
            },
            Notice::Replicas(it) => NoticeWire::Replicas(ReplicaChangeWire {
                dc: it.dc.0,
                epoch: it.epoch.0,
                version: it.version,
                full: it.full,
                added: replicas_to_wire(&it.added),
                removed: replicas_to_wire(&it.removed),
            }),
        }
    }
}

impl TryFrom<NoticeWire> for Notice {
    type Error = WireError;

    fn try_from(notice: NoticeWire) -> Result<Notice, WireError> {
        Ok(match notice {
            NoticeWire::Heartbeat { heartbeat, full, in_flight } => Notice::Heartbeat {
                heartbeat: heartbeat_from_wire(heartbeat)?,
                full,
                in_flight: in_flight.into_iter().map(|(vm, count)| (VmId(vm), count)).collect(),
            },
            NoticeWire::Replicas(it) => Notice::Replicas(ReplicaChange {
                dc: DcId(it.dc),
                epoch: Epoch(it.epoch),
                version: it.version,
                full: it.full,
                added: replicas_from_wire("added", it.added)?,
                removed: replicas_from_wire("removed", it.removed)?,
            }),
        })
    }
}

fn heartbeat_to_wire(heartbeat: Heartbeat) -> HeartbeatWire {
    HeartbeatWire {
        vm: heartbeat.vm.0,
        dc: heartbeat.dc.0,
        seq: heartbeat.seq,
        next: heartbeat.next.0,
        generation: heartbeat.generation,
        status: match heartbeat.status {
            Status::Starting => 0,
            Status::Ready => 1,
            Status::Leaving => 2,
        },
        reads_log: heartbeat.reads_log,
        evidence: heartbeat.evidence.map(|it| (it.epoch.0, it.seq)),
    }
}

fn heartbeat_from_wire(heartbeat: HeartbeatWire) -> Result<Heartbeat, WireError> {
    let status = match heartbeat.status {
        0 => Status::Starting,
        1 => Status::Ready,
        2 => Status::Leaving,
        other => {
            let reason = format!("{other} is not a status");
            return Err(WireError::Field { field: "status", reason });
        }
    };
    Ok(Heartbeat {
        vm: VmId(heartbeat.vm),
        dc: DcId(heartbeat.dc),
        seq: heartbeat.seq,
        next: Offset(heartbeat.next),
        generation: heartbeat.generation,
        status,
        reads_log: heartbeat.reads_log,
        evidence: heartbeat
            .evidence
            .map(|(epoch, seq)| HolderEvidence { epoch: Epoch(epoch), seq }),
    })
}

fn replicas_to_wire(replicas: &[Replica]) -> Vec<ReplicaWire> {
    replicas.iter().map(|it| (it.job.0, it.vm.0, it.leaving)).collect()
}

fn replicas_from_wire(
    field: &'static str,
    replicas: Vec<ReplicaWire>,
) -> Result<Vec<Replica>, WireError> {
    if !replicas.is_sorted() {
        return Err(WireError::Field { field, reason: "not sorted".to_owned() });
    }
    let replica = |(job, vm, leaving)| Replica { job: JobId(job), vm: VmId(vm), leaving };
    Ok(replicas.into_iter().map(replica).collect())
}
