//! The guarantees of the system, and violations of them.

use std::fmt;

use crate::Event;

/// A guarantee of the system; the numbers are those of the users' list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guarantee {
    /// No VM is given more work than its capacity.
    Capacity = 1,
    /// No task runs in two places at once.
    OnePlace = 2,
    /// Evicted work resumes exactly once.
    Resume = 3,
    /// Every caller receives the complete answer to its own request.
    OwnAnswer = 4,
    /// A request that is reported as not run was not run.
    NotRun = 5,
    /// A non-idempotent request runs at most once.
    AtMostOnce = 6,
    /// A backend server that is leaving receives no new work after a few seconds.
    Leaving = 7,
    /// A planned stop cuts off no request in flight.
    PlannedStop = 8,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    Configuration = 9,
}

/// A violation of a guarantee, and the events that prove it.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The guarantee that is violated.
    pub guarantee: Guarantee,
    /// A description of the violation.
    pub what: String,
    /// The events that prove it, in order.
    pub events: Vec<Event>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "point {} ({:?}): {}", self.guarantee as u8, self.guarantee, self.what)?;
        self.events.iter().try_for_each(|event| write!(f, "\n    {event:?}"))
    }
}
