//! Proofs of the system's guarantees, on the histories of separate processes under faults.
//!
//! Each test starts a platform, workers, and entry VMs as processes of their own on loopback,
//! injects faults by signals and by the stand-ins' fault switches, and passes the merged
//! histories to the checkers of `daisy-history`.

mod cluster;
mod cluster_config;
mod operators;
mod partitions;
mod process;

mod at_most_once;
mod capacity;
mod configuration;
mod leaving;
mod not_run;
mod one_place;
mod own_answer;
mod planned_stop;
mod resume;
mod several;

use std::time::{Duration, Instant};

use daisy_history::Violation;
use tokio::time::sleep;

/// The interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The number of violations that a failed test prints at most.
const VIOLATIONS_SHOWN_MAX: usize = 3;

/// Waits until `condition` returns a value, and panics with `what` after `timeout`.
async fn wait_for<T, F>(what: &str, timeout: Duration, mut condition: F) -> T
where
    F: AsyncFnMut() -> Option<T>,
{
    let began = Instant::now();
    loop {
        if let Some(found) = condition().await {
            return found;
        }
        assert!(began.elapsed() < timeout, "not within {timeout:?}: {what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Panics with the first violations, if there are any.
#[track_caller]
fn assert_no_violations(violations: Vec<Violation>) {
    let text: Vec<String> =
        violations.iter().take(VIOLATIONS_SHOWN_MAX).map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{} violations:\n{}", violations.len(), text.join("\n"));
}
