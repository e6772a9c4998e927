//! Reads of the log's records from another entry VM, in the frames of [`peer`](crate::peer).

use std::time::Duration;

use bincode::{Decode, Encode};
use bytes::Bytes;
use daisy_relay::{Batch, StoredRecord};

use crate::WireError;

/// A topic that readers keep for their followers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayedTopic {
    /// The operators' records.
    Operators,
    /// The states of jobs and the heartbeats of owners.
    States,
    /// The workers' records of themselves, of one shard.
    Workers {
        /// The shard's number.
        shard: u16,
        /// The number of shards.
        shards: u16,
    },
}

impl RelayedTopic {
    /// Returns the topic's label in log lines.
    pub fn label(self) -> &'static str {
        match self {
            RelayedTopic::Operators => "operators",
            RelayedTopic::States => "states",
            RelayedTopic::Workers { .. } => "workers",
        }
    }

    /// Returns whether readers keep the topic only while a follower asks for it.
    pub fn is_kept_on_demand(self) -> bool {
        matches!(self, RelayedTopic::Workers { .. })
    }
}

/// A follower's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadRequest {
    /// The topic.
    pub topic: RelayedTopic,
    /// The offset of the first record; `None` for the newest record of each key.
    pub from: Option<u64>,
    /// How long the reader waits for a record.
    pub wait: Duration,
}

/// See [`ReadRequest`].
#[derive(Debug, Encode, Decode)]
pub struct ReadRequestWire {
    /// 0 for the operators' records, 1 for the states, 2 for the workers' records.
    pub topic: u8,
    /// The shard and the number of shards, for the workers' records.
    pub shard: Option<(u16, u16)>,
    /// The offset of the first record.
    pub from: Option<u64>,
    /// How long the reader waits, in milliseconds.
    pub wait_ms: u32,
}

/// A reader's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadAnswer {
    /// The asked VM keeps no records.
    NoRecords,
    /// Records of the log.
    Records {
        /// The records.
        batch: Batch,
        /// How long the request was held until a record came.
        held: Duration,
        /// The reader's distance to the log.
        log_rtt: Duration,
        /// Whether the reader will soon stop reading for others.
        is_leaving: bool,
    },
}

/// See [`ReadAnswer`].
#[derive(Debug, Encode, Decode)]
pub enum ReadAnswerWire {
    /// See [`ReadAnswer::NoRecords`].
    NoRecords,
    /// See [`ReadAnswer::Records`].
    Records(RecordsWire),
}

/// See [`ReadAnswer::Records`]. Times are in microseconds.
#[derive(Debug, Encode, Decode)]
pub struct RecordsWire {
    /// Offset, key and value of each record.
    pub records: Vec<(u64, String, Vec<u8>)>,
    /// See [`Batch::is_snapshot`].
    pub is_snapshot: bool,
    /// See [`Batch::next`].
    pub next: u64,
    /// See [`Batch::age`].
    pub age_us: Option<u64>,
    /// How long the request was held.
    pub held_us: u64,
    /// The reader's distance to the log.
    pub log_rtt_us: u64,
    /// Whether the reader will soon stop.
    pub is_leaving: bool,
}

impl From<ReadRequest> for ReadRequestWire {
    fn from(req: ReadRequest) -> ReadRequestWire {
        let (topic, shard) = match req.topic {
            RelayedTopic::Operators => (0, None),
            RelayedTopic::States => (1, None),
            RelayedTopic::Workers { shard, shards } => (2, Some((shard, shards))),
        };
        let wait_ms = u32::try_from(req.wait.as_millis()).unwrap_or(u32::MAX);
        ReadRequestWire { topic, shard, from: req.from, wait_ms }
    }
}

impl TryFrom<ReadRequestWire> for ReadRequest {
    type Error = WireError;

    fn try_from(wire: ReadRequestWire) -> Result<ReadRequest, WireError> {
        let topic = match (wire.topic, wire.shard) {
            (0, None) => RelayedTopic::Operators,
            (1, None) => RelayedTopic::States,
            (2, Some((shard, shards))) if shard < shards => RelayedTopic::Workers { shard, shards },
            (other, shard) => {
                let reason = format!("{other} of shard {shard:?} is no topic");
                return Err(WireError::Field { field: "topic", reason });
            }
        };
        let wait = Duration::from_millis(u64::from(wire.wait_ms));
        Ok(ReadRequest { topic, from: wire.from, wait })
    }
}

impl From<ReadAnswer> for ReadAnswerWire {
    fn from(answer: ReadAnswer) -> ReadAnswerWire {
        let ReadAnswer::Records { batch, held, log_rtt, is_leaving } = answer else {
            return ReadAnswerWire::NoRecords;
        };
        let records = batch.records.into_iter();
        ReadAnswerWire::Records(RecordsWire {
            records: records.map(|it| (it.offset, it.key, it.value.to_vec())).collect(),
            is_snapshot: batch.is_snapshot,
            next: batch.next,
            age_us: batch.age.map(to_micros),
            held_us: to_micros(held),
            log_rtt_us: to_micros(log_rtt),
            is_leaving,
        })
    }
}

impl From<ReadAnswerWire> for ReadAnswer {
    fn from(wire: ReadAnswerWire) -> ReadAnswer {
        let ReadAnswerWire::Records(wire) = wire else { return ReadAnswer::NoRecords };
        let records = wire.records.into_iter();
        let records = records
            .map(|(offset, key, value)| StoredRecord { offset, key, value: Bytes::from(value) })
            .collect();
        ReadAnswer::Records {
            batch: Batch {
                records,
                is_snapshot: wire.is_snapshot,
                next: wire.next,
                age: wire.age_us.map(Duration::from_micros),
            },
            held: Duration::from_micros(wire.held_us),
            log_rtt: Duration::from_micros(wire.log_rtt_us),
            is_leaving: wire.is_leaving,
        }
    }
}

fn to_micros(it: Duration) -> u64 {
    u64::try_from(it.as_micros()).unwrap_or(u64::MAX)
}
