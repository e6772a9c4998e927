//! `create`, `change` and sizes.

use std::time::Duration;

use daisy_model::{Command, JobKind, JobSpec, Name, Priority, Resources, Tolerance};

use crate::{cursor::Cursor, parse, value};

const CPU: &str = "processors such as 500m or 2, not negative";
const MEMORY: &str = "memory such as 512Mi or 4Gi, not negative";
const COUNT: &str = "a whole number, not negative";
const DURATION: &str = "a time such as 90s, 5m or 2h";
const BYTES: &str = "bytes such as 1500, 10Ki or 3Mi, not negative";

/// Words that begin a clause; after a finding, reading goes on at the next one.
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

/// A size while it is read.
#[derive(Debug, Default)]
pub(crate) struct Size {
    cpu: Option<u32>,
    memory: Option<u32>,
    accelerators: Option<u32>,
    /// Whether a part was named, even wrongly.
    named: [bool; 3],
}

impl Size {
    /// Reads one clause of a size; false if none stands here.
    pub(crate) fn clause(&mut self, cursor: &mut Cursor<'_>) -> bool {
        if cursor.is_word("cpu") {
            self.cpu = once(cursor, &mut self.named[0], |it| it.value(CPU, value::try_cpu));
        } else if cursor.is_word("memory") {
            self.memory =
                once(cursor, &mut self.named[1], |it| it.value(MEMORY, value::try_memory));
        } else if cursor.is_word("accelerators") {
            self.accelerators =
                once(cursor, &mut self.named[2], |it| it.value(COUNT, value::try_count));
        } else {
            return false;
        }
        true
    }

    /// Whether any part was named.
    pub(crate) fn is_named(&self) -> bool {
        self.named.contains(&true)
    }

    /// The size, which needs processors and memory; accelerators are 0 if not named.
    pub(crate) fn whole(&self, cursor: &mut Cursor<'_>) -> Option<Resources> {
        if !self.named[0] {
            cursor.fail::<()>("'cpu' and processors such as 500m or 2");
        }
        if !self.named[1] {
            cursor.fail::<()>("'memory' and a size such as 512Mi or 4Gi");
        }
        let accelerators = match (self.named[2], self.accelerators) {
            (true, accelerators) => accelerators?,
            (false, _) => 0,
        };
        Some(Resources { cpu_milli: self.cpu?, memory_mib: self.memory?, accelerators })
    }
}

/// Takes a clause's word and reads its value; notes a finding if it stands there twice.
fn once<T>(
    cursor: &mut Cursor<'_>,
    seen: &mut bool,
    read: impl FnOnce(&mut Cursor<'_>) -> Option<T>,
) -> Option<T> {
    let (word, span) = (cursor.text(), cursor.span());
    if std::mem::replace(seen, true) {
        cursor.fail_at::<()>(span, format!("'{word}' only once"));
    }
    cursor.skip();
    let value = read(cursor);
    if value.is_none() {
        cursor.recover(CLAUSES);
    }
    value
}

/// The clauses of a job while they are read.
#[derive(Debug, Default)]
struct Clauses {
    team: Option<Name>,
    tasks: Option<u32>,
    size: Size,
    priority: Option<Priority>,
    tolerance: Option<Tolerance>,
    restartable: bool,
    run_time: Option<Duration>,
    data_centres: Option<Vec<Name>>,
    region_bytes: Option<u64>,
    seen: Seen,
}

#[derive(Debug, Default)]
struct Seen {
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
    /// Reads clauses up to `if` or the end; those not in `allowed` are findings.
    fn read(cursor: &mut Cursor<'_>, allowed: &[&str]) -> Clauses {
        let mut clauses = Clauses::default();
        while !cursor.is_done() && !cursor.is_word("if") {
            if !cursor.is_any(allowed) {
                cursor.fail::<()>(crate::cursor::alternatives(allowed));
                cursor.skip();
                cursor.recover(CLAUSES);
                continue;
            }
            clauses.clause(cursor);
        }
        clauses
    }

    fn clause(&mut self, cursor: &mut Cursor<'_>) {
        if self.size.clause(cursor) {
            return;
        }
        let seen = &mut self.seen;
        match cursor.text() {
            "team" => self.team = once(cursor, &mut seen.team, |it| it.name("team")),
            "tasks" => {
                self.tasks = once(cursor, &mut seen.tasks, |it| it.value(COUNT, value::try_count));
            }
            "priority" => self.priority = once(cursor, &mut seen.priority, parse::priority),
            "may" => self.tolerance = once(cursor, &mut seen.may, tolerance),
            "restartable" => {
                self.restartable = once(cursor, &mut seen.restartable, |_| Some(())).is_some();
            }
            "run" => self.run_time = once(cursor, &mut seen.run_time, run_time),
            "in" => self.data_centres = once(cursor, &mut seen.data_centres, data_centres),
            _ => self.region_bytes = once(cursor, &mut seen.region_bytes, region_bytes),
        }
    }
}

fn run_time(cursor: &mut Cursor<'_>) -> Option<Duration> {
    cursor.expect("time")?;
    cursor.value(DURATION, value::try_duration)
}

fn region_bytes(cursor: &mut Cursor<'_>) -> Option<u64> {
    cursor.expect("bytes")?;
    cursor.value(BYTES, value::try_bytes)
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
        match cursor.one_of(&["delay", "evict", "refuse"])? {
            "delay" => tolerance.delay = true,
            "evict" => tolerance.evict = true,
            _ => tolerance.refuse = true,
        }
        if !cursor.accept_comma() {
            return Some(tolerance);
        }
    }
}

/// The rest of `create`.
pub(crate) fn create(cursor: &mut Cursor<'_>) -> Option<Command> {
    let kind = parse::job_kind(cursor)?;
    let name = cursor.name("job");
    if name.is_none() {
        cursor.recover(CLAUSES);
    }
    let clauses = Clauses::read(cursor, &CLAUSES[..CLAUSES.len() - 1]);
    if !clauses.seen.team {
        cursor.fail::<()>("'team' and the name of a team");
    }
    let size = clauses.size.whole(cursor);
    let usual_priority = match kind {
        JobKind::Service => Priority::Critical,
        JobKind::Batch => Priority::Normal,
    };
    Some(Command::Create(JobSpec {
        name: name?,
        team: clauses.team?,
        kind,
        tasks: clauses.tasks.unwrap_or(1),
        size: size?,
        priority: clauses.priority.unwrap_or(usual_priority),
        tolerance: clauses.tolerance.unwrap_or(Tolerance {
            delay: false,
            evict: false,
            refuse: false,
        }),
        // A service has no work that could be done twice: it answers requests, which carry
        // their own guard against running twice.
        restartable: clauses.restartable || kind == JobKind::Service,
        run_time: clauses.run_time,
        data_centres: clauses.data_centres.unwrap_or_default(),
        region_bytes: clauses.region_bytes.unwrap_or(0),
    }))
}

/// The rest of `change`.
pub(crate) fn change(cursor: &mut Cursor<'_>) -> Option<Command> {
    const ALLOWED: &[&str] = &["tasks", "priority", "cpu", "memory", "accelerators"];
    let kind = parse::job_kind(cursor)?;
    let job = cursor.name("job");
    if job.is_none() {
        cursor.recover(CLAUSES);
    }
    let clauses = Clauses::read(cursor, ALLOWED);
    let sized = clauses.size.is_named();
    let size = if sized { Some(clauses.size.whole(cursor)?) } else { None };
    if !(sized || clauses.seen.tasks || clauses.seen.priority) {
        return cursor.fail(crate::cursor::alternatives(ALLOWED));
    }
    let Clauses { tasks, priority, .. } = clauses;
    Some(Command::Change { kind, job: job?, tasks, priority, size })
}
