//! Point 3.

use daisy_history::{
    End, Kind,
    resume::{Options, check},
};

use crate::{history, run, started};

const TOKEN: u64 = 7;

fn ended(incarnation: u32, end: End) -> Kind {
    Kind::TaskEnded { run: run(incarnation), end }
}

fn evicted() -> Vec<(u64, &'static str, Kind)> {
    vec![(1, "w1", started(run(1), None)), (2, "w1", ended(1, End::Checkpointed(TOKEN)))]
}

fn violations(more: &[(u64, &'static str, Kind)], options: &Options) -> Vec<String> {
    let mut events = evicted();
    events.extend_from_slice(more);
    check(&history(&events), options).into_iter().map(|it| it.what).collect()
}

#[test]
fn refuses_work_that_resumes_twice() {
    let more = [
        (3, "w2", started(run(2), Some(TOKEN))),
        (4, "w2", ended(2, End::Done)),
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
    let complete = Options { complete: true, ..Options::default() };
    let cancelled = Options { complete: true, cancelled: vec![1] };

    assert_eq!(violations(&[], &complete), ["evicted work never resumed"]);
    assert!(violations(&[], &Options::default()).is_empty());
    assert!(violations(&[], &cancelled).is_empty());
}

#[test]
fn accepts_one_resumption_and_another_after_its_work_was_lost() {
    let more = [
        (3, "w2", started(run(2), Some(TOKEN))),
        (4, "w2", ended(2, End::LeaseLapsed)),
        (5, "w3", started(run(3), Some(TOKEN))),
        (6, "w3", ended(3, End::Done)),
    ];

    assert!(violations(&more, &Options { complete: true, ..Options::default() }).is_empty());
}
