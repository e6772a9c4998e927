//! `daisyshift account`: attributes the latency of jobs to causes, from the lines that owners log.
//!
//! The whole time between a job's acceptance and its end is divided among the causes, so that the
//! seconds by cause add up to the job's latency.

mod job;

use std::process::ExitCode;

use daisy_model::SortedMap;

use self::job::{Cause, Job};
use crate::{args, log_lines};

/// The events that the account is computed from.
const EVENTS: [&str; 7] =
    ["submitted", "start", "run_ended", "run_lost", "pace", "job_ended", "queried"];

/// Prints, for each kind of job, how many met their latency objective, the mean seconds by cause
/// and how many of the largest were completed; then the jobs that exceeded their objective the
/// most, each with its main cause. Fails if the logs hold no job with both its acceptance and its
/// end.
///
/// # Errors
///
/// If a file cannot be read.
pub fn run(options: &args::Account) -> anyhow::Result<ExitCode> {
    let lines = log_lines::read(&options.files, |it| EVENTS.contains(&it.name()))?;
    let mut jobs: SortedMap<String, Job> = SortedMap::new();
    for line in &lines {
        if let Some(id) = line.value("id") {
            jobs.get_or_insert_with(id.to_owned(), Job::default).apply(line);
        }
    }
    let ended: Vec<(&String, &Job)> =
        jobs.iter().filter(|(_, it)| it.latency().is_some()).collect();
    if ended.is_empty() {
        println!("these logs hold no job with both its acceptance and its end");
        return Ok(ExitCode::FAILURE);
    }
    let mut kinds: Vec<&str> = ended.iter().map(|(_, it)| it.kind()).collect();
    kinds.sort_unstable();
    kinds.dedup();
    for kind in kinds {
        let of_kind: Vec<&Job> =
            ended.iter().filter(|(_, it)| it.kind() == kind).map(|(_, it)| *it).collect();
        println!("{}", summary(kind, &of_kind));
        if let Some(line) = try_told(kind, &of_kind) {
            println!("{line}");
        }
        let accepted: Vec<&Job> = jobs
            .iter()
            .map(|(_, it)| it)
            .filter(|it| it.kind() == kind && it.work_ms() > 0)
            .collect();
        if !accepted.is_empty() {
            println!("{}", completed_by_size(kind, accepted));
        }
    }
    let mut late_jobs: Vec<_> = ended.iter().filter(|(_, it)| it.late_by() > 0.0).collect();
    late_jobs.sort_by(|a, b| b.1.late_by().total_cmp(&a.1.late_by()));
    for (id, job) in late_jobs.into_iter().take(options.worst) {
        println!("id={id} kind={} late_s={:.1} {}", job.kind(), job.late_by(), main_cause(job));
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns one line about the ended jobs of a kind, with means over all of them.
fn summary(kind: &str, jobs: &[&Job]) -> String {
    let count = jobs.len() as f64;
    let in_time = jobs.iter().filter(|it| it.late_by() <= 0.0).count();
    let latency = jobs.iter().filter_map(|it| it.latency()).sum::<f64>() / count;
    let mut line =
        format!("kind={kind} jobs={} in_time={in_time} latency_s={latency:.2}", jobs.len());
    for cause in Cause::ALL {
        let seconds: f64 = jobs.iter().map(|it| it.seconds(cause)).sum();
        line.push_str(&format!(" {}_s={:.2}", cause.name(), seconds / count));
    }
    line
}

/// Returns one line about the jobs of a kind whose callers were told of their ends: owners see a job
/// in time that its caller hears of too late. `None` if the logs hold no such answers.
fn try_told(kind: &str, jobs: &[&Job]) -> Option<String> {
    let told: Vec<f64> = jobs.iter().filter_map(|it| it.told_after()).collect();
    let in_time = jobs.iter().filter(|it| it.is_told_in_time()).count();
    let seconds = told.iter().sum::<f64>() / told.len() as f64;
    let line =
        format!("kind={kind} told={} in_time={in_time} told_after_s={seconds:.2}", told.len());
    (!told.is_empty()).then_some(line)
}

/// Returns one line about all accepted jobs of a kind: how many were completed of the tenth with
/// the most work, of the next fifth, and of all.
fn completed_by_size(kind: &str, mut jobs: Vec<&Job>) -> String {
    jobs.sort_by_key(|it| std::cmp::Reverse(it.work_ms()));
    let largest = jobs.len().div_ceil(10);
    let next = (largest + jobs.len().div_ceil(5)).min(jobs.len());
    let completed_of = |jobs: &[&Job]| {
        let completed = jobs.iter().filter(|it| it.is_completed()).count();
        format!("{completed}/{}", jobs.len())
    };
    format!(
        "kind={kind} completed largest_tenth={} next_fifth={} all={}",
        completed_of(&jobs[..largest]),
        completed_of(&jobs[largest..next]),
        completed_of(&jobs)
    )
}

/// Returns the cause, other than its own work, that most of a job's latency is due to.
fn main_cause(job: &Job) -> String {
    let causes = Cause::ALL.into_iter().filter(|it| *it != Cause::Work);
    let main = causes.max_by(|a, b| job.seconds(*a).total_cmp(&job.seconds(*b)));
    main.map_or_else(String::new, |it| {
        format!("main_cause={} seconds={:.1}", it.name(), job.seconds(it))
    })
}
