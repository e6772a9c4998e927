//! Parses `create`, `change` and sizes.

use std::time::Duration;

use daisy_model::{Command, JobKind, JobSpec, Name, Priority, Resources, Tolerance};

use crate::{cursor::Cursor, parse, value};

const EXPECTED_CPU: &str = "processors such as 500m or 2, not negative";
const EXPECTED_MEMORY: &str = "memory such as 512Mi or 4Gi, not negative";
const EXPECTED_COUNT: &str = "a whole number, not negative";
const EXPECTED_DURATION: &str = "a time such as 90s, 5m or 2h";
const EXPECTED_BYTES: &str = "bytes such as 1500, 10Ki or 3Mi, not negative";

/// The words that start a clause; after a finding, parsing continues at the next one.
const CLAUSES: &[&str] = &[
    "team",
    "tasks",
    "cpu",
    "memory",
    "accelerators",
    "priority",
    "may",
    "restartable",
    "run",
    "in",
    "region",
    "if",
];

/// The clauses of a size that have been parsed so far.
#[derive(Debug, Default)]
pub(crate) struct SizeClauses {
    cpu: Option<u32>,
    memory: Option<u32>,
    accelerators: Option<u32>,
    /// Whether `cpu`, `memory` and `accelerators` have a clause, valid or not.
    seen: [bool; 3],
}

impl SizeClauses {
    /// Parses one clause of a size; returns false if the current token does not start one.
    pub(crate) fn parse_clause(&mut self, cursor: &mut Cursor<'_>) -> bool {
        if cursor.is_word("cpu") {
            self.cpu = parse_once(cursor, &mut self.seen[0], |it| {
                it.value(EXPECTED_CPU, value::parse_cpu)
            });
        } else if cursor.is_word("memory") {
            self.memory = parse_once(cursor, &mut self.seen[1], |it| {
                it.value(EXPECTED_MEMORY, value::parse_memory)
            });
        } else if cursor.is_word("accelerators") {
            self.accelerators = parse_once(cursor, &mut self.seen[2], |it| {
                it.value(EXPECTED_COUNT, value::parse_count)
            });
        } else {
            return false;
        }
        true
    }

    /// Returns whether the size has any clause, valid or not.
    pub(crate) fn has_any(&self) -> bool {
        self.seen.contains(&true)
    }

    /// Returns the size; adds a finding if processors or memory have no clause. Accelerators are 0
    /// without a clause.
    pub(crate) fn finish(&self, cursor: &mut Cursor<'_>) -> Option<Resources> {
        if !self.seen[0] {
            cursor.fail::<()>("'cpu' and processors such as 500m or 2");
        }
        if !self.seen[1] {
            cursor.fail::<()>("'memory' and a size such as 512Mi or 4Gi");
        }
        let accelerators = match (self.seen[2], self.accelerators) {
            (true, accelerators) => accelerators?,
            (false, _) => 0,
        };
        Some(Resources { cpu_milli: self.cpu?, memory_mib: self.memory?, accelerators })
    }
}

/// Consumes a clause's word and parses its value; adds a finding if the clause is repeated.
fn parse_once<T>(
    cursor: &mut Cursor<'_>,
    seen: &mut bool,
    parse_value: impl FnOnce(&mut Cursor<'_>) -> Option<T>,
) -> Option<T> {
    let (word, span) = (cursor.text(), cursor.span());
    if std::mem::replace(seen, true) {
        cursor.fail_at::<()>(span, format!("'{word}' only once"));
    }
    cursor.skip();
    let value = parse_value(cursor);
    if value.is_none() {
        cursor.skip_to(CLAUSES);
    }
    value
}

/// The clauses of a job that have been parsed so far.
#[derive(Debug, Default)]
struct Clauses {
    team: Option<Name>,
    tasks: Option<u32>,
    size: SizeClauses,
    priority: Option<Priority>,
    tolerance: Option<Tolerance>,
    restartable: bool,
    run_time: Option<Duration>,
    data_centres: Option<Vec<Name>>,
    region_bytes: Option<u64>,
    seen: SeenClauses,
}

/// Which clauses of a job have occurred, valid or not.
#[derive(Debug, Default)]
struct SeenClauses {
    team: bool,
    tasks: bool,
    priority: bool,
    may: bool,
    restartable: bool,
    run_time: bool,
    data_centres: bool,
    region_bytes: bool,
}

impl Clauses {
    /// Parses clauses up to `if` or the end; adds findings for those that are not in `allowed`.
    fn parse(cursor: &mut Cursor<'_>, allowed: &[&str]) -> Clauses {
        let mut clauses = Clauses::default();
        while !cursor.is_at_end() && !cursor.is_word("if") {
            if !cursor.is_one_of(allowed) {
                cursor.fail::<()>(crate::cursor::format_alternatives(allowed));
                cursor.skip();
                cursor.skip_to(CLAUSES);
                continue;
            }
            clauses.parse_clause(cursor);
        }
        clauses
    }

    fn parse_clause(&mut self, cursor: &mut Cursor<'_>) {
        if self.size.parse_clause(cursor) {
            return;
        }
        let seen = &mut self.seen;
        match cursor.text() {
            "team" => self.team = parse_once(cursor, &mut seen.team, |it| it.name("team")),
            "tasks" => {
                self.tasks = parse_once(cursor, &mut seen.tasks, |it| {
                    it.value(EXPECTED_COUNT, value::parse_count)
                });
            }
            "priority" => self.priority = parse_once(cursor, &mut seen.priority, parse::priority),
            "may" => self.tolerance = parse_once(cursor, &mut seen.may, tolerance),
            "restartable" => {
                self.restartable =
                    parse_once(cursor, &mut seen.restartable, |_| Some(())).is_some();
            }
            "run" => self.run_time = parse_once(cursor, &mut seen.run_time, run_time),
            "in" => self.data_centres = parse_once(cursor, &mut seen.data_centres, data_centres),
            _ => self.region_bytes = parse_once(cursor, &mut seen.region_bytes, region_bytes),
        }
    }
}

fn run_time(cursor: &mut Cursor<'_>) -> Option<Duration> {
    cursor.expect("time")?;
    cursor.value(EXPECTED_DURATION, value::parse_duration)
}

fn region_bytes(cursor: &mut Cursor<'_>) -> Option<u64> {
    cursor.expect("bytes")?;
    cursor.value(EXPECTED_BYTES, value::parse_bytes)
}

fn data_centres(cursor: &mut Cursor<'_>) -> Option<Vec<Name>> {
    let mut names = vec![cursor.name("data centre")?];
    while cursor.accept_comma() {
        let span = cursor.span();
        let name = cursor.name("data centre")?;
        if names.contains(&name) {
            return cursor.fail_at(span, "each data centre only once");
        }
        names.push(name);
    }
    Some(names)
}

fn tolerance(cursor: &mut Cursor<'_>) -> Option<Tolerance> {
    let mut tolerance = Tolerance { delay: false, evict: false, refuse: false };
    loop {
        match cursor.expect_one_of(&["delay", "evict", "refuse"])? {
            "delay" => tolerance.delay = true,
            "evict" => tolerance.evict = true,
            _ => tolerance.refuse = true,
        }
        if !cursor.accept_comma() {
            return Some(tolerance);
        }
    }
}

/// Parses the rest of `create`.
pub(crate) fn create(cursor: &mut Cursor<'_>) -> Option<Command> {
    let kind = parse::job_kind(cursor)?;
    let name = cursor.name("job");
    if name.is_none() {
        cursor.skip_to(CLAUSES);
    }
    let clauses = Clauses::parse(cursor, &CLAUSES[..CLAUSES.len() - 1]);
    if !clauses.seen.team {
        cursor.fail::<()>("'team' and the name of a team");
    }
    let size = clauses.size.finish(cursor);
    let default_priority = match kind {
        JobKind::Service => Priority::Critical,
        JobKind::Batch => Priority::Normal,
    };
    Some(Command::Create(JobSpec {
        name: name?,
        team: clauses.team?,
        kind,
        tasks: clauses.tasks.unwrap_or(1),
        size: size?,
        priority: clauses.priority.unwrap_or(default_priority),
        tolerance: clauses.tolerance.unwrap_or(Tolerance {
            delay: false,
            evict: false,
            refuse: false,
        }),
        // A service can always be restarted: it only answers requests, and these have idempotency
        // keys against running twice.
        restartable: clauses.restartable || kind == JobKind::Service,
        run_time: clauses.run_time,
        data_centres: clauses.data_centres.unwrap_or_default(),
        region_bytes: clauses.region_bytes.unwrap_or(0),
    }))
}

/// Parses the rest of `change`.
pub(crate) fn change(cursor: &mut Cursor<'_>) -> Option<Command> {
    const ALLOWED: &[&str] = &["tasks", "priority", "cpu", "memory", "accelerators"];
    let kind = parse::job_kind(cursor)?;
    let job = cursor.name("job");
    if job.is_none() {
        cursor.skip_to(CLAUSES);
    }
    let clauses = Clauses::parse(cursor, ALLOWED);
    let has_size = clauses.size.has_any();
    let size = if has_size { Some(clauses.size.finish(cursor)?) } else { None };
    if !(has_size || clauses.seen.tasks || clauses.seen.priority) {
        return cursor.fail(crate::cursor::format_alternatives(ALLOWED));
    }
    let Clauses { tasks, priority, .. } = clauses;
    Some(Command::Change { kind, job: job?, tasks, priority, size })
}
