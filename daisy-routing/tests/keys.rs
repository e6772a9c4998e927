//! At-most-once execution: homes of keys, fences, handovers, and random sequences of faults.

#[path = "keys/random_faults.rs"]
mod random_faults;
#[path = "keys/simulation.rs"]
mod simulation;
#[path = "keys/single_fault.rs"]
mod single_fault;
