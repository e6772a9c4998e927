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

/// The time that two counts, 0.6 s apart, and the append of the layout take on a busy log.
const CHOICE_TIME: Duration = Duration::from_millis(1_200);

/// Returns the turns of 150 VMs, the earliest first.
fn turns(read: Duration) -> Vec<Duration> {
    let rtt = after_reads(&[read]);
    let mut turns: Vec<_> = (0..150).map(|it| rtt.layout_turn(&format!("front-{it}"))).collect();
    turns.sort();
    turns
}

/// Guards against hundreds of VMs that read the whole list of workers over the link between regions
/// at every start: a VM near the log counts twice, 0.6 s apart, before a far one begins.
#[test]
fn vms_near_the_log_choose_the_layout_before_the_others_count() {
    let near = turns(NEAR_READ);
    let far = turns(FAR_READ);

    assert!(near[0] + CHOICE_TIME < far[0], "{:?}, {:?}", near[0], far[0]);
}

/// Guards against VMs near the log that together read more lists than the log sends in that time,
/// so that none of them has counted twice when the far ones begin.
#[test]
fn vms_near_the_log_read_no_more_lists_at_once_than_it_sends() {
    /// The log sends 80 MB a second to all VMs; the list of 3,000 workers takes 1 MB.
    const LISTS_PER_S: u128 = 80;
    let near = turns(NEAR_READ);

    let counting = near.iter().filter(|it| **it < near[0] + CHOICE_TIME).count();

    let sent = CHOICE_TIME.as_millis() * LISTS_PER_S / 1_000;
    assert!(counting as u128 <= sent, "{counting} of {} VMs, {sent} lists", near.len());
}
