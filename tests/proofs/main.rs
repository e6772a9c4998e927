//! What must always hold, checked on histories of separate processes under faults.
//!
//! Each test starts a platform, workers, and entry VMs as processes of their own on loopback,
//! brings faults about by signals and by the stand-ins' switches, and hands the merged
//! histories to the checkers of `daisy-history`.

mod cluster;
mod cuts;
mod operators;
mod process;
mod shape;

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

const POLL: Duration = Duration::from_millis(50);
/// Violations that a failed test prints.
const SHOWN: usize = 3;

/// Waits until `holds` gives a value, and fails with `what` after `within`.
async fn eventually<T, F>(what: &str, within: Duration, mut holds: F) -> T
where
    F: AsyncFnMut() -> Option<T>,
{
    let began = Instant::now();
    loop {
        if let Some(found) = holds().await {
            return found;
        }
        assert!(began.elapsed() < within, "not within {within:?}: {what}");
        sleep(POLL).await;
    }
}

/// Fails with the first violations, if there are any.
#[track_caller]
fn assert_none(violations: Vec<Violation>) {
    let text: Vec<String> = violations.iter().take(SHOWN).map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{} violations:\n{}", violations.len(), text.join("\n"));
}
