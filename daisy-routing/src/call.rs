//! Requests to the router and its decisions.

use std::{net::SocketAddr, time::Duration};

use daisy_model::{Instant, Name, VmId};

/// The urgency that a caller declares for its request; later variants are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// The request can wait until there is free capacity.
    Low,
    /// The default urgency.
    Normal,
    /// Somebody is waiting for the answer.
    Critical,
}

/// Identifies the caller of a request for fair queueing: a digest of the caller's name or address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// A request for which a backend server is needed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The service that the request names.
    pub service: Name,
    /// The urgency of the request within its service.
    pub urgency: Urgency,
    /// The caller that sent the request.
    pub caller: CallerId,
    /// The time by which the answer must arrive.
    pub deadline: Instant,
    /// Whether the request may safely run twice.
    pub idempotent: bool,
    /// Size of the body in bytes, for the budget of the region link.
    pub bytes: u64,
}

/// Identifies a request from its admission to its end; never reused within a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(crate) u64);

/// Identifies one try of a request on one backend server; never reused within a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TryId {
    pub(crate) index: u32,
    pub(crate) generation: u32,
}

/// The destination of a try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The request.
    pub ticket: Ticket,
    /// The try, which must be ended with [`Router::finish`](crate::Router::finish).
    pub try_id: TryId,
    /// The backend server.
    pub vm: VmId,
    /// The address of the backend server.
    pub address: SocketAddr,
    /// Maximum number of connections that this entry VM may have open to the backend server.
    pub connections: u32,
}

/// Why a request is rejected; a rejected request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// No service has the requested name.
    UnknownService,
    /// The service has no backend server that may take new requests.
    NoBackend,
    /// The request could not finish before its deadline.
    Deadline,
    /// The queue is full of requests that precede this one.
    Overload,
    /// The entry VM is about to stop.
    Draining,
}

/// The rejection of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// The reason.
    pub reason: RejectReason,
    /// Time after which the load is expected to have decreased and the caller should retry.
    pub retry_after: Duration,
}

/// The router's decision about a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is sent to a backend server at once.
    Send(Target),
    /// The request waits in the queue; a later [`QueueDecision`] follows.
    Wait(Ticket),
    /// The request is rejected and does not run.
    Reject(Rejection),
}

/// The router's decision about a request that waited in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueDecision {
    /// The request is sent to a backend server.
    Send(Target),
    /// The request is rejected and does not run.
    Reject(Ticket, Rejection),
}
