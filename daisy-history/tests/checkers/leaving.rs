//! Guarantee 7: a backend server that is leaving receives no new work after a few seconds.

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
fn reports_new_work_after_the_time_limit() {
    let bad = history(&[(0, "p", vm("leaving")), (2_000_001, "b", request_began(1, 1, None))]);

    assert_eq!(check(&bad, &OPTIONS).len(), 1);
}

#[test]
fn reports_late_requests_even_if_the_server_refuses_them() {
    let refused = EventKind::RequestRefused { request: "1".to_owned(), call: None };
    let bad = history(&[(0, "b", EventKind::Leaving), (3_000_000, "b", refused)]);

    assert_eq!(check(&bad, &OPTIONS).len(), 1);
}

#[test]
fn a_second_notice_does_not_extend_the_time_limit() {
    let drained = EventKind::Drained { vm: "b".to_owned() };
    let bad = history(&[
        (0, "o", drained),
        (1_500_000, "p", vm("leaving")),
        (2_500_000, "b", request_began(1, 1, None)),
    ]);

    assert_eq!(check(&bad, &OPTIONS).len(), 1);
}

#[test]
fn accepts_work_within_the_time_limit_and_after_the_vm_is_live_again() {
    let good = history(&[
        (0, "p", vm("leaving")),
        (2_000_000, "b", request_began(1, 1, None)),
        (2_500_000, "p", vm("live")),
        (9_000_000, "b", request_began(2, 1, None)),
    ]);

    assert!(check(&good, &OPTIONS).is_empty());
}
