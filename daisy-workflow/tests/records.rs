//! The encoding of records: each is decoded as it was encoded, and an error says why a record
//! cannot be decoded.

mod util;

use std::{net::SocketAddr, time::Duration};

use bincode::{Encode, config};
use daisy_admission::{CapacityPlan, CapacityReport, OfferedLoad};
use daisy_model::Resources;
use daisy_workflow::{
    Claim, FREE_BLOCKS, FoldEffect, ImageInterference, IncomingTransfer, InterferenceSums, JobId,
    JobState, Layout, Ledger, Load, OpenStart, OutgoingTransfer, OwnerHeartbeat, Phase, Progress,
    PublishedState, Record, RecordError, Rejection, RerunTasks, ShardId, SpecError, StepSpec,
    TaskCopy, TaskState, Witness, Witnesses, decode, decode_stored, encode, substitute,
};
use util::{best_effort, job, long_running_step, step, step_after, task};

const FREE_BLOCK: Resources = Resources { cpu_milli: 6, memory_mib: 8, accelerators: 1 };

fn progress() -> Progress {
    let mut progress = Progress::new(&job(vec![step(3)]));
    progress.has_started = true;
    let copies =
        vec![TaskCopy { run: 4, worker: "w1".into() }, TaskCopy { run: 5, worker: "w2".into() }];
    progress.occurrences[0][0][1] = TaskState {
        runs: 5,
        failures: 1,
        checkpoint: "c".to_owned(),
        copies,
        ..Default::default()
    };
    progress
}

/// Returns the progress of a gang and of another step, of which tasks have failed.
fn progress_with_failures() -> Progress {
    let gang = StepSpec { gang: true, ..step(3) };
    let mut progress = Progress::new(&job(vec![gang, step(2)]));
    progress.has_started = true;
    let failed = |runs: &[u32]| TaskState {
        runs: 9,
        failures: 2,
        failed_runs: runs.to_vec(),
        ..Default::default()
    };
    progress.occurrences[0][0].fill(failed(&[1, 300]));
    progress.occurrences[0][1][1] = failed(&[7]);
    progress
}

/// Returns the record of a job's progress as builds wrote it that recorded neither what has begun nor
/// the numbers of failed runs.
fn encoded_progress_of_older_builds(id: JobId, mut progress: Progress) -> Vec<u8> {
    /// A tag, whether a task has begun, and no failed runs.
    const EVENTS_LEN: usize = 3;
    progress.occurrences.iter_mut().flatten().flatten().for_each(|it| it.failed_runs.clear());
    let (_, mut value) = encode(&Record::Progress(id, progress));
    value.truncate(value.len() - EVENTS_LEN);
    value
}

fn reruns() -> Vec<RerunTasks> {
    let tasks = |step, first, count, runs| RerunTasks { occurrence: 0, step, first, count, runs };
    vec![tasks(0, 0, 2, 2), tasks(0, 2, 1, 300), tasks(3, 7, 1, 2)]
}

fn claim() -> Claim {
    Claim { vm: "vm".to_owned(), process: 3, epoch: 9, released: true, predecessors_expired: true }
}

fn sample_witnesses() -> Witnesses {
    let address = Some(SocketAddr::from(([10, 2, 64, 24], 8_007)));
    Witnesses {
        accepted_by_epoch: 9,
        workers: vec![
            Witness { worker: "w1".into(), started_at_ms: 1_700_000_000_000, address },
            Witness { worker: "w2".into(), started_at_ms: 7, address: None },
        ],
    }
}

/// Returns the encoding of [`sample_witnesses`] by builds that recorded no addresses.
fn encoded_witnesses_without_addresses() -> Vec<u8> {
    let workers = [("w1", 1_700_000_000_000_u64), ("w2", 7)];
    let mut buf = vec![1];
    buf.extend(
        bincode::encode_to_vec((9_u64, workers.to_vec()), config::standard()).expect("memory"),
    );
    buf
}

fn sample_heartbeat() -> OwnerHeartbeat {
    let load = Load {
        capacity: 9,
        long_running: 5,
        finite: 3,
        best_effort: 7,
        plan: None,
        free_blocks: [FREE_BLOCK; FREE_BLOCKS],
    };
    let pending = vec![("q".to_owned(), 4)];
    let capacity = Vec::new();
    OwnerHeartbeat {
        shard: ShardId(3),
        claim: claim(),
        is_caught_up: true,
        pending,
        load,
        capacity,
    }
}

/// Returns a heartbeat of an owner that reports what its workers can still take.
fn heartbeat_with_capacity() -> OwnerHeartbeat {
    let report = CapacityReport {
        service: "shop".into(),
        offered: OfferedLoad { cpu_milli: 70_000, variance: 400 },
        plan: CapacityPlan { spare_cpu: 1_000_000, short_cpu: 3, finite_cpu: 80_000 },
        freed_cpu_per_s: 12_000,
    };
    let load = Load { plan: Some(report.plan), ..sample_heartbeat().load };
    OwnerHeartbeat { capacity: vec![report], load, ..sample_heartbeat() }
}

/// Encodes pairs of images as older builds did.
fn encoded_named_pairs(pairs: &[(String, String, u32)]) -> Vec<u8> {
    let encoded = bincode::encode_to_vec(pairs.to_vec(), bincode::config::standard());
    [vec![1], encoded.expect("encodable pairs")].concat()
}

/// Encodes a claim as older builds do.
fn encoded_claim_of_older_builds() -> Vec<u8> {
    let Claim { vm, process, epoch, released, predecessors_expired } = claim();
    let form = (vm, process, epoch, released, predecessors_expired);
    let mut buf = vec![1];
    buf.extend(bincode::encode_to_vec(form, config::standard()).expect("memory"));
    buf
}

/// Encodes a heartbeat as a build does whose encoding ends with `free_blocks`.
fn encoded_heartbeat_ending_with(free_blocks: impl Encode) -> Vec<u8> {
    let OwnerHeartbeat { claim, is_caught_up, pending, load, .. } = sample_heartbeat();
    let claim = (claim.vm, claim.process, claim.epoch, claim.released, claim.predecessors_expired);
    let load = [load.capacity, load.long_running, load.finite, load.best_effort];
    let form = (claim, is_caught_up, pending, load, free_blocks);
    let mut buf = vec![1];
    buf.extend(bincode::encode_to_vec(form, config::standard()).expect("memory"));
    buf
}

/// Returns the free blocks of the sample heartbeat as they are encoded.
fn encoded_free_blocks() -> [[u32; 3]; FREE_BLOCKS] {
    [[FREE_BLOCK.cpu_milli, FREE_BLOCK.memory_mib, FREE_BLOCK.accelerators]; FREE_BLOCKS]
}

fn records() -> Vec<Record> {
    vec![
        Record::Submitted(
            JobId(7),
            job(vec![best_effort(2, "a"), step_after(&[0], long_running_step(1))]),
        ),
        Record::Cancelled(JobId(7)),
        Record::Progress(JobId(7), progress()),
        Record::Progress(JobId(7), progress_with_failures()),
        Record::Reruns(JobId(7), reruns()),
        Record::Claim(claim(), None),
        Record::Claim(claim(), Some(70_000)),
        Record::Delegated(JobId(7), ShardId(2)),
        Record::State(JobId(7), PublishedState { state: JobState::Completed, shard: ShardId(2) }),
        Record::OwnerHeartbeat(Box::new(sample_heartbeat())),
        Record::OwnerHeartbeat(Box::new(heartbeat_with_capacity())),
        Record::Rejected(
            JobId(7),
            Rejection {
                service: "shop".into(),
                cpu_milli: 182_000,
                retry_after: Duration::from_secs(3),
            },
        ),
        Record::Layout(Layout { shards: 6 }),
        Record::TaskTransferredOut(task(7, 0, 1), OutgoingTransfer { number: 3, to: ShardId(2) }),
        Record::TaskTransferredIn(
            task(7, 0, 1),
            Box::new(IncomingTransfer {
                number: 3,
                spec: job(vec![long_running_step(2)]),
                runs: 5,
                failures: 1,
                checkpoint: "c".to_owned(),
            }),
        ),
        Record::InterferenceSums(
            ShardId(3),
            vec![InterferenceSums {
                serving: "s".into(),
                loss_sums: vec![("a".into(), 0.25), ("b".into(), -0.5)],
                share_products: vec![
                    ("a".into(), "a".into(), 0.125),
                    ("a".into(), "b".into(), 0.5),
                ],
            }],
        ),
        Record::Witnesses(sample_witnesses()),
        Record::OpenStarts(vec![
            OpenStart { task: task(7, 2, 9), run: 1, resent: false },
            OpenStart { task: task(8, 0, 300), run: 4, resent: true },
        ]),
        Record::LongLeases(vec!["w1".into(), "w2".into()]),
        Record::LearnedInterference(vec![ImageInterference {
            serving: "s".into(),
            best_effort: "b".into(),
            permille: 6_500,
        }]),
    ]
}

#[test]
fn an_encoded_record_is_decoded_unchanged() {
    for record in records() {
        let (key, value) = encode(&record);

        assert_eq!(decode(&key, &value), Ok(record));
    }
}

#[test]
fn truncated_records_are_rejected() {
    for record in records() {
        let (key, value) = encode(&record);
        for len in 0..value.len() {
            let read = decode(&key, &value[..len]);

            // Earlier builds wrote records of these kinds that end earlier.
            let earlier_lengths = match record {
                Record::Progress(id, ref it) => {
                    vec![encoded_progress_of_older_builds(id, it.clone()).len()]
                }
                Record::OwnerHeartbeat(_) => vec![
                    encoded_heartbeat_ending_with(()).len(),
                    encoded_heartbeat_ending_with([0_u8; FREE_BLOCKS]).len(),
                    encoded_heartbeat_ending_with(encoded_free_blocks()).len(),
                ],
                Record::Claim(..) => vec![encoded_claim_of_older_builds().len()],
                Record::Witnesses(_) => vec![encoded_witnesses_without_addresses().len()],
                Record::LearnedInterference(_) => vec![encoded_named_pairs(&[]).len()],
                _ => vec![],
            };
            let is_earlier_form = earlier_lengths.contains(&len);
            assert_eq!(read.is_ok(), is_earlier_form, "{key}, {len} bytes");
        }
    }
}

#[test]
fn heartbeats_are_encoded_as_by_the_previous_build() {
    assert_eq!(
        encode(&Record::OwnerHeartbeat(Box::new(sample_heartbeat()))).1,
        encoded_heartbeat_ending_with(encoded_free_blocks())
    );
}

/// Guards against a store that fills with the rejections of weeks.
#[test]
fn rejections_take_a_bounded_number_of_keys() {
    let rejection = Rejection { service: "s".into(), cpu_milli: 1, retry_after: Duration::ZERO };
    let key = |id: u64| encode(&Record::Rejected(JobId(id), rejection.clone())).0;

    let mut keys: Vec<String> = (0..10_000).map(key).collect();
    keys.sort();
    keys.dedup();

    assert_eq!(keys.len(), 256);
}

/// Guards against builds side by side that treat each other's owners as lost.
#[test]
fn a_build_without_capacity_reports_decodes_what_precedes_them() {
    let value = encode(&Record::OwnerHeartbeat(Box::new(heartbeat_with_capacity()))).1;

    assert!(value.starts_with(&encoded_heartbeat_ending_with(encoded_free_blocks())));
}

/// Guards against builds that cannot decode each other's claims, or take an older one to vouch.
#[test]
fn claims_of_older_builds_are_decoded_and_vouch_for_nothing() {
    let older = encoded_claim_of_older_builds();
    let (key, value) = encode(&Record::Claim(claim(), Some(3)));

    assert_eq!(decode(&key, &older), Ok(Record::Claim(claim(), None)));
    assert!(value.starts_with(&older), "older builds decode the claim and skip what follows");
}

/// Guards against builds that cannot decode each other's learned interference.
#[test]
fn learned_interference_of_older_builds_is_decoded() {
    let pair = ("s".to_owned(), "b".to_owned(), 6_500_u32);
    let expected =
        ImageInterference { serving: "s".into(), best_effort: "b".into(), permille: 6_500 };
    let record = Record::LearnedInterference(vec![expected]);
    let (key, value) = encode(&record);

    assert_eq!(decode(&key, &encoded_named_pairs(&[pair])), Ok(record));
    assert!(
        value.starts_with(&encoded_named_pairs(&[])),
        "older builds read that no pair is known"
    );
}

/// Guards against using witnesses with which an owner up to the newest claim does not comply.
#[test]
fn a_claim_vouches_for_the_witnesses_only_if_all_owners_comply_with_them() {
    let witnesses = |accepted_by_epoch, count: usize| {
        let witness = Witness { worker: "w1".into(), started_at_ms: 1, address: None };
        Record::Witnesses(Witnesses { accepted_by_epoch, workers: vec![witness; count] })
    };
    let newest_claim =
        |epoch, vouched_epoch| Record::Claim(Claim { epoch, ..claim() }, vouched_epoch);
    let cases = [
        (newest_claim(5, None), witnesses(5, 1), Some(5)),
        (newest_claim(5, Some(3)), witnesses(5, 1), Some(5)),
        (newest_claim(9, Some(5)), witnesses(5, 1), Some(5)),
        (newest_claim(9, None), witnesses(5, 1), None),
        (newest_claim(9, Some(3)), witnesses(5, 1), None),
        (newest_claim(9, Some(7)), witnesses(5, 1), None),
        (newest_claim(9, Some(5)), witnesses(5, 0), None),
        (newest_claim(5, None), witnesses(5, 0), None),
        (Record::Claim(Claim::unreadable(8), None), witnesses(5, 1), None),
    ];
    for (newest_claim, witnesses, expected) in cases {
        let mut ledger = Ledger::default();
        ledger.fold(newest_claim.clone());
        ledger.fold(witnesses.clone());

        assert_eq!(ledger.vouched_epoch(), expected, "{newest_claim:?}, {witnesses:?}");
    }
    let mut without_claim = Ledger::default();
    without_claim.fold(witnesses(0, 1));
    assert_eq!(without_claim.vouched_epoch(), None);
}

/// Guards against using witnesses that an owner has replaced by others in a record that cannot be
/// read.
#[test]
fn a_claim_after_an_unreadable_witnesses_record_vouches_for_nothing() {
    let workers = vec![Witness { worker: "w1".into(), started_at_ms: 1, address: None }];
    let witnesses = Record::Witnesses(Witnesses { accepted_by_epoch: 5, workers });
    let (key, value) = encode(&witnesses);
    let error = decode(&key, &value[..value.len() - 1]).expect_err("a record without its end");
    let mut ledger = Ledger::default();
    ledger.fold(witnesses);
    ledger.fold(Record::Claim(Claim { epoch: 9, ..claim() }, Some(5)));
    assert_eq!(ledger.vouched_epoch(), Some(5));

    let substitute = substitute(&key, 9, &error);
    substitute.map(|it| ledger.fold(it));

    assert_eq!(ledger.vouched_epoch(), None);
}

/// Guards against claims that are no longer withheld when only newer builds can read the progress.
#[test]
fn only_records_that_must_not_be_ignored_have_a_substitute() {
    let malformed = RecordError::Malformed("cut off".to_owned());
    let newer = RecordError::Version(200);
    let unreadable_claim = Some(Record::Claim(Claim::unreadable(8), None));

    assert_eq!(substitute("owner", 8, &malformed), unreadable_claim);
    assert_eq!(substitute("owner", 8, &newer), unreadable_claim);
    assert_eq!(substitute("witnesses", 8, &newer), None);
    for record in records() {
        let key = encode(&record).0;
        if !matches!(record, Record::Claim(..) | Record::Witnesses(_)) {
            assert_eq!(substitute(&key, 8, &malformed), None, "{key}");
            assert_eq!(substitute(&key, 8, &newer), None, "{key}");
        }
    }
}

/// Builds that ran side by side treated each other's owners as lost, as neither could decode the
/// other's heartbeats.
#[test]
fn heartbeats_of_older_builds_are_decoded_without_free_blocks() {
    let mut expected = sample_heartbeat();
    expected.load.free_blocks = [Resources::ZERO; FREE_BLOCKS];
    let expected = Record::OwnerHeartbeat(Box::new(expected));

    // Values large enough that they take as many bytes as those of the present encoding.
    for value in [
        encoded_heartbeat_ending_with(()),
        encoded_heartbeat_ending_with([6_u32; FREE_BLOCKS]),
        encoded_heartbeat_ending_with([70_000_u32; FREE_BLOCKS]),
    ] {
        assert_eq!(decode("sign-3", &value), Ok(expected.clone()));
    }
}

#[test]
fn witnesses_of_older_builds_are_decoded_without_addresses() {
    let mut expected = sample_witnesses();
    expected.workers.iter_mut().for_each(|it| it.address = None);

    assert_eq!(
        decode("witnesses", &encoded_witnesses_without_addresses()),
        Ok(Record::Witnesses(expected))
    );
}

/// Guards against progress that an owner of another build cannot read or misreads.
#[test]
fn progress_is_read_by_builds_without_events_and_from_them() {
    let progress = progress_with_failures();
    let (key, value) = encode(&Record::Progress(JobId(7), progress.clone()));
    let older = encoded_progress_of_older_builds(JobId(7), progress);

    let read = decode(&key, &older);

    assert!(value.starts_with(&older));
    let Ok(Record::Progress(_, read)) = read else { panic!("{read:?}") };
    assert!(read.has_started);
    let gang = &read.occurrences[0][0];
    assert!(gang.iter().all(|it| it.failures == 2 && it.failed_runs.is_empty()), "{gang:?}");
}

#[test]
fn bytes_that_a_newer_build_appends_are_ignored() {
    for record in records() {
        let (key, mut value) = encode(&record);
        value.extend([7, 250, 251, 0, 1]);

        assert_eq!(decode(&key, &value), Ok(record));
    }
}

#[test]
fn an_unknown_version_is_reported_with_its_number() {
    for record in records() {
        let (key, mut value) = encode(&record);
        value[0] = 200;

        assert_eq!(decode(&key, &value), Err(RecordError::Version(200)));
    }
}

#[test]
fn a_record_kind_that_must_not_be_ignored_is_a_version_error() {
    assert_eq!(decode("pledge-1", &[200]), Err(RecordError::Version(200)));
    assert!(matches!(decode("pledge-1", &[1]), Err(RecordError::Key(_))));
}

/// Guards against claims that builds without reruns withhold: they skip a record of a kind that they
/// do not know if it has their version.
#[test]
fn builds_without_reruns_skip_them() {
    let (_, value) = encode(&Record::Reruns(JobId(7), reruns()));

    let read = decode("unknown-0000000000000007", &value);

    let Err(e @ RecordError::Key(_)) = read else { panic!("{read:?}") };
    assert_eq!(substitute("unknown-0000000000000007", 8, &e), None);
}

#[test]
fn invalid_keys_are_rejected_as_key_errors() {
    for key in ["", "job", "job-1", "task-0000000000000001", "job-00000000000000FF"] {
        assert!(matches!(decode(key, &[1]), Err(RecordError::Key(_))), "{key:?}");
    }
}

/// The topics are read concurrently, so progress or a cancellation may be read before the
/// submission.
#[test]
fn records_fold_in_any_order() {
    let spec = job(vec![step(3)]);
    let mut ledger = Ledger::default();
    ledger.fold(Record::Cancelled(JobId(1)));
    ledger.fold(Record::Progress(JobId(1), progress()));
    ledger.fold(Record::Progress(JobId(2), progress()));

    let first_fold = ledger.fold(Record::Submitted(JobId(1), spec.clone()));
    let second_fold = ledger.fold(Record::Submitted(JobId(1), spec.clone()));
    ledger.fold(Record::Submitted(JobId(2), spec));

    assert_eq!((first_fold, second_fold), (FoldEffect::Submitted(JobId(1)), FoldEffect::Nothing));
    assert_eq!(ledger.job(JobId(1)).map(|it| it.state()), Some(JobState::Cancelled));
    assert_eq!(ledger.job(JobId(2)).map(|it| it.state()), Some(JobState::Running));
}

#[test]
fn progress_that_does_not_match_the_job_is_ignored() {
    let mut ledger = Ledger::default();
    ledger.fold(Record::Submitted(JobId(1), job(vec![step(2)])));

    let fold = ledger.fold(Record::Progress(JobId(1), progress()));

    assert_eq!(fold, FoldEffect::Nothing);
}

#[test]
fn a_cancellation_after_the_end_does_not_change_the_state() {
    let mut ledger = Ledger::default();
    ledger.fold(Record::Submitted(JobId(1), job(vec![step(2)])));
    let done = Progress { phase: Phase::Completed, has_started: true, occurrences: Vec::new() };
    ledger.fold(Record::Progress(JobId(1), done));
    ledger.fold(Record::Cancelled(JobId(1)));

    assert_eq!(ledger.job(JobId(1)).map(|it| it.state()), Some(JobState::Completed));
}

#[test]
fn jobs_that_cannot_be_run_are_rejected() {
    let cases = [
        (job(vec![]), SpecError::NoSteps),
        (job(vec![step(0)]), SpecError::NoTasks(0)),
        (job(vec![step_after(&[0], step(1))]), SpecError::Dependency(0, 0)),
        (job(vec![step(1), step_after(&[2], step(1))]), SpecError::Dependency(1, 2)),
        (job(vec![step(20_001)]), SpecError::TooManyTasks(20_001)),
    ];
    for (spec, error) in cases {
        assert_eq!(spec.validated(), Err(error));
    }
}

#[test]
fn the_longest_chain_of_steps_determines_the_duration() {
    let spec = job(vec![step(1), step_after(&[0], step(1)), step(1), step_after(&[1, 2], step(1))]);

    assert_eq!(spec.chain_ms(), 3_000);
    assert_eq!(spec.times_to_end_ms(), [3_000, 2_000, 2_000, 1_000]);
}

/// Guards against removals of another record than the one meant, and of records that are never
/// removed.
#[test]
fn removals_are_stored_as_keys_without_values() {
    for record in records() {
        let (key, _) = encode(&record);
        let removal = decode_stored(&key, &[]);

        let Ok(Record::Removed(removed)) = &removal else {
            assert_eq!(removal, Err(RecordError::Key(key)));
            continue;
        };

        assert_eq!(encode(&Record::Removed(*removed)), (key, Vec::new()));
    }
}
