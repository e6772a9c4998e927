//! Formats statements as text that parses back to the same statements.

use std::{fmt, time::Duration};

use daisy_model::{
    Command, Condition, JobKind, JobSpec, Name, PolicyChange, Resources, Tolerance, WorkClass,
};

use crate::{Comparison, Count, Filter, OrderBy, Show, Statement, TaskRef, Why};

impl fmt::Display for Statement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Statement::Change { command, condition } => write_change(f, command, *condition),
            Statement::Show(show) => show.fmt(f),
            Statement::Why(why) => why.fmt(f),
            Statement::Explain { command, condition } => {
                f.write_str("explain ")?;
                write_change(f, command, *condition)
            }
        }
    }
}

fn write_change(
    f: &mut fmt::Formatter<'_>,
    command: &Command,
    condition: Option<Condition>,
) -> fmt::Result {
    match command {
        Command::Create(spec) => write_create(f, spec)?,
        Command::Change { kind, job, tasks, priority, size } => {
            write!(f, "change {} {job}", kind_keyword(*kind))?;
            if let Some(tasks) = tasks {
                write!(f, " tasks {tasks}")?;
            }
            if let Some(priority) = priority {
                write!(f, " priority {priority}")?;
            }
            if let Some(size) = size {
                write_size(f, *size)?;
            }
        }
        Command::Cancel { kind, job } => write!(f, "cancel {} {job}", kind_keyword(*kind))?,
        Command::Quota { team, limit } => {
            write!(f, "quota team {team}")?;
            write_size(f, *limit)?;
        }
        Command::Drain { vm } => write!(f, "drain vm {vm}")?,
        Command::Undrain { vm } => write!(f, "undrain vm {vm}")?,
        Command::Pause(class) => write!(f, "pause {}", format_class(*class))?,
        Command::Resume(class) => write!(f, "resume {}", format_class(*class))?,
        Command::Publish(change) => write_policy(f, change)?,
    }
    match condition {
        Some(condition) => write!(f, " if generation {}", condition.generation),
        None => Ok(()),
    }
}

fn write_create(f: &mut fmt::Formatter<'_>, spec: &JobSpec) -> fmt::Result {
    let JobSpec { name, team, kind, tasks, .. } = spec;
    write!(f, "create {} {name} team {team} tasks {tasks}", kind_keyword(*kind))?;
    write_size(f, spec.size)?;
    write!(f, " priority {}", spec.priority)?;
    write_tolerance(f, spec.tolerance)?;
    if spec.restartable {
        f.write_str(" restartable")?;
    }
    if let Some(run_time) = spec.run_time {
        write!(f, " run time {}", format_duration(run_time))?;
    }
    if !spec.data_centres.is_empty() {
        let names: Vec<&str> = spec.data_centres.iter().map(Name::as_str).collect();
        write!(f, " in {}", names.join(", "))?;
    }
    if spec.region_bytes > 0 {
        write!(f, " region bytes {}", spec.region_bytes)?;
    }
    Ok(())
}

fn write_size(f: &mut fmt::Formatter<'_>, size: Resources) -> fmt::Result {
    write!(f, " cpu {}m memory {}Mi", size.cpu_milli, size.memory_mib)?;
    match size.accelerators {
        0 => Ok(()),
        accelerators => write!(f, " accelerators {accelerators}"),
    }
}

fn write_tolerance(f: &mut fmt::Formatter<'_>, tolerance: Tolerance) -> fmt::Result {
    let Tolerance { delay, evict, refuse } = tolerance;
    let words = [("delay", delay), ("evict", evict), ("refuse", refuse)];
    let words: Vec<&str> =
        words.iter().filter(|(_, is_allowed)| *is_allowed).map(|(word, _)| *word).collect();
    if words.is_empty() { Ok(()) } else { write!(f, " may {}", words.join(", ")) }
}

fn write_policy(f: &mut fmt::Formatter<'_>, change: &PolicyChange) -> fmt::Result {
    f.write_str("publish policy")?;
    let numbers = [
        ("tail", change.tail),
        ("throughput", change.throughput),
        ("evictions", change.evictions),
        ("retry-budget", change.retry_budget),
        ("throttle-above", change.throttle_above),
    ];
    for (key, value) in numbers {
        if let Some(value) = value {
            write!(f, " {key}={value}")?;
        }
    }
    if let Some(window) = change.retry_window {
        write!(f, " retry-window={}", format_duration(window))?;
    }
    match change.region_bytes {
        Some(bytes) => write!(f, " region-bytes={bytes}"),
        None => Ok(()),
    }
}

impl fmt::Display for Show {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "show {}", self.target.keyword())?;
        for (index, filter) in self.filters.iter().enumerate() {
            f.write_str(if index == 0 { " where " } else { " and " })?;
            filter.fmt(f)?;
        }
        if let Some(OrderBy { column, descending }) = self.order {
            write!(f, " order by {column}{}", if descending { " desc" } else { "" })?;
        }
        if let Some(limit) = self.limit {
            write!(f, " limit {limit}")?;
        }
        match self.count {
            Some(Count::All) => f.write_str(" count"),
            Some(Count::By(column)) => write!(f, " count by {column}"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for Filter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.column, self.comparison, format_literal(&self.value))
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Comparison::Equal => "=",
            Comparison::NotEqual => "!=",
            Comparison::Below => "<",
            Comparison::AtMost => "<=",
            Comparison::Above => ">",
            Comparison::AtLeast => ">=",
            Comparison::Like => "like",
        })
    }
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Why::Task(task) => write!(f, "why task {task}"),
            Why::Job(name) => write!(f, "why job {name}"),
            Why::Vm(name) => write!(f, "why vm {name}"),
            Why::RequestClass(class) => write!(f, "why request-class {}", format_literal(class)),
        }
    }
}

impl fmt::Display for TaskRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TaskRef::Named(name, index) => write!(f, "{name}/{index}"),
            TaskRef::Numbered(job, index) => write!(f, "{job}/{index}"),
        }
    }
}

/// Returns a text in quotes, unless it can be written as a plain word or number.
fn format_literal(text: &str) -> String {
    let is_word_part = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    let has_word_start = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    if has_word_start && text.chars().all(is_word_part) {
        text.to_owned()
    } else {
        format!("'{}'", text.replace('\'', "''"))
    }
}

fn kind_keyword(kind: JobKind) -> &'static str {
    match kind {
        JobKind::Service => "service",
        JobKind::Batch => "job",
    }
}

fn format_class(class: WorkClass) -> String {
    match class {
        WorkClass::Batch => "batch".to_owned(),
        WorkClass::Priority(priority) => format!("priority {priority}"),
    }
}

fn format_duration(it: Duration) -> String {
    let millis = it.as_millis();
    if millis.is_multiple_of(1_000) {
        format!("{}s", millis / 1_000)
    } else {
        format!("{millis}ms")
    }
}
