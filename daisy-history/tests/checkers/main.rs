//! Tests that each checker reports a violation in a bad history and none in a good one.

mod at_most_once;
mod capacity;
mod configuration;
mod generation;
mod history;
mod leaving;
mod not_run;
mod one_place;
mod own_answer;
mod planned_stop;
mod resume;

use daisy_history::{Event, EventKind, History, Run, Size};

/// Returns a history of events, each with its time in microseconds and its process.
fn history(events: &[(u64, &str, EventKind)]) -> History {
    let events = events.iter().map(|(at_us, who, kind)| Event {
        at_us: *at_us,
        who: (*who).to_owned(),
        kind: kind.clone(),
    });
    History::new(events.collect())
}

fn run(incarnation: u32) -> Run {
    Run { job: 1, index: 0, incarnation }
}

fn cores(cores: u32) -> Size {
    Size { cpu_milli: cores * 1000, memory_mib: 1, accelerators: 0 }
}

fn started(run: Run, checkpoint: Option<u64>) -> EventKind {
    EventKind::TaskStarted { run, epoch: 1, size: cores(1), checkpoint }
}

fn call_sent(call: u64, attempt: u32) -> EventKind {
    EventKind::CallSent { call, attempt, key: None, entry: "1.1.1.1:1".to_owned() }
}

fn call_ended(call: u64, attempt: u32, outcome: daisy_history::CallOutcome) -> EventKind {
    let request = Some(format!("{call:x}-{attempt}"));
    let own = outcome == daisy_history::CallOutcome::Answered;
    EventKind::CallEnded { call, attempt, outcome, status: None, request, own }
}

fn request_began(call: u64, attempt: u32, key: Option<&str>) -> EventKind {
    let request = format!("{call:x}-{attempt}");
    EventKind::RequestBegan { request, call: Some(call), key: key.map(str::to_owned) }
}
