//! Tests of the membership's decisions on schedules of loss, delay, pauses and cuts.

#[path = "membership/changeover.rs"]
mod changeover;
#[path = "membership/fleet.rs"]
mod fleet;
#[path = "membership/pauses.rs"]
mod pauses;
#[path = "membership/readiness.rs"]
mod readiness;
#[path = "membership/schedules.rs"]
mod schedules;
#[path = "membership/source.rs"]
mod source;
