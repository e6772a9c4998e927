//! Point 3.

use daisy_history::{
    EventKind, RunEnd,
    resume::{Options, check},
};

use crate::{history, run, started};

const TOKEN: u64 = 7;

fn ended(incarnation: u32, end: RunEnd) -> EventKind {
    EventKind::TaskEnded { run: run(incarnation), end }
}

fn evicted() -> Vec<(u64, &'static str, EventKind)> {
    vec![(1, "w1", started(run(1), None)), (2, "w1", ended(1, RunEnd::Checkpointed(TOKEN)))]
}

fn violations(more: &[(u64, &'static str, EventKind)], options: &Options) -> Vec<String> {
    let mut events = evicted();
    events.extend_from_slice(more);
    check(&history(&events), options).into_iter().map(|it| it.what).collect()
}

#[test]
fn refuses_work_that_resumes_twice() {
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
fn refuses_work_that_begins_anew() {
    let more = [(3, "w2", started(run(2), None))];

    assert_eq!(violations(&more, &Options::default()).len(), 1);
}

#[test]
fn refuses_an_unknown_checkpoint() {
    let more = [(3, "w2", started(run(2), Some(TOKEN + 1)))];

    assert_eq!(violations(&more, &Options::default()).len(), 1);
}

#[test]
fn refuses_work_left_behind_in_a_complete_run_only() {
    let all_must_resume = Options { all_must_resume: true, ..Options::default() };
    let cancelled = Options { all_must_resume: true, cancelled: vec![1] };

    assert_eq!(violations(&[], &all_must_resume), ["evicted work never resumed"]);
    assert!(violations(&[], &Options::default()).is_empty());
    assert!(violations(&[], &cancelled).is_empty());
}

#[test]
fn accepts_one_resumption_and_another_after_its_work_was_lost() {
    let more = [
        (3, "w2", started(run(2), Some(TOKEN))),
        (4, "w2", ended(2, RunEnd::LeaseLapsed)),
        (5, "w3", started(run(3), Some(TOKEN))),
        (6, "w3", ended(3, RunEnd::Done)),
    ];

    assert!(violations(&more, &Options { all_must_resume: true, ..Options::default() }).is_empty());
}
