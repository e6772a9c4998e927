//! Messages between entry VMs: versioned bincode in frames on HTTP/2 streams.
//!
//! A frame consists of its length (4 bytes, little endian), the protocol version (2 bytes,
//! little endian), and one bincode message. `docs/PROTOCOL.md` lists the streams and their
//! messages.

mod frame;
mod key;
mod live;
mod notice;
mod query;
mod records;

pub use self::{
    frame::{FrameDecoder, MAX_FRAME, VERSION, frame},
    key::{KeyAnswerWire, KeyQueryWire},
    live::LiveViewWire,
    notice::{HeartbeatWire, Notice, NoticeWire, Replica, ReplicaChange, ReplicaChangeWire},
    query::{PeerAnswer, PeerAnswerWire, PeerQuery, PeerQueryWire},
    records::{RecordStreamMessage, RecordStreamMessageWire, RecordsRequest},
};
