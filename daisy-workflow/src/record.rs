//! Records of the platform's log: bincode behind one byte of version.
//!
//! Builds of several ages read each other's records while a fleet is updated. A field that older
//! builds may pass over is added at the end of its record's form, where they ignore it. A record
//! that they must not misread gets a higher version, which they refuse.

mod wire;

use std::sync::Arc;

use bincode::{Decode, Encode, config};

use self::wire::{
    ClaimWire, HandoverWire, JobWire, LearntWire, ObservedWire, PiecesWire, ProgressWire, SignWire,
    WitnessesWire, state_number, state_of,
};
use crate::{
    FREE_BLOCKS, IncomingTransfer, JobId, JobSpec, Layout, OutgoingTransfer, OwnerHeartbeat,
    Progress, PublishedState, ShardId, TaskId, Witnesses,
};

/// The version that this build writes, and the newest that it reads.
const VERSION: u8 = 1;
/// The key of the newest [`Claim`].
pub const OWNER_KEY: &str = "owner";
/// The key of what the owner has learnt.
const LEARNT_KEY: &str = "learnt";
/// The key of an owner's witnesses.
const WITNESSES_KEY: &str = "witnesses";
/// The key of the layout of shards.
const LAYOUT_KEY: &str = "layout";

/// Who owns the workers, from this record's offset on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The claiming VM's name.
    pub vm: String,
    /// Drawn at random at each start of a process.
    pub process: u64,
    /// The fencing token: higher than all before.
    pub epoch: u64,
    /// The owner gives its workers up: anybody may claim at once.
    pub released: bool,
    /// No owner before this one can renew anything any more.
    pub predecessors_expired: bool,
}

impl Claim {
    /// The claim at `offset` of a shard's log whose record cannot be read: an owner of unknown name
    /// and of which nothing else may be assumed.
    pub fn unreadable(offset: u64) -> Claim {
        let epoch = offset + 1;
        Claim { vm: String::new(), process: 0, epoch, released: false, predecessors_expired: false }
    }
}

/// What a record says.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// A caller submitted a job.
    Submitted(JobId, JobSpec),
    /// A caller cancelled a job.
    Cancelled(JobId),
    /// The owner's newest state of a job.
    Progress(JobId, Progress),
    /// An owner's claim or sign of life.
    Claim(Claim),
    /// What the owner has learnt of images that disturb each other.
    LearnedInterference(Vec<ImageInterference>),
    /// The workers that a shard's owners have to be answered by while they go without the log.
    Witnesses(Witnesses),
    /// The owner of a job's own shard has handed it to another one.
    Delegated(JobId, ShardId),
    /// A shard has handed a task to another one.
    TaskTransferredOut(TaskId, OutgoingTransfer),
    /// A task is handed to this shard by another one.
    TaskTransferredIn(TaskId, Box<IncomingTransfer>),
    /// The state of a job that callers are told.
    State(JobId, PublishedState),
    /// A sign of life of a shard's owner.
    OwnerHeartbeat(Box<OwnerHeartbeat>),
    /// How jobs and workers are divided among shards.
    Layout(Layout),
    /// What a shard's owner has learnt since its last such record.
    Observed(ShardId, Vec<InterferenceSums>),
}

/// How much best-effort tasks of one image take from serving tasks of another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ImageInterference {
    /// The image of the serving tasks.
    pub serving: Arc<str>,
    /// The image of the best-effort tasks.
    pub best_effort: Arc<str>,
    /// Thousandths of the headroom (target by tail latency) that are lost if best-effort tasks
    /// use all of a worker's processors.
    pub permille: u32,
}

/// What an owner has learnt of a serving image's neighbours within a second or so: weighted sums
/// that those of other owners can be added to.
#[derive(Debug, Clone, PartialEq)]
pub struct InterferenceSums {
    /// The image of the serving tasks.
    pub serving: Arc<str>,
    /// By image of best-effort tasks, share of a worker's processors times headroom lost.
    pub loss_sums: Vec<(Arc<str>, f32)>,
    /// By two of them, share times share.
    pub share_products: Vec<(Arc<str>, Arc<str>, f32)>,
}

/// Why a record says nothing that can be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The key has no known form.
    #[error("key {0:?} is not known")]
    Key(String),
    /// The record comes from a newer build.
    #[error("version {0} is newer than {VERSION}")]
    Version(u8),
    /// The bytes do not decode.
    #[error("malformed: {0}")]
    Malformed(String),
}

/// The key and the value of a record.
pub fn encode(record: &Record) -> (String, Vec<u8>) {
    match record {
        Record::Submitted(id, spec) => (format!("job-{id}"), framed(JobWire::from(spec))),
        Record::Cancelled(id) => (format!("cancel-{id}"), framed(())),
        Record::Progress(id, progress) => {
            (format!("progress-{id}"), framed(ProgressWire::from(progress)))
        }
        Record::Claim(claim) => (OWNER_KEY.to_owned(), framed(ClaimWire::from(claim))),
        Record::LearnedInterference(pairs) => {
            (LEARNT_KEY.to_owned(), framed(LearntWire::from(&pairs[..])))
        }
        Record::Witnesses(witnesses) => {
            (WITNESSES_KEY.to_owned(), framed(WitnessesWire::from(witnesses)))
        }
        Record::Delegated(id, shard) => (format!("delegated-{id}"), framed(shard.0)),
        Record::TaskTransferredOut(id, hop) => {
            (format!("handed-{id}"), framed((hop.number, hop.to.0)))
        }
        // The log keeps the newest record of a key alone, and a hop may be written again after a
        // later one to the same shard: each has a key of its own.
        Record::TaskTransferredIn(id, it) => {
            (format!("task-{id}.{}", it.hop), framed(HandoverWire::from(&**it)))
        }
        Record::State(id, told) => {
            (format!("state-{id}"), framed((state_number(told.state), told.shard.0)))
        }
        Record::OwnerHeartbeat(heartbeat) => (
            format!("sign-{}", heartbeat.shard.0),
            framed((SignWire::from(&**heartbeat), PiecesWire::from(&**heartbeat))),
        ),
        Record::Observed(shard, seen) => {
            (format!("observed-{}", shard.0), framed(ObservedWire::from(&seen[..])))
        }
        Record::Layout(layout) => (LAYOUT_KEY.to_owned(), framed(layout.shards)),
    }
}

/// What the record under `key` says.
///
/// # Errors
///
/// If the key or the bytes are not of this build's making.
pub fn decode(key: &str, value: &[u8]) -> Result<Record, RecordError> {
    // Comes first, as an unknown kind of record may be one that must not be passed over.
    if let Some(newer) = value.first().filter(|it| **it > VERSION) {
        return Err(RecordError::Version(*newer));
    }
    if key == OWNER_KEY {
        return unframed::<ClaimWire>(value).map(|it| Record::Claim(it.into()));
    }
    if key == LEARNT_KEY {
        return unframed::<LearntWire>(value).map(|it| Record::LearnedInterference(it.into()));
    }
    if key == WITNESSES_KEY {
        return unframed::<WitnessesWire>(value).map(|it| Record::Witnesses(it.into()));
    }
    if key == LAYOUT_KEY {
        return match unframed(value)? {
            0 => Err(RecordError::Malformed("no shards".to_owned())),
            shards => Ok(Record::Layout(Layout { shards })),
        };
    }
    let unknown = || RecordError::Key(key.chars().take(40).collect());
    let (kind, id) = key.split_once('-').ok_or_else(unknown)?;
    if kind == "sign" {
        let shard = ShardId(id.parse().map_err(|_| unknown())?);
        let (wire, rest): (SignWire, _) = parted(value)?;
        return Ok(Record::OwnerHeartbeat(Box::new(wire.of(shard, free_blocks(rest)?))));
    }
    if kind == "observed" {
        let shard = ShardId(id.parse().map_err(|_| unknown())?);
        let wire: ObservedWire = unframed(value)?;
        return Ok(Record::Observed(shard, wire.try_into()?));
    }
    if kind == "handed" {
        let id: TaskId = id.parse().map_err(|_| unknown())?;
        return unframed(value).map(|(number, to)| {
            Record::TaskTransferredOut(id, OutgoingTransfer { number, to: ShardId(to) })
        });
    }
    if kind == "task" {
        let (id, hop) = id.rsplit_once('.').ok_or_else(unknown)?;
        let id: TaskId = id.parse().map_err(|_| unknown())?;
        let hop: u32 = hop.parse().map_err(|_| unknown())?;
        let handover = unframed::<HandoverWire>(value)?.of(id, hop)?;
        return Ok(Record::TaskTransferredIn(id, Box::new(handover)));
    }
    let id: JobId = id.parse().map_err(|_| unknown())?;
    match kind {
        "job" => {
            let wire: JobWire = unframed(value)?;
            Ok(Record::Submitted(id, wire.try_into()?))
        }
        "cancel" => unframed(value).map(|()| Record::Cancelled(id)),
        "delegated" => unframed(value).map(|it| Record::Delegated(id, ShardId(it))),
        "state" => {
            let (state, shard) = unframed(value)?;
            let told = PublishedState { state: state_of(state)?, shard: ShardId(shard) };
            Ok(Record::State(id, told))
        }
        "progress" => {
            let wire: ProgressWire = unframed(value)?;
            Ok(Record::Progress(id, wire.try_into()?))
        }
        _ => Err(unknown()),
    }
}

fn framed<T: Encode>(value: T) -> Vec<u8> {
    let mut buf = vec![VERSION];
    // Encoding into memory fails for no type that is used here.
    buf.extend(bincode::encode_to_vec(value, config::standard()).unwrap_or_default());
    buf
}

fn unframed<T: Decode<()>>(bytes: &[u8]) -> Result<T, RecordError> {
    parted(bytes).map(|(value, _)| value)
}

/// The value and the bytes after it.
fn parted<T: Decode<()>>(bytes: &[u8]) -> Result<(T, &[u8]), RecordError> {
    let (_, body) =
        bytes.split_first().ok_or_else(|| RecordError::Malformed("empty".to_owned()))?;
    unpacked(body)
}

fn unpacked<T: Decode<()>>(body: &[u8]) -> Result<(T, &[u8]), RecordError> {
    // The limit keeps a corrupt length from allocating memory.
    let cfg = config::standard().with_limit::<{ 4 << 20 }>();
    let (value, len) =
        bincode::decode_from_slice(body, cfg).map_err(|e| RecordError::Malformed(e.to_string()))?;
    Ok((value, &body[len..]))
}

/// The end of a sign of life. Older builds wrote nothing there, or a number for each piece.
fn free_blocks(bytes: &[u8]) -> Result<PiecesWire, RecordError> {
    let older = bytes.is_empty() || matches!(unpacked::<[u32; FREE_BLOCKS]>(bytes), Ok((_, [])));
    match older {
        true => Ok(PiecesWire::default()),
        false => unpacked(bytes).map(|(free_blocks, _)| free_blocks),
    }
}
