//! Messages between entry VMs: frames of versioned bincode on h2 streams.
//!
//! A frame is its length (4 bytes, little endian), the version of the protocol (2 bytes)
//! and one bincode message. `docs/PROTOCOL.md` names the streams and their messages.

mod frame;
mod key;
mod live;
mod notice;
mod question;
mod records;

pub use self::{
    frame::{FrameDecoder, MAX_FRAME, VERSION, frame},
    key::{KeyAnswerWire, KeyQueryWire},
    live::LiveViewWire,
    notice::{BeatWire, Notice, NoticeWire, Replica, ReplicaChange, ReplicasWire},
    question::{PeerAnswer, PeerAnswerWire, PeerQuery, PeerQueryWire},
    records::{RecordStreamMessage, RecordStreamMessageWire, RecordsRequest},
};
