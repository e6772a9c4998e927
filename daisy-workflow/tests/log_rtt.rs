//! How far a VM is from the log, and what that means for the first election.

use std::time::Duration;

use daisy_model::Instant;
use daisy_workflow::{Election, ElectionDecision, LogRtt};

const FAR_READ: Duration = Duration::from_millis(30);
const NEAR_READ: Duration = Duration::from_millis(5);

fn after_reads(reads: &[Duration]) -> LogRtt {
    let mut rtt = LogRtt::default();
    reads.iter().for_each(|it| rtt.read_took(*it));
    rtt
}

#[test]
fn reads_that_wait_for_a_record_tell_no_distance() {
    let rtt = after_reads(&[Duration::from_secs(1), NEAR_READ, Duration::from_millis(240)]);

    assert_eq!(rtt.estimate(), NEAR_READ);
}

/// Guards against owners in the region without the log, whose every record and whose copy of the
/// list of workers would cross the link between the regions.
#[test]
fn at_the_first_start_a_vm_near_the_log_claims_before_a_far_one() {
    let start = Instant::from_millis(0);
    let later = Instant::from_millis(100);
    let (mut near, mut far) = (Election::new(start, "near", 1), Election::new(start, "far", 2));

    let by_near = near.decision(later, None, after_reads(&[NEAR_READ]).estimate());
    let by_far = far.decision(later, None, after_reads(&[FAR_READ]).estimate());

    assert_eq!(by_near, ElectionDecision::Claim);
    assert!(matches!(by_far, ElectionDecision::Wait(_)), "{by_far:?}");
}

/// Guards against hundreds of VMs that read the whole list of workers over the link between regions
/// at every start: a VM near the log counts twice, 0.6 s apart, before a far one begins.
#[test]
fn vms_near_the_log_choose_the_layout_before_the_others_count() {
    let near = after_reads(&[NEAR_READ]).layout_turn();
    let far = after_reads(&[FAR_READ]).layout_turn();

    assert!(near <= Duration::from_secs(1), "{near:?}");
    assert!(near + Duration::from_millis(1_200) < far, "{near:?}, {far:?}");
}
