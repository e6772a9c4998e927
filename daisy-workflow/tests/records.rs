//! Records: what is written is read, and what cannot be read says why.

mod util;

use bincode::{Encode, config};
use daisy_model::Resources;
use daisy_workflow::{
    Claim, Copy, Disturbance, Fold, Handover, Hop, JobId, JobState, Layout, Ledger, Load,
    Observations, PIECES, Phase, Progress, Record, RecordError, ShardId, Sign, SpecError,
    TaskState, Told, Witness, Witnesses, decode, encode,
};
use util::{after, best_effort, job, lasting, step, task};

const PIECE: Resources = Resources { cpu_milli: 6, memory_mib: 8, accelerators: 1 };

fn progress() -> Progress {
    let mut progress = Progress::new(&job(vec![step(3)]));
    progress.begun = true;
    let copies = vec![Copy { run: 4, worker: "w1".into() }, Copy { run: 5, worker: "w2".into() }];
    progress.occurrences[0][0][1] = TaskState {
        runs: 5,
        failures: 1,
        checkpoint: "c".to_owned(),
        copies,
        ..Default::default()
    };
    progress
}

fn claim() -> Claim {
    Claim { vm: "vm".to_owned(), process: 3, epoch: 9, released: true, settled: true }
}

fn sign() -> Sign {
    let load = Load { capacity: 9, lasting: 5, once: 3, best_effort: 7, pieces: [PIECE; PIECES] };
    let pending = vec![("q".to_owned(), 4)];
    Sign { shard: ShardId(3), claim: claim(), current: true, pending, load }
}

/// A sign of life as a build writes it whose form ends with `pieces`.
fn sign_with(pieces: impl Encode) -> Vec<u8> {
    let Sign { claim, current, pending, load, .. } = sign();
    let claim = (claim.vm, claim.process, claim.epoch, claim.released, claim.settled);
    let load = [load.capacity, load.lasting, load.once, load.best_effort];
    let form = (claim, current, pending, load, pieces);
    let mut buf = vec![1];
    buf.extend(bincode::encode_to_vec(form, config::standard()).expect("memory"));
    buf
}

fn records() -> Vec<Record> {
    vec![
        Record::Submitted(JobId(7), job(vec![best_effort(2, "a"), after(&[0], lasting(1))])),
        Record::Cancelled(JobId(7)),
        Record::Progress(JobId(7), progress()),
        Record::Claim(claim()),
        Record::Delegated(JobId(7), ShardId(2)),
        Record::State(JobId(7), Told { state: JobState::Completed, shard: ShardId(2) }),
        Record::Sign(Box::new(sign())),
        Record::Layout(Layout { shards: 6 }),
        Record::TaskHandedOn(task(7, 0, 1), Hop { number: 3, to: ShardId(2) }),
        Record::TaskSubmitted(
            task(7, 0, 1),
            Box::new(Handover {
                hop: 3,
                spec: job(vec![lasting(2)]),
                runs: 5,
                failures: 1,
                checkpoint: "c".to_owned(),
            }),
        ),
        Record::Observed(
            ShardId(3),
            vec![Observations {
                serving: "s".into(),
                answers: vec![("a".into(), 0.25), ("b".into(), -0.5)],
                products: vec![("a".into(), "a".into(), 0.125), ("a".into(), "b".into(), 0.5)],
            }],
        ),
        Record::Witnesses(Witnesses {
            accepted_by_epoch: 9,
            workers: vec![Witness { worker: "w1".into(), started_at_ms: 1_700_000_000_000 }],
        }),
        Record::Learnt(vec![Disturbance {
            serving: "s".into(),
            best_effort: "b".into(),
            permille: 6_500,
        }]),
    ]
}

#[test]
fn what_is_written_is_read() {
    for record in records() {
        let (key, value) = encode(&record);

        assert_eq!(decode(&key, &value), Ok(record));
    }
}

#[test]
fn each_prefix_of_a_record_is_refused() {
    for record in records() {
        let (key, value) = encode(&record);
        for len in 0..value.len() {
            let read = decode(&key, &value[..len]);

            // Builds before wrote signs that end earlier.
            let ends = [sign_with(()).len(), sign_with([0_u8; PIECES]).len()];
            let before = matches!(record, Record::Sign(_)) && ends.contains(&len);
            assert_eq!(read.is_ok(), before, "{key}, {len} bytes");
        }
    }
}

#[test]
fn a_sign_of_this_build_is_that_of_the_build_before() {
    let pieces = [[PIECE.cpu_milli, PIECE.memory_mib, PIECE.accelerators]; PIECES];

    assert_eq!(encode(&Record::Sign(Box::new(sign()))).1, sign_with(pieces));
}

/// Builds side by side each took the other's owners for dead, as neither read the other's signs of life.
#[test]
fn signs_of_older_builds_are_read_without_pieces() {
    let mut wanted = sign();
    wanted.load.pieces = [Resources::ZERO; PIECES];
    let wanted = Record::Sign(Box::new(wanted));

    // Large enough that the numbers take as many bytes as those of today's form.
    for value in [sign_with(()), sign_with([6_u32; PIECES]), sign_with([70_000_u32; PIECES])] {
        assert_eq!(decode("sign-3", &value), Ok(wanted.clone()));
    }
}

#[test]
fn what_a_newer_build_adds_is_passed_over() {
    for record in records() {
        let (key, mut value) = encode(&record);
        value.extend([7, 250, 251, 0, 1]);

        assert_eq!(decode(&key, &value), Ok(record));
    }
}

#[test]
fn a_record_of_a_newer_build_is_named() {
    for record in records() {
        let (key, mut value) = encode(&record);
        value[0] = 200;

        assert_eq!(decode(&key, &value), Err(RecordError::Version(200)));
    }
}

#[test]
fn a_kind_of_record_that_must_not_be_passed_over_is_told_from_others() {
    assert_eq!(decode("pledge-1", &[200]), Err(RecordError::Version(200)));
    assert!(matches!(decode("pledge-1", &[1]), Err(RecordError::Key(_))));
}

#[test]
fn foreign_keys_are_named() {
    for key in ["", "job", "job-1", "task-0000000000000001", "job-00000000000000FF"] {
        assert!(matches!(decode(key, &[1]), Err(RecordError::Key(_))), "{key:?}");
    }
}

/// The topics are read one beside the other, so progress or a cancellation may come first.
#[test]
fn records_fold_in_any_order() {
    let spec = job(vec![step(3)]);
    let mut ledger = Ledger::default();
    ledger.fold(Record::Cancelled(JobId(1)));
    ledger.fold(Record::Progress(JobId(1), progress()));
    ledger.fold(Record::Progress(JobId(2), progress()));

    let first = ledger.fold(Record::Submitted(JobId(1), spec.clone()));
    let again = ledger.fold(Record::Submitted(JobId(1), spec.clone()));
    ledger.fold(Record::Submitted(JobId(2), spec));

    assert_eq!((first, again), (Fold::Submitted(JobId(1)), Fold::Nothing));
    assert_eq!(ledger.job(JobId(1)).map(|it| it.state()), Some(JobState::Cancelled));
    assert_eq!(ledger.job(JobId(2)).map(|it| it.state()), Some(JobState::Running));
}

#[test]
fn progress_of_another_shape_is_passed_over() {
    let mut ledger = Ledger::default();
    ledger.fold(Record::Submitted(JobId(1), job(vec![step(2)])));

    let fold = ledger.fold(Record::Progress(JobId(1), progress()));

    assert_eq!(fold, Fold::Nothing);
}

#[test]
fn an_end_outlasts_a_late_cancellation() {
    let mut ledger = Ledger::default();
    ledger.fold(Record::Submitted(JobId(1), job(vec![step(2)])));
    let done = Progress { phase: Phase::Completed, begun: true, occurrences: Vec::new() };
    ledger.fold(Record::Progress(JobId(1), done));
    ledger.fold(Record::Cancelled(JobId(1)));

    assert_eq!(ledger.job(JobId(1)).map(|it| it.state()), Some(JobState::Completed));
}

#[test]
fn jobs_that_cannot_be_run_are_refused() {
    let cases = [
        (job(vec![]), SpecError::NoSteps),
        (job(vec![step(0)]), SpecError::NoTasks(0)),
        (job(vec![after(&[0], step(1))]), SpecError::Dependency(0, 0)),
        (job(vec![step(1), after(&[2], step(1))]), SpecError::Dependency(1, 2)),
        (job(vec![step(20_001)]), SpecError::TooManyTasks(20_001)),
    ];
    for (spec, error) in cases {
        assert_eq!(spec.checked(), Err(error));
    }
}

#[test]
fn the_longest_chain_counts() {
    let spec = job(vec![step(1), after(&[0], step(1)), step(1), after(&[1, 2], step(1))]);

    assert_eq!(spec.chain_ms(), 3_000);
    assert_eq!(spec.tails_ms(), [3_000, 2_000, 2_000, 1_000]);
}
