//! Reads, merges and writes histories.

use daisy_history::{Event, EventKind, History};

use crate::history;

const LINE: &str = r#"{"at_us":5,"who":"e","event":"healed"}"#;

#[test]
fn an_incomplete_last_line_is_skipped_and_the_history_is_marked_as_truncated() {
    let text = format!("{LINE}\n{}", &LINE[..20]);

    let read = History::parse(&text).unwrap();

    assert_eq!(read.events().len(), 1);
    assert!(read.is_truncated());
    assert!(History::merge(vec![read, History::default()]).is_truncated());
}

#[test]
fn a_malformed_line_in_the_middle_is_an_error_with_its_line_number() {
    let text = format!("{LINE}\nnonsense\n{LINE}\n");

    let refused = History::parse(&text).unwrap_err();

    assert_eq!(refused.line, 2);
}

#[test]
fn events_of_one_process_at_the_same_time_keep_their_order() {
    let parts = vec![
        history(&[(5, "a", EventKind::CutOff), (5, "a", EventKind::Healed)]),
        history(&[(4, "b", EventKind::CutOff)]),
    ];

    let merged = History::merge(parts);

    let kinds: Vec<&EventKind> = merged.events().iter().map(|event| &event.kind).collect();
    assert_eq!(kinds, [&EventKind::CutOff, &EventKind::CutOff, &EventKind::Healed]);
}

#[test]
fn a_written_history_can_be_read_back() {
    let run = daisy_history::Run { job: 1, index: 2, incarnation: 3 };
    let end = daisy_history::RunEnd::Checkpointed(u64::MAX);
    let kind = EventKind::TaskEnded { run, end };
    let event = Event { at_us: 1, who: "w".to_owned(), kind };
    let mut lines = Vec::new();

    History::new(vec![event.clone()]).write(&mut lines).unwrap();
    let read = History::parse(std::str::from_utf8(&lines).unwrap()).unwrap();

    assert_eq!(read.events(), [event]);
}
