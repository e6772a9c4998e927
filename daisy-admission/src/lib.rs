//! Admission of long-running jobs on a fleet that finite jobs share.
//!
//! A long-running job holds what it reserves for minutes, while finite tasks come and go within
//! seconds. If every long-running job were accepted, they would fill the workers until each has
//! only a block left that no finite task fits into. The load that this crate answers is that of
//! long-running jobs that arrive faster than they end.
//!
//! The owner of a shard learns the [finite load](FiniteLoad) from the jobs that arrive, and
//! [plans](plan_capacity) which blocks it needs; its [`CapacityReport`] tells the result to all
//! entry VMs. The VM that receives a long-running job [decides](Admission::decide) from these
//! reports and from the rejections of all VMs, which [`Returning`] keeps in order.
//!
//! Nothing here reads a clock or a socket: the current time is an argument.

#![deny(missing_docs, unsafe_code)]

mod capacity;
mod decide;
mod finite_load;
mod returning;

pub use crate::{
    capacity::{CapacityPlan, CapacityReport, FleetCapacity, plan_capacity},
    decide::{Admission, Decision, Request, Verdict},
    finite_load::{FiniteLoad, OfferedLoad},
    returning::Returning,
};
