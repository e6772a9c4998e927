//! Whether a long-running job is accepted, and in which order rejected callers return.

use std::{sync::Arc, time::Duration};

use daisy_admission::{
    Admission, CapacityPlan, Decision, FleetCapacity, OfferedLoad, Request, Verdict,
};
use daisy_model::Instant;

const NOW: Instant = Instant(5_000_000);

fn service() -> Arc<str> {
    "s".into()
}

fn request(id: u64, cores: u64, service: &Arc<str>) -> Request<'_, u64> {
    Request { id, service, cpu_milli: cores * 1_000 }
}

/// Returns a fleet on which finite work uses ten cores.
fn fleet(spare_cores: u64, short_cores: u64) -> FleetCapacity {
    FleetCapacity {
        offered: OfferedLoad { cpu_milli: 10_000, variance: 9 },
        plan: CapacityPlan {
            spare_cpu: spare_cores * 1_000,
            short_cpu: short_cores * 1_000,
            finite_cpu: 10_000,
        },
        freed_cpu_per_s: 20_000,
        age: Duration::from_millis(400),
    }
}

fn decide(admission: &mut Admission<u64>, id: u64, cores: u64, fleet: FleetCapacity) -> Decision {
    admission.decide(NOW, request(id, cores, &service()), Some(fleet))
}

/// Rejects a job as the VM does that another VM tells of it.
fn reject(admission: &mut Admission<u64>, id: u64, cores: u64) {
    let retry_after = Duration::from_secs(3);
    admission.returning.rejected(NOW, id, &service(), cores * 1_000, retry_after);
}

fn is_rejected(decision: Decision) -> bool {
    matches!(decision.verdict, Verdict::Reject(_))
}

#[test]
fn a_job_that_leaves_what_finite_work_needs_is_accepted() {
    let decision = decide(&mut Admission::default(), 1, 100, fleet(100, 0));

    assert_eq!(decision.verdict, Verdict::Accept);
}

#[test]
fn a_job_that_does_not_is_told_to_return_when_enough_has_become_free() {
    let decision = decide(&mut Admission::default(), 1, 100, fleet(20, 0));

    assert_eq!(decision.verdict, Verdict::Reject(Duration::from_secs(4)));
}

#[test]
fn callers_return_within_a_range_whatever_becomes_free() {
    let mut admission = Admission::default();
    let nothing_freed = FleetCapacity { freed_cpu_per_s: 0, ..fleet(0, 0) };

    let soon = decide(&mut admission, 1, 1, fleet(0, 0));
    let late = decide(&mut admission, 1, 100, nothing_freed);

    assert_eq!(soon.verdict, Verdict::Reject(Duration::from_secs(2)));
    assert_eq!(late.verdict, Verdict::Reject(Duration::from_secs(6)));
}

#[test]
fn nothing_is_kept_free_without_finite_work() {
    let idle = FleetCapacity { offered: OfferedLoad::default(), ..fleet(0, 0) };

    assert_eq!(decide(&mut Admission::default(), 1, 100, idle).verdict, Verdict::Accept);
}

#[test]
fn what_finite_work_lacks_goes_before_new_long_running_jobs() {
    assert!(is_rejected(decide(&mut Admission::default(), 1, 10, fleet(20, 15))));
}

/// Guards against rejections by figures from before a change of a shard's owner.
#[test]
fn old_or_missing_reports_reject_nobody() {
    let mut admission = Admission::default();
    let old = FleetCapacity { age: Duration::from_millis(1_600), ..fleet(0, 50) };

    let by_old = decide(&mut admission, 1, 100, old);
    let by_none = admission.decide(NOW, request(1, 100, &service()), None);

    assert_eq!(by_old.verdict, Verdict::AcceptUnknown);
    assert_eq!(by_none.verdict, Verdict::AcceptUnknown);
}

/// Guards against accepting a burst by a report from before it.
#[test]
fn a_job_that_was_just_accepted_counts_until_reports_include_it() {
    let mut admission = Admission::default();
    admission.accepted(NOW, request(1, 80, &service()));

    let at_once = decide(&mut admission, 2, 80, fleet(100, 0));
    let later = NOW + Duration::from_secs(1);
    let reported = admission.decide(later, request(2, 80, &service()), Some(fleet(100, 0)));

    assert!(is_rejected(at_once));
    assert_eq!(reported.verdict, Verdict::Accept);
}

#[test]
fn callers_return_in_the_order_in_which_they_came() {
    let mut admission = Admission::default();
    reject(&mut admission, 1, 60);
    reject(&mut admission, 2, 60);

    let new = decide(&mut admission, 3, 20, fleet(100, 0));
    let second = decide(&mut admission, 2, 60, fleet(100, 0));
    let first = decide(&mut admission, 1, 60, fleet(100, 0));

    assert!(is_rejected(new));
    assert!(is_rejected(second));
    assert_eq!(first.verdict, Verdict::Accept);
}

#[test]
fn a_caller_that_is_rejected_again_keeps_its_place() {
    let mut admission = Admission::default();
    reject(&mut admission, 1, 60);
    reject(&mut admission, 2, 60);
    reject(&mut admission, 1, 60);

    assert_eq!(decide(&mut admission, 1, 60, fleet(60, 0)).ahead_cpu, 0);
}

/// Guards against capacity that is kept for callers who never return.
#[test]
fn the_place_of_a_caller_that_does_not_return_expires() {
    let mut admission = Admission::default();
    reject(&mut admission, 1, 60);

    let later = NOW + Duration::from_millis(5_100);
    let decision = admission.decide(later, request(2, 60, &service()), Some(fleet(60, 0)));

    assert_eq!(decision.verdict, Verdict::Accept);
}

/// Guards against capacity that is kept twice: for a caller, and for its job that another VM stored.
#[test]
fn a_caller_whose_job_was_accepted_has_no_place_any_more() {
    let mut admission = Admission::default();
    reject(&mut admission, 1, 60);

    admission.returning.accepted(1);

    assert_eq!(decide(&mut admission, 2, 60, fleet(60, 0)).verdict, Verdict::Accept);
}

/// A VM that remembers no more callers treats the others as new, and forgets none that has a place.
#[test]
fn a_full_list_of_callers_keeps_the_earlier_ones() {
    let mut admission = Admission::default();
    for id in 0..300 {
        reject(&mut admission, id, 1);
    }

    assert_eq!(admission.returning.len(NOW), 256);
    assert_eq!(decide(&mut admission, 0, 1, fleet(1, 0)).verdict, Verdict::Accept);
    assert_eq!(decide(&mut admission, 299, 1, fleet(400, 0)).ahead_cpu, 256_000);
}

/// A VM that started between a rejection and the return does not know the caller's place; it
/// decides as for a new caller.
#[test]
fn a_new_vm_decides_without_places() {
    let decision = decide(&mut Admission::default(), 1, 60, fleet(60, 0));

    assert_eq!(decision.verdict, Verdict::Accept);
}
