//! Admission: who waits, who goes first, who is refused and when to come again.

mod fixture;

use std::time::Duration;

use daisy_model::{Instant, Priority, SortedMap};
use daisy_routing::{
    Admission, Call, CallerId, QueueDecision, RejectReason, Router, Ticket, Urgency,
};
use fixture::{answered, backend, call, fill, millis, name, rng, router, routes, service, warm};

/// A router whose two backend servers are busy with what it sent there at the returned time.
fn busy(rng: &mut fastrand::Rng) -> (Router, Instant, Vec<daisy_routing::Target>) {
    let mut router = router(&routes(vec![backend(100), backend(101)]));
    let now = warm(&mut router, millis(0), 100, Duration::from_millis(100), rng);
    let targets = fill(&mut router, now, 16, rng);
    (router, now, targets)
}

fn waiting(offer: Admission) -> Ticket {
    match offer {
        Admission::Wait(ticket) => ticket,
        other => panic!("does not wait: {other:?}"),
    }
}

fn from(caller: u64, now: Instant) -> Call {
    Call { caller: CallerId(caller), ..call(now) }
}

fn sent_tickets(grants: &[QueueDecision]) -> Vec<Ticket> {
    grants
        .iter()
        .filter_map(|grant| match grant {
            QueueDecision::Send(target) => Some(target.ticket),
            QueueDecision::Reject(..) => None,
        })
        .collect()
}

#[test]
fn a_request_waits_for_a_slot_and_gets_it() {
    let mut rng = rng();
    let (mut router, now, targets) = busy(&mut rng);
    let ticket = waiting(router.offer(now, &call(now), &mut rng));

    let grants = router.finish(now, targets[0].try_id, answered(7), &mut rng);

    assert_eq!(sent_tickets(&grants), [ticket]);
}

/// A costing is refused after its caller has waited in vain, and the caller has no time left to
/// ask elsewhere. The queue took it although its turn could not come in time.
#[test]
fn what_cannot_finish_in_time_is_refused_at_once() {
    let mut rng = rng();
    let (mut router, now, _) = busy(&mut rng);
    let mut call = call(now);
    call.deadline = now + Duration::from_millis(60);

    let offer = router.offer(now, &call, &mut rng);

    let Admission::Reject(rejection) = offer else { panic!("{offer:?}") };
    assert_eq!(rejection.reason, RejectReason::Deadline);
    assert!(rejection.retry_after >= Duration::from_millis(50));
}

#[test]
fn the_queue_holds_about_one_answers_worth_and_refuses_the_rest() {
    let mut rng = rng();
    let (mut router, now, _) = busy(&mut rng);

    let waits = (0..200)
        .filter(|caller| {
            matches!(router.offer(now, &from(*caller, now), &mut rng), Admission::Wait(_))
        })
        .count();

    assert!((4..=32).contains(&waits), "{waits}");
}

#[test]
fn callers_are_told_to_come_later_the_more_is_offered() {
    let mut rng = rng();
    let (mut router, now, _) = busy(&mut rng);
    let mut last = |count: u32| {
        let mut told = Duration::ZERO;
        for _ in 0..count {
            if let Admission::Reject(rejection) = router.offer(now, &call(now), &mut rng) {
                told = rejection.retry_after;
            }
        }
        told
    };

    let (little, much) = (last(40), last(400));

    assert!(much > little * 2, "{little:?} {much:?}");
}

/// Checkout waits while catalogue renders are served.
/// Renders came first and fill the queue; the buyer's request stands behind them.
#[test]
fn a_critical_request_goes_before_all_that_may_wait() {
    let mut rng = rng();
    let mut routes = routes(vec![backend(100), backend(101)]);
    let low = service(Priority::Low, vec![backend(100), backend(101)]);
    let services: SortedMap<_, _> = [
        (name("quote"), routes.services.get(&name("quote")).unwrap().clone()),
        (name("render"), low),
    ]
    .into_iter()
    .collect();
    routes.services = services;
    let mut router = router(&routes);
    let now = warm(&mut router, millis(0), 100, Duration::from_millis(100), &mut rng);
    let render = Call { service: name("render"), ..call(now) };
    let mut in_flight = Vec::new();
    while let Admission::Send(target) = router.offer(now, &render, &mut rng) {
        in_flight.push(target);
    }

    // Renders leave a slot free on each server, so the first critical requests do not wait.
    let critical = fill(&mut router, now, 2, &mut rng);
    let ticket = waiting(router.offer(now, &call(now), &mut rng));
    let grants = router.finish(now, in_flight[0].try_id, answered(7), &mut rng);

    assert_eq!(critical.len(), 2);
    assert_eq!(sent_tickets(&grants), [ticket]);
}

/// One buyer's script sends a thousand requests, and every other buyer is refused.
/// The queue is full of the script's requests when the others arrive.
#[test]
fn a_caller_that_floods_does_not_shut_others_out() {
    let mut rng = rng();
    let (mut router, now, targets) = busy(&mut rng);
    for _ in 0..1_000 {
        router.offer(now, &from(1, now), &mut rng);
    }

    let quiet = waiting(router.offer(now, &from(2, now), &mut rng));
    let first = router.finish(now, targets[0].try_id, answered(7), &mut rng);
    let second = router.finish(now, targets[1].try_id, answered(7), &mut rng);

    let served = [sent_tickets(&first), sent_tickets(&second)].concat();
    assert!(served.contains(&quiet));
}

/// A caller's word cannot make a delayable request go before a critical service's.
#[test]
fn urgency_ranks_within_a_priority_only() {
    let mut rng = rng();
    let (mut router, now, targets) = busy(&mut rng);
    let low = Call { urgency: Urgency::Low, ..from(1, now) };
    let urgent = Call { urgency: Urgency::Critical, ..from(2, now) };
    waiting(router.offer(now, &low, &mut rng));
    let second = waiting(router.offer(now, &urgent, &mut rng));

    let grants = router.finish(now, targets[0].try_id, answered(7), &mut rng);

    assert_eq!(sent_tickets(&grants), [second]);
}

#[test]
fn a_request_whose_turn_cannot_come_is_given_up_before_its_deadline() {
    let mut rng = rng();
    let (mut router, now, _) = busy(&mut rng);
    let ticket = waiting(router.offer(now, &call(now), &mut rng));

    let grants = router.tick(now + Duration::from_millis(1_000), &mut rng);

    assert!(matches!(grants[..], [QueueDecision::Reject(given_up, _)] if given_up == ticket));
}

#[test]
fn a_caller_that_leaves_gives_its_place_up() {
    let mut rng = rng();
    let (mut router, now, targets) = busy(&mut rng);
    let ticket = waiting(router.offer(now, &call(now), &mut rng));

    router.cancel_waiting(ticket);
    let grants = router.finish(now, targets[0].try_id, answered(7), &mut rng);

    assert!(grants.is_empty());
}
