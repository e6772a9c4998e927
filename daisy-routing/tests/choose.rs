//! Which backend server a request goes to.

mod fixture;

use std::time::Duration;

use daisy_model::{DcId, Policy, VmId};
use daisy_routing::{Admission, Backend, RejectReason, TryOutcome, share};
use fixture::{answered, backend, call, ended, fill, millis, rng, router, routes, sent, warm};

fn elsewhere(vm: u32, dc: u16) -> Backend {
    Backend { dc: DcId(dc), ..backend(vm) }
}

#[test]
fn the_own_data_centre_goes_first_and_the_own_region_next() {
    let mut rng = rng();
    let mut routes = routes(vec![backend(100), elsewhere(200, 1), elsewhere(300, 2)]);
    routes.entries = vec![(DcId(0), fixture::ME)];
    let mut router = router(&routes);
    let now = millis(1_000);

    let at: Vec<u32> = fill(&mut router, now, 16, &mut rng).iter().map(|t| t.vm.0).collect();

    assert!(at[..8].iter().all(|vm| *vm == 100), "{at:?}");
    // Two slots elsewhere stay free for the entry VMs of that data centre.
    assert!(at[8..15].iter().all(|vm| *vm == 200), "{at:?}");
    assert_eq!(at[15], 300);
}

/// The bill for the region link grows with every morning's rush.
/// All backend servers of a region are busy, and each further request crosses the link, whose
/// budget is long spent.
#[test]
fn no_request_crosses_the_region_link_beyond_its_budget() {
    let mut rng = rng();
    let mut routes = routes(vec![elsewhere(300, 2)]);
    routes.entries = vec![(DcId(0), fixture::ME)];
    routes.policy = Policy { region_bytes: 20_000, ..Policy::default() };
    let mut router = router(&routes);

    let sent = (0..8)
        .filter(|_| {
            matches!(
                router.offer(millis(1_000), &call(millis(1_000)), &mut rng),
                Admission::Send(_)
            )
        })
        .count();

    // About 4 KiB are set aside for each answer.
    assert_eq!(sent, 4);
}

#[test]
fn a_deadline_too_near_for_the_other_region_stays_here() {
    let mut rng = rng();
    let mut router = router(&routes(vec![elsewhere(300, 2)]));
    let now = millis(1_000);
    let mut call = call(now);
    call.deadline = now + Duration::from_millis(30);

    let offer = router.offer(now, &call, &mut rng);

    assert!(
        matches!(offer, Admission::Reject(rejection) if rejection.reason == RejectReason::NoBackend)
    );
}

/// A decorator's orders fail one after another although nine of ten servers are well.
/// One backend server refuses connections, and as it is always free it is always chosen.
#[test]
fn a_failing_server_is_put_aside_and_probed() {
    let mut rng = rng();
    let mut router = router(&routes((100..104).map(backend).collect()));
    let mut now = millis(0);
    let mut failed = 0;
    for _ in 0..200 {
        let target = sent(router.offer(now, &call(now), &mut rng));
        now = now + Duration::from_millis(1);
        let bad = target.vm == VmId(100);
        failed += u32::from(bad);
        let report = if bad { ended(TryOutcome::NotSent) } else { answered(0) };
        router.finish(now, target.try_id, report, &mut rng);
    }
    assert_eq!(failed, 3);

    // After its pause it is probed, recovers and takes its part again.
    now = now + Duration::from_secs(1);
    now = warm(&mut router, now, 400, Duration::from_millis(20), &mut rng);

    let at = fill(&mut router, now, 8, &mut rng);
    assert!(at.iter().any(|target| target.vm == VmId(100)));
}

/// Every caller is refused although the backend servers recover.
/// A fault of the network makes all of them fail at once, and each is put aside.
#[test]
fn never_are_all_servers_put_aside() {
    let mut rng = rng();
    let mut router = router(&routes((100..110).map(backend).collect()));
    let mut now = millis(0);
    for _ in 0..500 {
        let target = sent(router.offer(now, &call(now), &mut rng));
        now = now + Duration::from_micros(100);
        router.finish(now, target.try_id, ended(TryOutcome::NotSent), &mut rng);
    }

    let at = fill(&mut router, now, 5, &mut rng);

    assert_eq!(at.len(), 5);
}

/// A short fault refuses callers for half a minute: while half of all tries fail everywhere, each
/// server has three failures in a row soon, and half of the capacity is put aside.
#[test]
fn a_fault_that_all_share_puts_nobody_aside() {
    let mut rng = rng();
    let mut router = router(&routes((100..110).map(backend).collect()));
    let mut now = millis(0);
    for _ in 0..1_000 {
        let target = sent(router.offer(now, &call(now), &mut rng));
        now = now + Duration::from_millis(1);
        let report = if rng.bool() { ended(TryOutcome::Broken) } else { answered(0) };
        router.finish(now, target.try_id, report, &mut rng);
    }

    // One may be put aside before the storm is known as such.
    let at = fill(&mut router, now, 72, &mut rng);

    let reached = (100..110).filter(|vm| at.iter().any(|target| target.vm == VmId(*vm))).count();
    assert!(reached >= 9, "{reached}");
}

/// One costing in sixty takes four times as long, and that one loses the order.
/// A noisy neighbour slows one backend server down; it answers, so nothing counts as a failure.
#[test]
fn a_slow_server_is_put_aside() {
    let mut rng = rng();
    let mut router = router(&routes((100..108).map(backend).collect()));
    let mut now = millis(0);
    let mut at_slow = Vec::new();
    for round in 0..1_000 {
        let target = sent(router.offer(now, &call(now), &mut rng));
        let slow = target.vm == VmId(100);
        now = now + Duration::from_millis(if slow { 80 } else { 20 });
        if slow {
            at_slow.push(round);
        }
        router.finish(now, target.try_id, answered(0), &mut rng);
        router.tick(now, &mut rng);
    }

    let late = at_slow.iter().filter(|round| **round >= 500).count();
    assert!(late <= 6, "{at_slow:?}");
    // Also when all others are full it gets no more than a probe.
    let mut at = Vec::new();
    while let Admission::Send(target) = router.offer(now, &call(now), &mut rng) {
        at.push(target.vm);
    }
    assert!(at.iter().filter(|vm| **vm == VmId(100)).count() <= 1, "{at:?}");
}

#[test]
fn a_new_server_starts_slowly() {
    let mut rng = rng();
    let mut before = routes(vec![backend(100)]);
    before.entries = vec![(DcId(0), fixture::ME)];
    let mut router = router(&before);
    let mut after = routes(vec![backend(100), backend(101)]);
    after.entries = before.entries.clone();
    after.version = 2;
    router.set_routes(millis(0), &after, &mut rng);

    let cold = fill(&mut router, millis(10), 9, &mut rng);
    let count = cold.iter().filter(|target| target.vm == VmId(101)).count();

    assert_eq!(count, 1);
    // Five seconds later it takes its full part.
    assert_eq!(fill(&mut router, millis(6_000), 7, &mut rng).len(), 7);
}

/// Work is lost at each replacement of a VM although its list said so two seconds before.
/// The platform is down and the list is old; only the server's own answers say that it leaves.
#[test]
fn a_server_that_says_it_is_leaving_gets_nothing_new() {
    let mut rng = rng();
    let mut router = router(&routes(vec![backend(100), backend(101)]));
    let target = sent(router.offer(millis(0), &call(millis(0)), &mut rng));
    let mut report = answered(0);
    report.leaving = true;
    router.finish(millis(1), target.try_id, report, &mut rng);

    let at = fill(&mut router, millis(2), 7, &mut rng);

    assert!(at.iter().all(|other| other.vm != target.vm));
}

#[test]
fn requests_of_other_entry_vms_count() {
    let mut rng = rng();
    let mut router = router(&routes(vec![backend(100), backend(101)]));
    router.peer_in_flight(millis(0), VmId(2), &[(VmId(100), 7)], &mut rng);

    let at = fill(&mut router, millis(1), 3, &mut rng);

    assert!(at.iter().all(|target| target.vm == VmId(101)), "{at:?}");
}

#[test]
fn shares_of_slots_add_up_to_the_slots() {
    for count in 1..=48 {
        let entries: Vec<VmId> = (0..count).map(VmId).collect();
        for server in 1_000..1_020 {
            let sum: u32 =
                entries.iter().map(|me| share::slots(8, VmId(server), *me, &entries)).sum();
            assert_eq!(sum, 8, "{count} entry VMs");
        }
    }
}

/// A backend server refuses connections while entry VMs are replaced.
/// The old and the new entry VM are both connected, and some lists show only one of them.
#[test]
fn connections_hold_while_one_entry_vm_in_eight_is_replaced() {
    for listed in 1..=32_u32 {
        let connected = listed + listed.div_ceil(8);

        let open = connected * share::connections(64, listed);

        assert!(open <= 64, "{listed} listed: {open}");
    }
}
