//! Records that are longer than the log stores in one piece.

mod util;

use daisy_workflow::{
    InterferenceSums, JobId, PartCounts, PartJoiner, Progress, Record, RecordLimits, RecordWriter,
    ShardId, TaskCopy, WrittenRecord, decode, encode,
};
use util::{job, step};

/// The limits of the users' platform.
const LIMITS: RecordLimits = RecordLimits { record_bytes: 262_144, call_bytes: 2_097_152 };
/// The most tasks that a job may have.
const TASKS_MAX: u32 = 20_000;

fn writer() -> RecordWriter {
    RecordWriter::new(LIMITS, PartCounts::default())
}

/// Returns the progress of a job of `tasks` tasks, each of which has begun and has a checkpoint of
/// `checkpoint_bytes`.
fn progress(tasks: u32, checkpoint_bytes: usize) -> Record {
    let mut progress = Progress::new(&job(vec![step(tasks)]));
    for (at, it) in progress.occurrences[0][0].iter_mut().enumerate() {
        it.runs = 1;
        it.checkpoint = "c".repeat(checkpoint_bytes);
        it.copies.push(TaskCopy { run: 1, worker: format!("w{}", at % 300).as_str().into() });
    }
    Record::Progress(JobId(1), progress)
}

/// Passes what was written to a reader and returns the records that it gets.
fn read(calls: &[Vec<WrittenRecord>], joiner: &mut PartJoiner) -> Vec<Record> {
    let stored = calls.iter().flatten().flat_map(|it| &it.stored);
    let mut records = Vec::new();
    for (key, value) in stored {
        let joined = joiner.add(key, value).expect("a readable record");
        if let Some(it) = joined.filter(|it| !it.value.is_empty()) {
            records.push(decode(it.key, &it.value).expect("a record of this build"));
        }
    }
    records
}

/// Guards against an append that the log rejects for its length.
#[test]
fn the_largest_job_is_stored_in_parts_and_read_again() {
    let records = [progress(TASKS_MAX, 16), Record::Cancelled(JobId(2))];

    let (calls, refused) = writer().write(&records);

    let stored = calls.iter().flatten().flat_map(|it| &it.stored);
    assert!(stored.clone().count() > 2, "the progress is stored in parts");
    assert!(stored.clone().all(|(key, value)| LIMITS.fits(key, value)));
    assert_eq!(read(&calls, &mut PartJoiner::default()), records);
    assert_eq!(refused, []);
}

/// Guards against calls that are longer than the log accepts, and against parts of one record that
/// are stored without the others.
#[test]
fn records_are_divided_into_calls_that_the_log_accepts() {
    let records: Vec<Record> = (0..10).map(|_| progress(TASKS_MAX, 16)).collect();

    let (calls, _) = writer().write(&records);

    let call_bytes = |call: &Vec<WrittenRecord>| call.iter().map(WrittenRecord::bytes).sum();
    assert!(calls.len() > 1);
    assert!(calls.iter().map(call_bytes).all(|it: usize| it <= LIMITS.call_bytes));
    assert_eq!(calls.iter().flatten().count(), 10);
}

/// Guards against a record that mixes two values: the newest records of each key are read page by
/// page, while a new value is appended.
#[test]
fn parts_of_different_values_are_not_joined() {
    let (old, new) = (progress(TASKS_MAX, 16), progress(TASKS_MAX - 1, 16));
    let mut writer = writer();
    let (old_calls, _) = writer.write(std::slice::from_ref(&old));
    let (new_calls, _) = writer.write(std::slice::from_ref(&new));
    let mut mixed = old_calls.clone();
    let last = new_calls[0][0].stored.last().cloned().expect("several parts");
    *mixed[0][0].stored.last_mut().expect("several parts") = last;
    let mut joiner = PartJoiner::default();

    let read_mixed = read(&mixed, &mut joiner);
    let is_incomplete = joiner.is_incomplete();
    let read_new = read(&new_calls, &mut joiner);

    assert_eq!(read_mixed, []);
    assert!(is_incomplete);
    assert!(!joiner.is_incomplete());
    assert_eq!(read_new.last(), Some(&new));
}

/// Guards against parts that stay in the log for good after their job has ended.
#[test]
fn parts_are_removed_once_the_record_fits() {
    let long = progress(TASKS_MAX, 16);
    let short = progress(1, 0);
    let (calls, _) = writer().write(std::slice::from_ref(&long));
    let mut joiner = PartJoiner::default();
    read(&calls, &mut joiner);
    let parts = calls[0][0].stored.len();
    let mut next_owner = RecordWriter::new(LIMITS, joiner.part_counts());

    let (calls, _) = next_owner.write(std::slice::from_ref(&short));

    let removed = calls[0][0].stored.iter().filter(|(_, value)| value.is_empty()).count();
    assert_eq!(removed, parts - 1);
    assert_eq!(read(&calls, &mut joiner), [short]);
    assert_eq!(joiner.part_counts(), PartCounts::default());
}

/// Guards against a build that cannot join parts and would begin the job anew.
#[test]
fn a_part_is_of_a_newer_version_to_builds_that_cannot_join_it() {
    let (calls, _) = writer().write(&[progress(TASKS_MAX, 16)]);

    let (key, value) = &calls[0][0].stored[0];

    assert_eq!(key, &encode(&progress(1, 0)).0);
    assert!(matches!(decode(key, value), Err(daisy_workflow::RecordError::Version(_))));
}

/// Guards against checkpoints so long that no call can append the progress of a job.
#[test]
fn progress_that_no_call_can_append_is_stored_without_checkpoints() {
    let records = [progress(TASKS_MAX, 400), Record::Cancelled(JobId(2))];

    let (calls, refused) = writer().write(&records);

    let read = read(&calls, &mut PartJoiner::default());
    assert_eq!(read, [progress(TASKS_MAX, 0), Record::Cancelled(JobId(2))]);
    assert_eq!(refused, []);
}

/// Guards against a record that keeps back the others of its batch.
#[test]
fn a_record_that_no_call_can_append_is_left_out() {
    let limits = RecordLimits { record_bytes: 1_024, call_bytes: 2_048 };
    let records = [progress(TASKS_MAX, 0), Record::Cancelled(JobId(2))];

    let (calls, refused) = RecordWriter::new(limits, PartCounts::default()).write(&records);

    assert_eq!(read(&calls, &mut PartJoiner::default()), [Record::Cancelled(JobId(2))]);
    assert_eq!(refused.iter().map(|it| it.job).collect::<Vec<_>>(), [Some(JobId(1))]);
}

/// Guards against measurements of many images that no owner of another shard receives.
#[test]
fn interference_sums_are_divided_among_records() {
    let limits = RecordLimits { record_bytes: 1_024, call_bytes: 16_384 };
    let images: Vec<std::sync::Arc<str>> =
        (0..20).map(|it| format!("{it:030}").as_str().into()).collect();
    let sums: Vec<InterferenceSums> = images
        .iter()
        .map(|it| InterferenceSums {
            serving: it.clone(),
            loss_sums: images.iter().map(|it| (it.clone(), 1.0)).collect(),
            share_products: Vec::new(),
        })
        .collect();

    let written = limits.split_sums(ShardId(0), &sums);

    let stored = || written.iter().flat_map(|it| &it.stored);
    let decoded = stored().flat_map(|(key, value)| match decode(key, value) {
        Ok(Record::InterferenceSums(_, it)) => it,
        other => panic!("{other:?}"),
    });
    assert!(stored().all(|(key, value)| limits.fits(key, value)));
    assert_eq!(decoded.collect::<Vec<_>>(), sums);
}
