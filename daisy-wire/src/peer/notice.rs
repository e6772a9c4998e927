//! What an entry VM tells its peers unasked: heartbeats and where services run.

use bincode::{Decode, Encode};
use daisy_membership::{Evidence, Heartbeat, Status};
use daisy_model::{DcId, Epoch, JobId, Offset, VmId};

use crate::WireError;

/// Where services of a data centre run, or how that has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaChange {
    /// The data centre.
    pub dc: DcId,
    /// The epoch of the holder that says so.
    pub epoch: Epoch,
    /// Counts the changes under all epochs of the data centre.
    pub version: u64,
    /// Whether `added` is all there is.
    pub full: bool,
    /// Services and the workers that run a task of theirs, sorted.
    pub added: Vec<(JobId, VmId)>,
    /// What runs no longer, sorted.
    pub removed: Vec<(JobId, VmId)>,
}

/// One message of the stream of notices.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// The sender's heartbeat.
    Beat {
        /// The heartbeat.
        beat: Heartbeat,
        /// Whether `in_flight` is all there is, or only what has changed.
        full: bool,
        /// Requests in flight from the sender by backend server; zero takes one out.
        in_flight: Vec<(VmId, u32)>,
    },
    /// Where services run.
    Replicas(ReplicaChange),
}

/// See [`Heartbeat`].
#[derive(Debug, Encode, Decode)]
pub struct BeatWire {
    vm: u32,
    dc: u16,
    seq: u32,
    next: u64,
    generation: u64,
    status: u8,
    reads_log: bool,
    evidence: Option<(u64, u32)>,
}

/// See [`ReplicaChange`].
#[derive(Debug, Encode, Decode)]
pub struct ReplicasWire {
    dc: u16,
    epoch: u64,
    version: u64,
    full: bool,
    added: Vec<(u32, u32)>,
    removed: Vec<(u32, u32)>,
}

/// See [`Notice`].
#[derive(Debug, Encode, Decode)]
pub enum NoticeWire {
    /// See [`Notice::Beat`].
    Beat {
        /// The heartbeat.
        beat: BeatWire,
        /// Whether all is told.
        full: bool,
        /// Requests in flight by backend server.
        in_flight: Vec<(u32, u32)>,
    },
    /// See [`Notice::Replicas`].
    Replicas(ReplicasWire),
}

impl From<&Notice> for NoticeWire {
    fn from(notice: &Notice) -> NoticeWire {
        match notice {
            Notice::Beat { beat, full, in_flight } => NoticeWire::Beat {
                beat: beat_to_wire(*beat),
                full: *full,
                in_flight: in_flight.iter().map(|(vm, count)| (vm.0, *count)).collect(),
            },
            Notice::Replicas(it) => NoticeWire::Replicas(ReplicasWire {
                dc: it.dc.0,
                epoch: it.epoch.0,
                version: it.version,
                full: it.full,
                added: pairs_to_wire(&it.added),
                removed: pairs_to_wire(&it.removed),
            }),
        }
    }
}

impl TryFrom<NoticeWire> for Notice {
    type Error = WireError;

    fn try_from(notice: NoticeWire) -> Result<Notice, WireError> {
        Ok(match notice {
            NoticeWire::Beat { beat, full, in_flight } => Notice::Beat {
                beat: beat_from_wire(beat)?,
                full,
                in_flight: in_flight.into_iter().map(|(vm, count)| (VmId(vm), count)).collect(),
            },
            NoticeWire::Replicas(it) => Notice::Replicas(ReplicaChange {
                dc: DcId(it.dc),
                epoch: Epoch(it.epoch),
                version: it.version,
                full: it.full,
                added: pairs_from_wire("added", it.added)?,
                removed: pairs_from_wire("removed", it.removed)?,
            }),
        })
    }
}

fn beat_to_wire(beat: Heartbeat) -> BeatWire {
    BeatWire {
        vm: beat.vm.0,
        dc: beat.dc.0,
        seq: beat.seq,
        next: beat.next.0,
        generation: beat.generation,
        status: match beat.status {
            Status::Starting => 0,
            Status::Ready => 1,
            Status::Leaving => 2,
        },
        reads_log: beat.reads_log,
        evidence: beat.evidence.map(|it| (it.epoch.0, it.seq)),
    }
}

fn beat_from_wire(beat: BeatWire) -> Result<Heartbeat, WireError> {
    let status = match beat.status {
        0 => Status::Starting,
        1 => Status::Ready,
        2 => Status::Leaving,
        other => {
            let reason = format!("{other} is no status");
            return Err(WireError::Field { field: "status", reason });
        }
    };
    Ok(Heartbeat {
        vm: VmId(beat.vm),
        dc: DcId(beat.dc),
        seq: beat.seq,
        next: Offset(beat.next),
        generation: beat.generation,
        status,
        reads_log: beat.reads_log,
        evidence: beat.evidence.map(|(epoch, seq)| Evidence { epoch: Epoch(epoch), seq }),
    })
}

fn pairs_to_wire(pairs: &[(JobId, VmId)]) -> Vec<(u32, u32)> {
    pairs.iter().map(|(job, vm)| (job.0, vm.0)).collect()
}

fn pairs_from_wire(
    field: &'static str,
    pairs: Vec<(u32, u32)>,
) -> Result<Vec<(JobId, VmId)>, WireError> {
    if !pairs.is_sorted() {
        return Err(WireError::Field { field, reason: "not sorted".to_owned() });
    }
    Ok(pairs.into_iter().map(|(job, vm)| (JobId(job), VmId(vm))).collect())
}
