//! What the router is asked, and what it decides.

use std::{net::SocketAddr, time::Duration};

use daisy_model::{Instant, Name, VmId};

/// How urgent a caller says its request is; a later variant goes before an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Whenever there is room.
    Low,
    /// The default.
    Normal,
    /// Somebody waits for the answer.
    Critical,
}

/// Who sent a request, as far as fairness goes: a digest of the caller's name or address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// A request that looks for a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The service that it names.
    pub service: Name,
    /// Its urgency within the service.
    pub urgency: Urgency,
    /// Who sent it.
    pub caller: CallerId,
    /// When its answer must have come.
    pub deadline: Instant,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Bytes of its body, for the budget of the region link.
    pub bytes: u64,
}

/// Names a request from its offer to its end; never reused within a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(crate) u64);

/// Names one try of a request on one backend server; never reused within a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TryId {
    pub(crate) index: u32,
    pub(crate) generation: u32,
}

/// Where a try goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The request.
    pub ticket: Ticket,
    /// The try, to be ended with [`Router::finish`](crate::Router::finish).
    pub try_id: TryId,
    /// The backend server.
    pub vm: VmId,
    /// Its address.
    pub address: SocketAddr,
    /// Connections that this entry VM may have open to it.
    pub connections: u32,
}

/// Why a request is refused; a refused request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// No service has the name.
    UnknownService,
    /// The service has no backend server that may take anything new.
    NoBackend,
    /// It could not finish before its deadline.
    Deadline,
    /// The queue is full of requests that go before it.
    Overload,
    /// The entry VM is about to stop.
    Draining,
}

/// A refusal and when to come again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: RejectReason,
    /// When the load is expected to have gone down.
    pub retry_after: Duration,
}

/// What becomes of a request for now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It goes to a backend server at once.
    Send(Target),
    /// It waits in the queue; a later [`QueueDecision`] decides.
    Wait(Ticket),
    /// It is not run.
    Reject(Rejection),
}

/// What became of a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueDecision {
    /// It goes to a backend server.
    Send(Target),
    /// It is not run.
    Reject(Ticket, Rejection),
}
