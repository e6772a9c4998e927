//! When a process is too slow to own a shard.

use std::time::Duration;

use daisy_model::Instant;
use daisy_workflow::TickDelay;

const EVERY: Duration = Duration::from_millis(50);

/// Whether a process whose ticks come `gaps` milliseconds apart is too late at the last of them.
fn too_late(gaps: &[u64]) -> bool {
    let mut now = Instant::from_millis(1_000);
    let mut lateness = TickDelay::new(now, EVERY);
    let mut last = false;
    for gap in gaps {
        now = now + Duration::from_millis(*gap);
        last = lateness.record_tick(now);
    }
    last
}

#[test]
fn ticks_on_time_are_not_late() {
    assert!(!too_late(&[50; 100]));
}

/// A VM is slowed to a fifth: its owner gets to each tick half a second late, and would take workers
/// that answer in time for silent ones.
#[test]
fn a_slowed_process_is_too_late_within_seconds() {
    assert!(too_late(&[550; 8]));
}

/// A VM stands still for four seconds. Afterwards it is as good as before, and giving the shard up
/// would only cost another change of the owner.
#[test]
fn one_long_pause_is_no_slowness() {
    assert!(!too_late(&[50, 50, 4_000]));
}
