//! Ids, time, resources, jobs, VMs and commands shared by every daisyshift crate.
//!
//! This crate contains data types only: decisions are made in the crates that depend on it, and
//! nothing here reads a clock, a socket or a file.

#![deny(missing_docs, unsafe_code)]

mod arena;
mod command;
mod exit;
mod id;
mod job;
mod policy;
mod resources;
mod sorted;
mod time;
mod vm;
mod worker;

pub use crate::{
    arena::Arena,
    command::{Change, Command, Condition, WorkClass},
    exit::Exit,
    id::{
        DcId, Epoch, Generation, Incarnation, JobId, Key, Name, NameError, Offset, RequestId,
        TaskId, TeamId, VmId,
    },
    job::{JobKind, JobSpec, Priority, Tolerance},
    policy::{Objective, Policy, PolicyChange},
    resources::Resources,
    sorted::SortedMap,
    time::{Instant, WallTime},
    vm::{Vm, VmRole, VmStatus},
    worker::{ExitReport, Order, OrderResult, RunningTask, Usage, WorkerCall, WorkerReport},
};
