//! Point 7.

use std::time::Duration;

use daisy_history::{
    EventKind,
    leaving::{Options, check},
};

use crate::{history, request_began};

const OPTIONS: Options = Options { time_limit: Duration::from_secs(2) };

fn vm(status: &str) -> EventKind {
    EventKind::VmChanged { vm: "b".to_owned(), status: status.to_owned() }
}

#[test]
fn refuses_new_work_long_after_the_news() {
    let bad = history(&[(0, "p", vm("leaving")), (2_000_001, "b", request_began(1, 1, None))]);

    assert_eq!(check(&bad, &OPTIONS).len(), 1);
}

#[test]
fn counts_work_that_the_server_itself_refuses() {
    let refused = EventKind::RequestRefused { request: "1".to_owned(), call: None };
    let bad = history(&[(0, "b", EventKind::Leaving), (3_000_000, "b", refused)]);

    assert_eq!(check(&bad, &OPTIONS).len(), 1);
}

#[test]
fn repeated_news_does_not_put_the_bound_off() {
    let drained = EventKind::Drained { vm: "b".to_owned() };
    let bad = history(&[
        (0, "o", drained),
        (1_500_000, "p", vm("leaving")),
        (2_500_000, "b", request_began(1, 1, None)),
    ]);

    assert_eq!(check(&bad, &OPTIONS).len(), 1);
}

#[test]
fn accepts_work_within_the_bound_and_after_the_vm_is_live_again() {
    let good = history(&[
        (0, "p", vm("leaving")),
        (2_000_000, "b", request_began(1, 1, None)),
        (2_500_000, "p", vm("live")),
        (9_000_000, "b", request_began(2, 1, None)),
    ]);

    assert!(check(&good, &OPTIONS).is_empty());
}
