//! Choice of the backend server for a request.

mod fixture;

use std::time::Duration;

use daisy_model::{DcId, Policy, VmId};
use daisy_routing::{Admission, Backend, RejectReason, TryOutcome, share};
use fixture::{
    answer_requests, backend, call, expect_sent, millis, report_with_answer, report_without_answer,
    rng, router, routes, send_requests,
};

fn backend_in_dc(vm: u32, dc: u16) -> Backend {
    Backend { dc: DcId(dc), ..backend(vm) }
}

#[test]
fn the_local_data_centre_is_preferred_and_the_local_region_is_second() {
    let mut rng = rng();
    let mut routes = routes(vec![backend(100), backend_in_dc(200, 1), backend_in_dc(300, 2)]);
    routes.live_entries = vec![(DcId(0), fixture::ME)];
    let mut router = router(&routes);
    let now = millis(1_000);

    let chosen: Vec<u32> =
        send_requests(&mut router, now, 16, &mut rng).iter().map(|t| t.vm.0).collect();

    assert!(chosen[..8].iter().all(|vm| *vm == 100), "chosen backend servers: {chosen:?}");
    // Two slots in another data centre stay free for the entry VMs of that data centre.
    assert!(chosen[8..15].iter().all(|vm| *vm == 200), "chosen backend servers: {chosen:?}");
    assert_eq!(chosen[15], 300);
}

/// Guards against unbounded traffic over the region link, whose cost grows with every morning's
/// peak: all backend servers of a region are busy, and each further request crosses the link
/// although its budget is used up.
#[test]
fn no_request_crosses_the_region_link_beyond_its_budget() {
    let mut rng = rng();
    let mut routes = routes(vec![backend_in_dc(300, 2)]);
    routes.live_entries = vec![(DcId(0), fixture::ME)];
    routes.policy = Policy { region_bytes: 20_000, ..Policy::default() };
    let mut router = router(&routes);

    let sent_count = (0..8)
        .filter(|_| {
            matches!(
                router.admit(millis(1_000), &call(millis(1_000)), &mut rng),
                Admission::Send(_)
            )
        })
        .count();

    // About 4 KiB are reserved for each answer.
    assert_eq!(sent_count, 4);
}

#[test]
fn a_request_whose_deadline_is_too_near_is_not_sent_to_another_region() {
    let mut rng = rng();
    let mut router = router(&routes(vec![backend_in_dc(300, 2)]));
    let now = millis(1_000);
    let mut call = call(now);
    call.deadline = now + Duration::from_millis(30);

    let offer = router.admit(now, &call, &mut rng);

    assert!(
        matches!(offer, Admission::Reject(rejection) if rejection.reason == RejectReason::NoBackend)
    );
}

/// Guards against a caller whose requests fail one after another although nine out of ten servers
/// are healthy: one backend server refuses connections, and because it is always free, it is always
/// chosen.
#[test]
fn a_failing_server_is_quarantined_and_probed() {
    let mut rng = rng();
    let mut router = router(&routes((100..104).map(backend).collect()));
    let mut now = millis(0);
    let mut failed = 0;
    for _ in 0..200 {
        let target = expect_sent(router.admit(now, &call(now), &mut rng));
        now = now + Duration::from_millis(1);
        let bad = target.vm == VmId(100);
        failed += u32::from(bad);
        let report =
            if bad { report_without_answer(TryOutcome::NotSent) } else { report_with_answer(0) };
        router.finish(now, target.try_id, report, &mut rng);
    }
    assert_eq!(failed, 3);

    // After the probe interval it is probed, recovers and gets its part of the requests again.
    now = now + Duration::from_secs(1);
    now = answer_requests(&mut router, now, 400, Duration::from_millis(20), &mut rng);

    let chosen = send_requests(&mut router, now, 8, &mut rng);
    assert!(chosen.iter().any(|target| target.vm == VmId(100)));
}

/// Guards against rejecting every caller although the backend servers recover: a fault of the
/// network makes all of them fail at once, and each is quarantined.
#[test]
fn all_servers_are_never_quarantined_at_once() {
    let mut rng = rng();
    let mut router = router(&routes((100..110).map(backend).collect()));
    let mut now = millis(0);
    for _ in 0..500 {
        let target = expect_sent(router.admit(now, &call(now), &mut rng));
        now = now + Duration::from_micros(100);
        router.finish(now, target.try_id, report_without_answer(TryOutcome::NotSent), &mut rng);
    }

    let chosen = send_requests(&mut router, now, 5, &mut rng);

    assert_eq!(chosen.len(), 5);
}

/// Guards against a short fault that causes rejections for half a minute: while half of all tries
/// fail on every server, each server soon has three consecutive failures, and half of the capacity
/// is quarantined.
#[test]
fn a_fault_of_all_servers_quarantines_at_most_one() {
    let mut rng = rng();
    let mut router = router(&routes((100..110).map(backend).collect()));
    let mut now = millis(0);
    for _ in 0..1_000 {
        let target = expect_sent(router.admit(now, &call(now), &mut rng));
        now = now + Duration::from_millis(1);
        let report = if rng.bool() {
            report_without_answer(TryOutcome::Broken)
        } else {
            report_with_answer(0)
        };
        router.finish(now, target.try_id, report, &mut rng);
    }

    // One server may be quarantined before the failures are recognised as widespread.
    let chosen = send_requests(&mut router, now, 72, &mut rng);

    let reached =
        (100..110).filter(|vm| chosen.iter().any(|target| target.vm == VmId(*vm))).count();
    assert!(reached >= 9, "{reached} of 10 backend servers got requests");
}

/// Guards against one quote in sixty that takes four times as long, and loses the order: a noisy
/// neighbour slows one backend server down, and because it still answers, no try counts as a
/// failure.
#[test]
fn a_slow_server_is_quarantined() {
    let mut rng = rng();
    let mut router = router(&routes((100..108).map(backend).collect()));
    let mut now = millis(0);
    let mut rounds_at_slow = Vec::new();
    for round in 0..1_000 {
        let target = expect_sent(router.admit(now, &call(now), &mut rng));
        let slow = target.vm == VmId(100);
        now = now + Duration::from_millis(if slow { 80 } else { 20 });
        if slow {
            rounds_at_slow.push(round);
        }
        router.finish(now, target.try_id, report_with_answer(0), &mut rng);
        router.tick(now, &mut rng);
    }

    let late = rounds_at_slow.iter().filter(|round| **round >= 500).count();
    assert!(late <= 6, "rounds at the slow server: {rounds_at_slow:?}");
    // Even when all other servers are full, it gets no more than a probe.
    let mut chosen = Vec::new();
    while let Admission::Send(target) = router.admit(now, &call(now), &mut rng) {
        chosen.push(target.vm);
    }
    assert!(
        chosen.iter().filter(|vm| **vm == VmId(100)).count() <= 1,
        "chosen backend servers: {chosen:?}"
    );
}

#[test]
fn the_limit_of_a_new_server_grows_gradually() {
    let mut rng = rng();
    let mut before = routes(vec![backend(100)]);
    before.live_entries = vec![(DcId(0), fixture::ME)];
    let mut router = router(&before);
    let mut after = routes(vec![backend(100), backend(101)]);
    after.live_entries = before.live_entries.clone();
    after.version = 2;
    router.set_routes(millis(0), &after, &mut rng);

    let cold = send_requests(&mut router, millis(10), 9, &mut rng);
    let count = cold.iter().filter(|target| target.vm == VmId(101)).count();

    assert_eq!(count, 1);
    // Five seconds later it gets its full part of the requests.
    assert_eq!(send_requests(&mut router, millis(6_000), 7, &mut rng).len(), 7);
}

/// Guards against lost work at each replacement of a VM although the VM list announced it two
/// seconds earlier: the platform is down, the list is outdated, and only the server's own answers
/// report that it is leaving.
#[test]
fn a_server_that_reports_that_it_is_leaving_gets_no_new_requests() {
    let mut rng = rng();
    let mut router = router(&routes(vec![backend(100), backend(101)]));
    let target = expect_sent(router.admit(millis(0), &call(millis(0)), &mut rng));
    let mut report = report_with_answer(0);
    report.leaving = true;
    router.finish(millis(1), target.try_id, report, &mut rng);

    let chosen = send_requests(&mut router, millis(2), 7, &mut rng);

    assert!(chosen.iter().all(|other| other.vm != target.vm));
}

#[test]
fn requests_in_flight_from_other_entry_vms_occupy_slots() {
    let mut rng = rng();
    let mut router = router(&routes(vec![backend(100), backend(101)]));
    router.peer_in_flight(millis(0), VmId(2), &[(VmId(100), 7)], &mut rng);

    let chosen = send_requests(&mut router, millis(1), 3, &mut rng);

    assert!(
        chosen.iter().all(|target| target.vm == VmId(101)),
        "chosen backend servers: {chosen:?}"
    );
}

#[test]
fn the_slots_reserved_for_entry_vms_add_up_to_all_slots() {
    for count in 1..=48 {
        let entries: Vec<VmId> = (0..count).map(VmId).collect();
        for server in 1_000..1_020 {
            let sum: u32 =
                entries.iter().map(|me| share::slots(8, VmId(server), *me, &entries)).sum();
            assert_eq!(sum, 8, "sum of reserved slots with {count} entry VMs");
        }
    }
}

/// Guards against refused connections while entry VMs are replaced: the old and the new entry VM
/// are both connected, and some VM lists contain only one of them.
#[test]
fn the_connection_limit_holds_while_one_entry_vm_in_eight_is_replaced() {
    for listed in 1..=32_u32 {
        let connected = listed + listed.div_ceil(8);

        let open = connected * share::connections(64, listed);

        assert!(open <= 64, "{listed} listed entry VMs: {open} connections");
    }
}
