//! How jobs and workers are assigned to shards, and which VM claims a shard first.

use std::time::Duration;

use daisy_workflow::{Candidate, JobId, Layout, ShardId, WorkerId};

fn candidate(vm: &str, shard: u16) -> Candidate<'_> {
    Candidate { vm, shard: ShardId(shard), shards: 5, owned: 0, cpu_share: 0.5 }
}

#[test]
fn the_number_of_shards_depends_on_the_number_of_workers() {
    let shards = |workers| Layout::for_workers(workers, 12).shards;

    assert_eq!([0, 1, 66, 100, 101, 490, 790, 11_000].map(shards), [1, 1, 1, 1, 2, 5, 8, 12]);
}

/// A hash that differs between builds would assign a worker to two shards during the rollout of a
/// new build, and the owner of each would fill it.
#[test]
fn all_builds_assign_jobs_and_workers_alike() {
    let layout = Layout { shards: 5 };

    let jobs = [1, 2, 0xdead_beef].map(|id| layout.shard_of_job(JobId(id)).0);
    let workers = ["i-1", "i-2", "w"].map(|id| layout.shard_of_worker(&WorkerId::from(id)).0);

    assert_eq!((jobs, workers), ([3, 4, 0], [1, 4, 0]));
}

#[test]
fn jobs_and_workers_are_spread_evenly_over_shards() {
    let layout = Layout { shards: 5 };
    let mut jobs = [0u32; 5];
    let mut workers = [0u32; 5];

    for at in 0..10_000u64 {
        jobs[usize::from(layout.shard_of_job(JobId(at)).0)] += 1;
        let worker = WorkerId::from(format!("i-{at}").as_str());
        workers[usize::from(layout.shard_of_worker(&worker).0)] += 1;
    }

    assert!(
        jobs.iter().chain(&workers).all(|it| (1_800..2_200).contains(it)),
        "{jobs:?} {workers:?}"
    );
}

/// An entry VM with an eighth of a core owns a shard only if no larger VM does: a burst of starts
/// needs more processor time than it has.
#[test]
fn large_vms_claim_before_small_ones() {
    for shard in 0..5 {
        let slowest_large =
            (0..20).map(|it| candidate(&format!("large-{it}"), shard).claim_delay()).max();
        let small = Candidate { cpu_share: 0.12, ..candidate("small", shard) };

        assert!(small.claim_delay() > slowest_large.unwrap_or_default());
    }
}

#[test]
fn a_vm_that_owns_a_shard_claims_the_next_one_later() {
    let free = candidate("a", 1);
    let owner = Candidate { owned: 1, ..free };

    assert!(owner.claim_delay() >= free.claim_delay() + Duration::from_millis(300));
}
