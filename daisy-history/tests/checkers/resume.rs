//! Guarantee 3: evicted work resumes exactly once.

use daisy_history::{
    EventKind, RunEnd,
    resume::{Options, check},
};

use crate::{history, run, started};

const TOKEN: u64 = 7;

fn ended(incarnation: u32, end: RunEnd) -> EventKind {
    EventKind::TaskEnded { run: run(incarnation), end }
}

/// Returns the events of a task that starts and is evicted with the checkpoint `TOKEN`.
fn evicted() -> Vec<(u64, &'static str, EventKind)> {
    vec![(1, "w1", started(run(1), None)), (2, "w1", ended(1, RunEnd::Checkpointed(TOKEN)))]
}

/// Returns what the checker finds in an eviction followed by the events `more`.
fn violations(more: &[(u64, &'static str, EventKind)], options: &Options) -> Vec<String> {
    let mut events = evicted();
    events.extend_from_slice(more);
    check(&history(&events), options).into_iter().map(|it| it.what).collect()
}

#[test]
fn reports_work_that_resumes_twice() {
    let more = [
        (3, "w2", started(run(2), Some(TOKEN))),
        (4, "w2", ended(2, RunEnd::Done)),
        (5, "w3", started(run(3), Some(TOKEN))),
    ];
    let twice = [more[0].clone(), more[2].clone()];

    assert_eq!(violations(&twice, &Options::default()), ["evicted work resumes twice"]);
    assert_eq!(violations(&more, &Options::default()).len(), 1);
}

#[test]
fn reports_evicted_work_that_starts_from_the_beginning() {
    let more = [(3, "w2", started(run(2), None))];

    assert_eq!(violations(&more, &Options::default()).len(), 1);
}

#[test]
fn reports_a_resumption_from_an_unknown_checkpoint() {
    let more = [(3, "w2", started(run(2), Some(TOKEN + 1)))];

    assert_eq!(violations(&more, &Options::default()).len(), 1);
}

#[test]
fn reports_work_that_never_resumed_only_if_all_must_resume() {
    let must_resume = Options { all_must_resume: true, ..Options::default() };
    let cancelled = Options { all_must_resume: true, cancelled: vec![1] };

    assert_eq!(violations(&[], &must_resume), ["evicted work never resumed"]);
    assert!(violations(&[], &Options::default()).is_empty());
    assert!(violations(&[], &cancelled).is_empty());
}

#[test]
fn accepts_a_second_resumption_after_the_work_of_the_first_was_lost() {
    let more = [
        (3, "w2", started(run(2), Some(TOKEN))),
        (4, "w2", ended(2, RunEnd::LeaseLapsed)),
        (5, "w3", started(run(3), Some(TOKEN))),
        (6, "w3", ended(3, RunEnd::Done)),
    ];

    assert!(violations(&more, &Options { all_must_resume: true, ..Options::default() }).is_empty());
}
