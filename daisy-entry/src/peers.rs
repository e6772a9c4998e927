//! Communication between entry VMs: h2 streams of the frames of `daisy_wire::peer`.
//!
//! `docs/PROTOCOL.md` describes three paths: `/v1/notices`, a long stream of heartbeats;
//! `/v1/records`, the forwarded log; `/v1/question`, one query and its answer.

mod link;
mod links;
mod serve;
mod tail;
mod traffic;

pub(crate) use self::{
    link::{Command, PeerUpdate},
    links::Links,
    serve::{AllowedPeers, Server},
    tail::Tail,
    traffic::Traffic,
};

pub use self::links::PeerKeyClient;

/// The path of the stream of notices.
const NOTICES: &str = "/v1/notices";
/// The path of the stream of records.
const RECORDS: &str = "/v1/records";
/// The path of a query.
const QUERY: &str = "/v1/question";
