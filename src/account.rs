//! `daisyshift account`: where the time of jobs went, from the lines that owners log.
//!
//! Each moment between a job's acceptance and its end has one cause, so that the seconds by cause add
//! up to the job's latency.

mod job;

use std::process::ExitCode;

use daisy_model::SortedMap;

use self::job::{Cause, Job};
use crate::{args, lines};

/// Events that the account is made of.
const EVENTS: [&str; 6] = ["submitted", "start", "run_ended", "run_lost", "pace", "job_ended"];

/// Prints, for each kind of job, how many were in time, the mean seconds by cause and how many of the
/// largest were completed; then the jobs that were latest, each with its main cause.
///
/// # Errors
///
/// If a file cannot be read.
pub fn run(options: &args::Account) -> anyhow::Result<ExitCode> {
    let lines = lines::read(&options.files, |it| EVENTS.contains(&it.name()))?;
    let mut jobs: SortedMap<String, Job> = SortedMap::new();
    for line in &lines {
        if let Some(id) = line.value("id") {
            jobs.get_or_insert_with(id.to_owned(), Job::default).take(line);
        }
    }
    let ended: Vec<(&String, &Job)> =
        jobs.iter().filter(|(_, it)| it.latency().is_some()).collect();
    if ended.is_empty() {
        println!("no job's whole way is in these lines");
        return Ok(ExitCode::FAILURE);
    }
    let mut kinds: Vec<&str> = ended.iter().map(|(_, it)| it.kind()).collect();
    kinds.sort_unstable();
    kinds.dedup();
    for kind in kinds {
        let of_kind: Vec<&Job> =
            ended.iter().filter(|(_, it)| it.kind() == kind).map(|(_, it)| *it).collect();
        println!("{}", summary(kind, &of_kind));
        let accepted: Vec<&Job> = jobs
            .iter()
            .map(|(_, it)| it)
            .filter(|it| it.kind() == kind && it.work_ms() > 0)
            .collect();
        if !accepted.is_empty() {
            println!("{}", by_size(kind, accepted));
        }
    }
    let mut late: Vec<_> = ended.iter().filter(|(_, it)| it.late_by() > 0.0).collect();
    late.sort_by(|a, b| b.1.late_by().total_cmp(&a.1.late_by()));
    for (id, job) in late.into_iter().take(options.worst) {
        println!("id={id} kind={} late_s={:.1} {}", job.kind(), job.late_by(), main_cause(job));
    }
    Ok(ExitCode::SUCCESS)
}

/// One line for the jobs of a kind: means over all of them.
fn summary(kind: &str, jobs: &[&Job]) -> String {
    let count = jobs.len() as f64;
    let in_time = jobs.iter().filter(|it| it.late_by() <= 0.0).count();
    let latency = jobs.iter().filter_map(|it| it.latency()).sum::<f64>() / count;
    let mut line =
        format!("kind={kind} jobs={} in_time={in_time} latency_s={latency:.2}", jobs.len());
    for cause in Cause::ALL {
        let seconds: f64 = jobs.iter().map(|it| it.seconds(cause)).sum();
        line.push_str(&format!(" {}_s={:.2}", cause.word(), seconds / count));
    }
    line
}

/// One line for all accepted jobs of a kind: how many were completed of the tenth with most work, of
/// the fifth below it, and of all.
fn by_size(kind: &str, mut jobs: Vec<&Job>) -> String {
    jobs.sort_by_key(|it| std::cmp::Reverse(it.work_ms()));
    let largest = jobs.len().div_ceil(10);
    let next = (largest + jobs.len().div_ceil(5)).min(jobs.len());
    let part = |of: &[&Job]| {
        let completed = of.iter().filter(|it| it.is_completed()).count();
        format!("{completed}/{}", of.len())
    };
    format!(
        "kind={kind} completed largest_tenth={} next_fifth={} all={}",
        part(&jobs[..largest]),
        part(&jobs[largest..next]),
        part(&jobs)
    )
}

/// The cause that took most of a job's time besides its own work.
fn main_cause(job: &Job) -> String {
    let causes = Cause::ALL.into_iter().filter(|it| *it != Cause::Work);
    let most = causes.max_by(|a, b| job.seconds(*a).total_cmp(&job.seconds(*b)));
    most.map_or_else(String::new, |it| {
        format!("main_cause={} seconds={:.1}", it.word(), job.seconds(it))
    })
}
