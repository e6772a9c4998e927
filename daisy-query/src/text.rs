//! Text fragments of answers.

use std::time::Duration;

use daisy_ledger::{AuditEntry, ChangeOutcome, Job, State};
use daisy_model::{Exit, Generation, JobKind, Resources, Tolerance, WallTime};

pub(crate) fn cpu(size: Resources) -> String {
    format!("{}m", size.cpu_milli)
}

pub(crate) fn memory(size: Resources) -> String {
    format!("{}Mi", size.memory_mib)
}

pub(crate) fn kind(kind: JobKind) -> &'static str {
    match kind {
        JobKind::Service => "service",
        JobKind::Batch => "batch",
    }
}

pub(crate) fn exit(exit: Exit) -> &'static str {
    match exit {
        Exit::Done => "done",
        Exit::Failed => "failed",
        Exit::Checkpointed(_) => "checkpointed",
        Exit::Stopped => "stopped",
        Exit::LeaseExpired => "lease-lapsed",
        Exit::Unknown => "unknown",
        Exit::Refused => "refused",
    }
}

/// Returns what an exit means, for an operator.
pub(crate) fn exit_meaning(exit: Exit) -> &'static str {
    match exit {
        Exit::Done => "it did its work",
        Exit::Failed => "it ended with an error of its own",
        Exit::Checkpointed(_) => "it was checkpointed and stopped, and its job is over",
        Exit::Stopped => "it was stopped without a checkpoint",
        Exit::LeaseExpired => "its worker ended it because the lease lapsed",
        Exit::Refused => {
            "no worker had capacity for it for a long time, so it was refused, as its job allows; \
             it never ran"
        }
        Exit::Unknown => "its worker is lost, and whether it did its work is unknown",
    }
}

pub(crate) fn describe_tolerance(it: Tolerance) -> String {
    let words = [("delayed", it.delay), ("evicted", it.evict), ("refused", it.refuse)];
    let words: Vec<&str> =
        words.iter().filter(|(_, is_allowed)| *is_allowed).map(|(word, _)| *word).collect();
    match words[..] {
        [] => "may not be delayed, evicted or refused".to_owned(),
        _ => format!("may be {}", words.join(", ")),
    }
}

/// Describes a job's declaration in one line.
pub(crate) fn describe_job(job: &Job) -> String {
    let spec = &job.spec;
    let restart = if spec.restartable { "restartable" } else { "not restartable" };
    let data_centres = match &spec.data_centres[..] {
        [] => "any data centre".to_owned(),
        names => {
            let names: Vec<&str> = names.iter().map(|it| it.as_str()).collect();
            names.join(", then ")
        }
    };
    format!(
        "{} {} of team {}: {} tasks of {}, priority {}, {}, {restart}, in {data_centres}",
        kind(spec.kind),
        spec.name,
        spec.team,
        spec.tasks,
        spec.size,
        spec.priority,
        describe_tolerance(spec.tolerance),
    )
}

/// Describes who created a generation, and with which statement.
pub(crate) fn describe_generation(state: &State, generation: Generation) -> String {
    let at = state.audit.partition_point(|it| it.offset.0 + 1 < generation.0);
    let entries = state.audit[at..].iter().take_while(|it| it.offset.0 + 1 == generation.0);
    match entries.filter(|it| matches!(it.outcome, ChangeOutcome::Accepted(_))).last() {
        Some(entry) => format!("generation {generation}, {}", describe_change(entry)),
        None => format!("generation {generation}, which the audit trail no longer holds"),
    }
}

/// Describes who made a change, when, and with which statement.
pub(crate) fn describe_change(entry: &AuditEntry) -> String {
    let change = &entry.change;
    format!("by {} at {}: {}", change.who, time(change.at), change.text)
}

/// Returns the newest accepted change whose command satisfies `is_match`.
pub(crate) fn last_change(
    state: &State,
    is_match: impl Fn(&daisy_model::Command) -> bool,
) -> Option<&AuditEntry> {
    let accepted = |it: &&AuditEntry| matches!(it.outcome, ChangeOutcome::Accepted(_));
    state.audit.iter().rev().filter(accepted).find(|it| is_match(&it.change.command))
}

pub(crate) fn duration(it: Duration) -> String {
    format!("{}s", it.as_secs())
}

/// Formats a time in UTC, such as `2026-12-03T00:05:00Z`; the texts sort by time.
pub(crate) fn time(at: WallTime) -> String {
    const DAY: u64 = 86_400;
    let seconds = at.0 / 1_000;
    let (year, month, day) = civil_date(seconds / DAY);
    let (hour, minute, second) = (seconds / 3_600 % 24, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Returns the Gregorian date (year, month, day) of the day that is `days` after 1970-01-01.
fn civil_date(days: u64) -> (u64, u64, u64) {
    const DAYS_OF_400_YEARS: u64 = 146_097;
    // Days since 0000-03-01, so that a leap day is the last day of its year.
    let days = days + 719_468;
    let era = days / DAYS_OF_400_YEARS;
    let day_of_era = days % DAYS_OF_400_YEARS;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
