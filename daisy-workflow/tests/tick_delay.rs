//! When a process runs too slowly to own a shard.

use std::time::Duration;

use daisy_model::Instant;
use daisy_workflow::TickDelay;

const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Returns whether a process whose ticks are `gaps` milliseconds apart is too slow at the last of
/// them.
fn is_too_slow(gaps: &[u64]) -> bool {
    let mut now = Instant::from_millis(1_000);
    let mut tick_delay = TickDelay::new(now, TICK_INTERVAL);
    let mut last = false;
    for gap in gaps {
        now = now + Duration::from_millis(*gap);
        last = tick_delay.record_tick(now);
    }
    last
}

#[test]
fn ticks_on_time_are_not_too_slow() {
    assert!(!is_too_slow(&[50; 100]));
}

/// A VM runs at a fifth of its speed: its owner handles each tick half a second late, and would
/// treat workers that answer in time as unreachable.
#[test]
fn a_slowed_process_is_detected_within_8_ticks() {
    assert!(is_too_slow(&[550; 8]));
}

/// A VM is frozen for four seconds. It works normally afterwards, and a release of the shard would
/// only cost another owner change.
#[test]
fn one_long_pause_is_not_treated_as_slowness() {
    assert!(!is_too_slow(&[50, 50, 4_000]));
}
