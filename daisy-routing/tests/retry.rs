//! Second tries of a request: retries after a failure and hedges beside a slow first try.

mod fixture;

use std::time::Duration;

use daisy_model::VmId;
use daisy_routing::{Admission, Call, TryOutcome, Urgency};
use fixture::{
    answer_requests, backend, call, expect_sent, millis, report_with_answer, report_without_answer,
    rng, router, routes, send_requests,
};

/// Guards against a short fault that becomes a long one: every failed request is sent again, and
/// servers that would have recovered are kept busy with second tries.
#[test]
fn retries_are_limited_to_a_share_of_recent_successes() {
    let mut rng = rng();
    let mut router = router(&routes((100..110).map(backend).collect()));
    let now = answer_requests(&mut router, millis(0), 500, Duration::from_millis(1), &mut rng);
    let mut retries = 0;
    for _ in 0..1_000 {
        let first = expect_sent(router.admit(now, &call(now), &mut rng));
        router.finish(now, first.try_id, report_without_answer(TryOutcome::Cancelled), &mut rng);
        if let Some(second) = router.retry(now, &call(now), &[first.vm], &mut rng) {
            retries += 1;
            router.finish(
                now,
                second.try_id,
                report_without_answer(TryOutcome::Cancelled),
                &mut rng,
            );
        }
    }

    // The initial 10 retries and a tenth of 500.
    assert_eq!(retries, 60);
}

#[test]
fn a_retry_goes_to_another_server() {
    let mut rng = rng();
    let mut router = router(&routes(vec![backend(100), backend(101)]));
    let now = millis(0);

    let second = router.retry(now, &call(now), &[VmId(100)], &mut rng);

    assert_eq!(second.map(|target| target.vm), Some(VmId(101)));
    assert!(router.retry(now, &call(now), &[VmId(100), VmId(101)], &mut rng).is_none());
}

/// Guards against a service that stays overloaded: second tries are added to the waiting requests
/// and take the slot that is kept free for critical first tries.
#[test]
fn no_request_is_retried_while_others_are_waiting() {
    let mut rng = rng();
    let mut router = router(&routes(vec![backend(100)]));
    let now = answer_requests(&mut router, millis(0), 100, Duration::from_millis(100), &mut rng);
    let low = Call { urgency: Urgency::Low, ..call(now) };
    while let Admission::Send(_) = router.admit(now, &low, &mut rng) {}

    let retried = router.retry(now, &call(now), &[], &mut rng);

    assert!(retried.is_none());
    // The slot was free.
    expect_sent(router.admit(now, &call(now), &mut rng));
}

#[test]
fn only_idempotent_requests_are_hedged() {
    let mut rng = rng();
    let mut router = router(&routes(vec![backend(100), backend(101)]));
    let now = answer_requests(&mut router, millis(0), 100, Duration::from_millis(10), &mut rng);
    let order = Call { idempotent: false, ..call(now) };

    assert!(router.hedge_after(&call(now)).is_some());
    assert!(router.hedge_after(&order).is_none());
    assert!(router.hedge(now, &call(now), &[VmId(100)], &mut rng).is_some());
    assert!(router.hedge(now, &order, &[VmId(100)], &mut rng).is_none());
}

#[test]
fn ending_a_try_twice_frees_only_one_slot() {
    let mut rng = rng();
    let mut router = router(&routes(vec![backend(100)]));
    let targets = send_requests(&mut router, millis(0), 2, &mut rng);

    router.finish(millis(1), targets[0].try_id, report_with_answer(1), &mut rng);
    router.finish(
        millis(1),
        targets[0].try_id,
        report_without_answer(TryOutcome::Cancelled),
        &mut rng,
    );

    assert_eq!(router.in_flight(), [(VmId(100), 1)]);
}
