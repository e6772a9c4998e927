//! What a checker finds.

use std::fmt;

use crate::Event;

/// What must always hold; the numbers are those of the users' list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Point {
    /// No VM is given more work than it holds.
    Capacity = 1,
    /// No task runs in two places.
    OnePlace = 2,
    /// Evicted work resumes exactly once.
    Resume = 3,
    /// Every caller receives the whole answer to its own request.
    OwnAnswer = 4,
    /// What is said not to have run has not run.
    NotRun = 5,
    /// A non-idempotent request runs at most once.
    AtMostOnce = 6,
    /// What leaves receives no new work after a few seconds.
    Leaving = 7,
    /// A planned stop cuts off no request in flight.
    PlannedStop = 8,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    Configuration = 9,
}

/// Something that must never happen, and the events that show it.
#[derive(Debug, Clone)]
pub struct Violation {
    /// What does not hold.
    pub point: Point,
    /// How it does not.
    pub what: String,
    /// What shows it, in order.
    pub events: Vec<Event>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "point {} ({:?}): {}", self.point as u8, self.point, self.what)?;
        self.events.iter().try_for_each(|event| write!(f, "\n    {event:?}"))
    }
}
