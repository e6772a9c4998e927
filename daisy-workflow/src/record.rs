//! Records of the platform's log: a version byte followed by bincode.
//!
//! Different builds read each other's records while a fleet is updated. A field that older builds
//! may ignore is added at the end of its record's encoding, where they skip it. A record that they
//! must not misread gets a higher version, which they reject.

mod key;
mod parts;
mod wire;
mod writer;

use std::{sync::Arc, time::Duration};

use bincode::{Decode, Encode, config};

use self::wire::{
    CapacityWire, ClaimWire, FreeBlocksWire, HeartbeatWire, InterferenceSumsWire, JobWire,
    LearnedInterferenceWire, NamedPairsWire, OpenStartsWire, ProgressWire, RejectionWire,
    RerunsWire, TaskEventsWire, TransferWire, WitnessAddressesWire, WitnessesWire,
    state_from_number, state_to_number,
};
pub use self::{
    key::RecordKey,
    parts::{EncodedRecord, JoinedRecord, PartCounts, PartJoiner},
    writer::{RecordLimits, RecordWriter, RefusedRecord, WrittenRecord},
};
use crate::{
    FREE_BLOCKS, IncomingTransfer, JobId, JobSpec, Layout, OpenStart, OutgoingTransfer,
    OwnerHeartbeat, Progress, PublishedState, RerunTasks, ShardId, TaskId, Witnesses, WorkerId,
};

/// The version that this build writes, and the highest that it reads.
const VERSION: u8 = 1;
/// The key of the newest [`Claim`].
const OWNER_KEY: &str = "owner";
/// The key of what the owner has learned about interference.
const INTERFERENCE_KEY: &str = "learnt";
/// The key of an owner's witnesses.
const WITNESSES_KEY: &str = "witnesses";
/// The key of the runs whose start orders may still be carried out.
const OPEN_STARTS_KEY: &str = "open-starts";
/// The key of the workers that may hold the longest lease.
const LONG_LEASES_KEY: &str = "long-leases";
/// The byte before the capacity reports of a heartbeat. What follows the free blocks under another
/// byte is of a newer build and skipped.
const CAPACITY_TAG: u8 = b'c';
/// The byte before the events in a job's progress. What follows the tasks under another byte is of a
/// newer build and skipped.
const TASK_EVENTS_TAG: u8 = b'e';
/// The number of keys under which rejections are stored. The log keeps the newest record of each key
/// for good, and only those who read a rejection as it is appended need it.
const REJECTION_KEYS: u64 = 256;
/// The key of the layout of shards.
const LAYOUT_KEY: &str = "layout";

/// A claim to own a shard's workers, in effect from this record's offset on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The claiming VM's name.
    pub vm: String,
    /// The process's id, drawn at random at each start.
    pub process: u64,
    /// The fencing token, higher than those of all earlier claims.
    pub epoch: u64,
    /// Whether the owner releases its workers, so that any VM may claim them at once.
    pub released: bool,
    /// Whether no earlier owner can renew leases any more.
    pub predecessors_expired: bool,
}

impl Claim {
    /// Returns the claim for an unreadable record at `offset` of a shard's log: its owner's name is
    /// unknown, and nothing else may be assumed about it.
    pub fn unreadable(offset: u64) -> Claim {
        let epoch = offset + 1;
        Claim { vm: String::new(), process: 0, epoch, released: false, predecessors_expired: false }
    }
}

/// A record of the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// A caller submitted a job.
    Submitted(JobId, JobSpec),
    /// A caller cancelled a job.
    Cancelled(JobId),
    /// The newest progress of a job.
    Progress(JobId, Progress),
    /// The tasks of a job that has ended that were started more than once, sorted, except those of
    /// speculative steps. The job's progress has no tasks any more.
    Reruns(JobId, Vec<RerunTasks>),
    /// An owner's claim, and the `accepted_by_epoch` of the [`Witnesses`] for which it vouches: the
    /// claimant complies with them, and so do all owners from that epoch up to the claim.
    Claim(Claim, Option<u64>),
    /// The runs whose start orders may still be carried out.
    OpenStarts(Vec<OpenStart>),
    /// The workers that may hold the longest lease, as calls for an earlier incarnation may have
    /// reached the present one.
    LongLeases(Vec<WorkerId>),
    /// What the owner has learned about interference between images.
    LearnedInterference(Vec<ImageInterference>),
    /// The workers that must answer a shard's owners while these operate without the log.
    Witnesses(Witnesses),
    /// The owner of a job's own shard has delegated the job to another shard.
    Delegated(JobId, ShardId),
    /// A shard has transferred a task to another shard.
    TaskTransferredOut(TaskId, OutgoingTransfer),
    /// Another shard has transferred a task to this shard.
    TaskTransferredIn(TaskId, Box<IncomingTransfer>),
    /// The state of a job as callers see it.
    State(JobId, PublishedState),
    /// A heartbeat of a shard's owner.
    OwnerHeartbeat(Box<OwnerHeartbeat>),
    /// How jobs and workers are divided among shards.
    Layout(Layout),
    /// A VM rejected a job and told its caller when to return.
    Rejected(JobId, Rejection),
    /// Interference sums that a shard's owner has collected since its last record of this kind.
    InterferenceSums(ShardId, Vec<InterferenceSums>),
    /// The record with this key is removed; it is stored as a key without a value.
    Removed(RecordKey),
}

/// What is known of a job that was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// The service whose workers would have run it.
    pub service: Arc<str>,
    /// What its tasks would have reserved, in thousandths of a core.
    pub cpu_milli: u64,
    /// After which time its caller was told to return.
    pub retry_after: Duration,
}

/// How much best-effort tasks of one image interfere with serving tasks of another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ImageInterference {
    /// The image of the serving tasks.
    pub serving: Arc<str>,
    /// The image of the best-effort tasks.
    pub best_effort: Arc<str>,
    /// The headroom (target divided by tail latency) that is lost if best-effort tasks use all of a
    /// worker's processors, in thousandths.
    pub permille: u32,
}

/// Weighted sums of an owner's observations, within about a second, of the best-effort tasks beside
/// one serving image. Sums of several owners can be added.
#[derive(Debug, Clone, PartialEq)]
pub struct InterferenceSums {
    /// The image of the serving tasks.
    pub serving: Arc<str>,
    /// By best-effort image, the sum of the used share of a worker's processors times the lost
    /// headroom.
    pub loss_sums: Vec<(Arc<str>, f32)>,
    /// By pair of best-effort images, the sum of the products of their used shares.
    pub share_products: Vec<(Arc<str>, Arc<str>, f32)>,
}

/// Why a record can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The key has an unknown format.
    #[error("unknown record key {0:?}")]
    Key(String),
    /// The record has a newer version than this build reads.
    #[error("version {0} is newer than {VERSION}")]
    Version(u8),
    /// The value can't be decoded.
    #[error("malformed: {0}")]
    Malformed(String),
}

/// Returns the key and the value of a record.
pub fn encode(record: &Record) -> (String, Vec<u8>) {
    match record {
        Record::Submitted(id, spec) => {
            (RecordKey::Submission(*id).to_string(), encode_framed(JobWire::from(spec)))
        }
        Record::Cancelled(id) => (RecordKey::Cancellation(*id).to_string(), encode_framed(())),
        Record::Progress(id, progress) => {
            let mut value = encode_framed(ProgressWire::from(progress));
            if progress.may_have_started() {
                let events = TaskEventsWire::from(progress);
                value.extend(encode_unframed((TASK_EVENTS_TAG, events)));
            }
            (RecordKey::Progress(*id).to_string(), value)
        }
        Record::Reruns(id, tasks) => {
            (RecordKey::Reruns(*id).to_string(), encode_framed(RerunsWire::from(&tasks[..])))
        }
        Record::Claim(claim, vouched_epoch) => {
            (OWNER_KEY.to_owned(), encode_framed((ClaimWire::from(claim), *vouched_epoch)))
        }
        Record::LearnedInterference(pairs) => {
            let wire = (NamedPairsWire::default(), LearnedInterferenceWire::from(&pairs[..]));
            (INTERFERENCE_KEY.to_owned(), encode_framed(wire))
        }
        Record::Witnesses(witnesses) => {
            let wire = (WitnessesWire::from(witnesses), WitnessAddressesWire::from(witnesses));
            (WITNESSES_KEY.to_owned(), encode_framed(wire))
        }
        Record::OpenStarts(runs) => {
            (OPEN_STARTS_KEY.to_owned(), encode_framed(OpenStartsWire::from(&runs[..])))
        }
        Record::LongLeases(workers) => {
            let names: Vec<&str> = workers.iter().map(|it| &*it.0).collect();
            (LONG_LEASES_KEY.to_owned(), encode_framed(names))
        }
        Record::Delegated(id, shard) => {
            (RecordKey::Delegation(*id).to_string(), encode_framed(shard.0))
        }
        Record::TaskTransferredOut(id, transfer) => (
            RecordKey::TransferOut(*id).to_string(),
            encode_framed((transfer.number, transfer.to.0)),
        ),
        // The log keeps only the newest record of each key, and a transfer may be written again
        // after a later one to the same shard, so each transfer has its own key.
        Record::TaskTransferredIn(id, it) => {
            let key = RecordKey::TransferIn(*id, it.number);
            (key.to_string(), encode_framed(TransferWire::from(&**it)))
        }
        Record::State(id, published) => (
            RecordKey::State(*id).to_string(),
            encode_framed((state_to_number(published.state), published.shard.0)),
        ),
        Record::OwnerHeartbeat(heartbeat) => {
            let wire = (HeartbeatWire::from(&**heartbeat), FreeBlocksWire::from(&**heartbeat));
            let mut value = encode_framed(wire);
            if !heartbeat.capacity.is_empty() {
                value.extend(encode_unframed((CAPACITY_TAG, CapacityWire::from(&**heartbeat))));
            }
            (format!("sign-{}", heartbeat.shard.0), value)
        }
        Record::Rejected(id, rejection) => {
            let key = format!("rejected-{}", id.0 % REJECTION_KEYS);
            (key, encode_framed((id.0, RejectionWire::from(rejection))))
        }
        Record::InterferenceSums(shard, sums) => {
            (format!("observed-{}", shard.0), encode_framed(InterferenceSumsWire::from(&sums[..])))
        }
        Record::Layout(layout) => (LAYOUT_KEY.to_owned(), encode_framed(layout.shards)),
        Record::Removed(key) => (key.to_string(), Vec::new()),
    }
}

/// Decodes what the log stores under a key: a record, or the removal of one if there is no value.
///
/// # Errors
///
/// Fails as [`decode`], or if a record with the key is never removed.
pub fn decode_stored(key: &str, value: &[u8]) -> Result<Record, RecordError> {
    match value {
        [] => key.parse().map(Record::Removed).map_err(|_| unknown_key(key)),
        value => decode(key, value),
    }
}

/// Decodes the record with this key and value.
///
/// # Errors
///
/// Fails if the key is unknown, the version is newer, or the value is malformed.
pub fn decode(key: &str, value: &[u8]) -> Result<Record, RecordError> {
    // The version is checked first, as an unknown kind of record may be one that must not be
    // skipped.
    if let Some(newer) = value.first().filter(|it| **it > VERSION) {
        return Err(RecordError::Version(*newer));
    }
    if key == OWNER_KEY {
        let (wire, rest): (ClaimWire, _) = decode_with_rest(value)?;
        // Older builds wrote nothing after the claim.
        let vouched_epoch = if rest.is_empty() { None } else { decode_unframed(rest)?.0 };
        return Ok(Record::Claim(wire.into(), vouched_epoch));
    }
    if key == INTERFERENCE_KEY {
        let (named, rest): (NamedPairsWire, _) = decode_with_rest(value)?;
        let pairs = match rest {
            [] => named.into(),
            _ => decode_unframed::<LearnedInterferenceWire>(rest)?.0.try_into()?,
        };
        return Ok(Record::LearnedInterference(pairs));
    }
    if key == WITNESSES_KEY {
        let (wire, rest): (WitnessesWire, _) = decode_with_rest(value)?;
        // Earlier builds wrote no addresses.
        let addresses = match rest {
            [] => WitnessAddressesWire::default(),
            _ => decode_unframed(rest)?.0,
        };
        return Ok(Record::Witnesses((wire, addresses).into()));
    }
    if key == OPEN_STARTS_KEY {
        return decode_framed::<OpenStartsWire>(value).map(|it| Record::OpenStarts(it.into()));
    }
    if key == LONG_LEASES_KEY {
        let names: Vec<String> = decode_framed(value)?;
        return Ok(Record::LongLeases(names.iter().map(|it| it.as_str().into()).collect()));
    }
    if key == LAYOUT_KEY {
        return match decode_framed(value)? {
            0 => Err(RecordError::Malformed("layout without shards".to_owned())),
            shards => Ok(Record::Layout(Layout { shards })),
        };
    }
    let unknown = || unknown_key(key);
    let (kind, id) = key.split_once('-').ok_or_else(unknown)?;
    if kind == "sign" {
        let shard = ShardId(id.parse().map_err(|_| unknown())?);
        let (wire, rest): (HeartbeatWire, _) = decode_with_rest(value)?;
        let (free_blocks, capacity) = decode_heartbeat_rest(rest)?;
        let heartbeat = wire.into_heartbeat(shard, free_blocks, capacity);
        return Ok(Record::OwnerHeartbeat(Box::new(heartbeat)));
    }
    if kind == "observed" {
        let shard = ShardId(id.parse().map_err(|_| unknown())?);
        let wire: InterferenceSumsWire = decode_framed(value)?;
        return Ok(Record::InterferenceSums(shard, wire.try_into()?));
    }
    if kind == "rejected" {
        let (id, wire): (u64, RejectionWire) = decode_framed(value)?;
        return Ok(Record::Rejected(JobId(id), wire.into()));
    }
    match key.parse().map_err(|_| unknown())? {
        RecordKey::TransferOut(id) => decode_framed(value).map(|(number, to)| {
            Record::TaskTransferredOut(id, OutgoingTransfer { number, to: ShardId(to) })
        }),
        RecordKey::TransferIn(id, number) => {
            let transfer = decode_framed::<TransferWire>(value)?.into_transfer(id, number)?;
            Ok(Record::TaskTransferredIn(id, Box::new(transfer)))
        }
        RecordKey::Submission(id) => {
            let wire: JobWire = decode_framed(value)?;
            Ok(Record::Submitted(id, wire.try_into()?))
        }
        RecordKey::Cancellation(id) => decode_framed(value).map(|()| Record::Cancelled(id)),
        RecordKey::Reruns(id) => {
            decode_framed::<RerunsWire>(value).map(|it| Record::Reruns(id, it.into()))
        }
        RecordKey::Delegation(id) => {
            decode_framed(value).map(|it| Record::Delegated(id, ShardId(it)))
        }
        RecordKey::State(id) => {
            let (state, shard) = decode_framed(value)?;
            let published =
                PublishedState { state: state_from_number(state)?, shard: ShardId(shard) };
            Ok(Record::State(id, published))
        }
        RecordKey::Progress(id) => {
            let (wire, rest): (ProgressWire, _) = decode_with_rest(value)?;
            let mut progress = Progress::try_from(wire)?;
            // Earlier builds wrote nothing after the tasks.
            if let [TASK_EVENTS_TAG, rest @ ..] = rest {
                decode_unframed::<TaskEventsWire>(rest)?.0.add_to(&mut progress);
            }
            Ok(Record::Progress(id, progress))
        }
    }
}

/// Returns what a reader folds in place of the record with this key, which cannot be decoded;
/// `None` if the reader skips the record, or gives up.
pub fn substitute(key: &str, offset: u64, error: &RecordError) -> Option<Record> {
    match (key, error) {
        // If the record were ignored, an owner that may still renew leases would be treated as
        // absent.
        (OWNER_KEY, _) => Some(Record::Claim(Claim::unreadable(offset), None)),
        // If the record were ignored, earlier witnesses would be used, with which its owner no
        // longer complies.
        (WITNESSES_KEY, RecordError::Malformed(_)) => Some(Record::Witnesses(Witnesses::default())),
        _ => None,
    }
}

fn unknown_key(key: &str) -> RecordError {
    RecordError::Key(key.chars().take(40).collect())
}

fn encode_framed<T: Encode>(value: T) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    bytes.extend(encode_unframed(value));
    bytes
}

fn encode_unframed<T: Encode>(value: T) -> Vec<u8> {
    // Encoding into memory can't fail for the types used here.
    bincode::encode_to_vec(value, config::standard()).unwrap_or_default()
}

fn decode_framed<T: Decode<()>>(bytes: &[u8]) -> Result<T, RecordError> {
    decode_with_rest(bytes).map(|(value, _)| value)
}

/// Decodes the value after the version byte and returns it with the bytes after it.
fn decode_with_rest<T: Decode<()>>(bytes: &[u8]) -> Result<(T, &[u8]), RecordError> {
    let (_, body) =
        bytes.split_first().ok_or_else(|| RecordError::Malformed("empty value".to_owned()))?;
    decode_unframed(body)
}

fn decode_unframed<T: Decode<()>>(body: &[u8]) -> Result<(T, &[u8]), RecordError> {
    // The limit prevents a corrupt length from causing a large allocation.
    let cfg = config::standard().with_limit::<{ 4 << 20 }>();
    let (value, len) =
        bincode::decode_from_slice(body, cfg).map_err(|e| RecordError::Malformed(e.to_string()))?;
    Ok((value, &body[len..]))
}

/// Decodes the free blocks and the capacity reports at the end of a heartbeat. Older builds wrote
/// nothing there, or one number for each block, or the blocks alone.
fn decode_heartbeat_rest(bytes: &[u8]) -> Result<(FreeBlocksWire, CapacityWire), RecordError> {
    let older =
        bytes.is_empty() || matches!(decode_unframed::<[u32; FREE_BLOCKS]>(bytes), Ok((_, [])));
    if older {
        return Ok(Default::default());
    }
    let (free_blocks, rest) = decode_unframed(bytes)?;
    let capacity = match rest {
        [CAPACITY_TAG, rest @ ..] => decode_unframed(rest)?.0,
        _ => CapacityWire::default(),
    };
    Ok((free_blocks, capacity))
}
