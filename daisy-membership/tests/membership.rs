//! Tests of membership under message loss, delay, paused processes and cut links.

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
