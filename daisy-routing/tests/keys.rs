//! At most once: homes of keys, fences, handovers, and schedules of faults.

#[path = "keys/home.rs"]
mod home;
#[path = "keys/schedule.rs"]
mod schedule;
#[path = "keys/world.rs"]
mod world;
