//! `daisyshift node` beside a log that holds the records of many jobs that have ended.

#[path = "node/fleet.rs"]
mod fleet;
#[path = "node/process.rs"]
mod process;

use std::{sync::Arc, time::Duration};

use daisy_workflow::{
    JobId, JobSpec, JobState, Phase, Progress, PublishedState, Record, ShardId, StepSpec, Terms,
    encode,
};
use fleet::{Fleet, JOB_ID, job_body};

/// The memory of an entry VM of today's sites.
const MEMORY: u64 = 260 << 20;
/// When the jobs were accepted, in milliseconds since 1970: long ago.
const ACCEPTED_MS: u64 = 1_700_000_000_000;
/// The first id of the jobs.
const FIRST_ID: u64 = 1_000;

fn spec(text: &Arc<str>) -> JobSpec {
    let terms = Terms {
        queue: "r".into(),
        service: "shop".into(),
        priority: 0,
        max_attempts: 4,
        slack_permille: 2_000,
        target_latency_ms: 400,
    };
    JobSpec {
        terms,
        text: text.clone(),
        accepted_ms: ACCEPTED_MS,
        first_due_ms: 0,
        interval_ms: 0,
        occurrences: 1,
        timed: false,
        steps: vec![StepSpec { count: 8, ..StepSpec::default() }],
    }
}

/// Returns the records of `count` completed jobs with texts of `text_bytes`.
fn completed_jobs(
    count: u64,
    text_bytes: usize,
) -> impl Iterator<Item = (&'static str, String, Vec<u8>)> {
    let text: Arc<str> = "x".repeat(text_bytes).into();
    (FIRST_ID..FIRST_ID + count).flat_map(move |id| {
        let id = JobId(id);
        let progress =
            Progress { phase: Phase::Completed, has_started: true, occurrences: Vec::new() };
        let state = PublishedState { state: JobState::Completed, shard: ShardId(0) };
        let records = [
            ("keyed.jobs", Record::Submitted(id, spec(&text))),
            ("keyed.progress", Record::Progress(id, progress)),
            ("keyed.states", Record::State(id, state)),
        ];
        records.map(|(topic, record)| {
            let (key, value) = encode(&record);
            (topic, key, value)
        })
    })
}

/// Guards against an owner whose memory grows with all jobs that ever were.
#[tokio::test]
async fn an_owner_needs_no_memory_for_jobs_that_ended_long_ago() {
    const JOBS: u64 = 36_000;
    const TEXT_BYTES: usize = 3_900;
    let work = Duration::from_millis(100);
    let fleet = Fleet::start_with_records(completed_jobs(JOBS, TEXT_BYTES), 1, 2, work).await;

    let submitted = fleet.submit(0, JOB_ID, job_body(4)).await;
    fleet.wait_for_state(0, JOB_ID, "completed").await;
    let ended = fleet.get_job(0, &JobId(FIRST_ID).to_string()).await;

    assert_eq!(submitted, 200);
    assert_eq!(ended, (200, r#"{"state":"completed"}"#.to_owned()));
    let peak = fleet.peak_memory(0);
    assert!(peak < MEMORY, "{} MiB", peak >> 20);
}
