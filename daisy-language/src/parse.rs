//! Parses tokens into statements.

mod job;
mod policy;
mod show;

use daisy_model::{Command, Condition, Generation, JobKind, Name, Priority, WorkClass};

use crate::{
    Finding, Findings, LocatedStatement, Statement, TaskRef, Why,
    cursor::Cursor,
    lex::lex,
    token::{Token, TokenKind},
    value,
};

/// The maximum length of a source in bytes.
pub const MAX_LEN: usize = 64 << 10;

/// The words that can start a statement.
const STATEMENT_VERBS: &[&str] = &[
    "create", "change", "cancel", "quota", "drain", "undrain", "pause", "resume", "publish",
    "show", "why", "explain",
];
/// The words that can start a change, also after `explain`.
const CHANGE_VERBS: &[&str] =
    &["create", "change", "cancel", "quota", "drain", "undrain", "pause", "resume", "publish"];

/// Parses all statements of `source`; a statement ends at `;` or at the end of a line.
///
/// A line that ends in `\` continues on the next line; `#` starts a comment.
///
/// # Errors
///
/// All findings of all statements.
pub fn parse(source: &str) -> Result<Vec<Statement>, Findings> {
    let located = parse_located(source)?;
    Ok(located.into_iter().map(|it| it.statement).collect())
}

/// Parses all statements of `source`, and returns them with their spans, for the audit trail.
///
/// # Errors
///
/// As for [`parse`].
pub fn parse_located(source: &str) -> Result<Vec<LocatedStatement>, Findings> {
    if source.len() > MAX_LEN {
        let expected = format!("at most {MAX_LEN} bytes, not {}", source.len());
        return Err(Findings(vec![Finding::new(source, 0..0, expected)]));
    }
    let tokens = lex(source);
    let mut statements = Vec::new();
    let mut findings = Vec::new();
    for tokens in tokens.split(|token| token.kind == TokenKind::StatementEnd) {
        let (Some(first), Some(last)) = (tokens.first(), tokens.last()) else { continue };
        match parse_one(source, tokens) {
            Ok(statement) => {
                let span = first.span.start..last.span.end;
                statements.push(LocatedStatement { statement, span });
            }
            Err(new_findings) => findings.extend(new_findings),
        }
    }
    if findings.is_empty() { Ok(statements) } else { Err(Findings(findings)) }
}

fn parse_one(source: &str, tokens: &[Token]) -> Result<Statement, Vec<Finding>> {
    let mut cursor = Cursor::new(source, tokens);
    let statement = statement(&mut cursor);
    if !cursor.has_findings() {
        cursor.finish();
    }
    match statement {
        Some(statement) if !cursor.has_findings() => Ok(statement),
        _ => Err(cursor.into_findings()),
    }
}

fn statement(cursor: &mut Cursor<'_>) -> Option<Statement> {
    if cursor.accept("show") {
        return show::show(cursor).map(Statement::Show);
    }
    if cursor.accept("why") {
        return why(cursor).map(Statement::Why);
    }
    if cursor.accept("explain") {
        let (command, condition) = change(cursor, CHANGE_VERBS)?;
        return Some(Statement::Explain { command, condition });
    }
    let (command, condition) = change(cursor, STATEMENT_VERBS)?;
    Some(Statement::Change { command, condition })
}

fn change(cursor: &mut Cursor<'_>, verbs: &[&str]) -> Option<(Command, Option<Condition>)> {
    let command = match cursor.expect_one_of(verbs)? {
        "create" => job::create(cursor),
        "change" => job::change(cursor),
        "cancel" => cancel(cursor),
        "quota" => quota(cursor),
        "drain" => vm(cursor).map(|vm| Command::Drain { vm }),
        "undrain" => vm(cursor).map(|vm| Command::Undrain { vm }),
        "pause" => work_class(cursor).map(Command::Pause),
        "resume" => work_class(cursor).map(Command::Resume),
        _ => policy::publish(cursor),
    };
    if command.is_none() {
        // The statement is already rejected, but an error in the condition is reported as well.
        cursor.skip_to(&["if"]);
    }
    let condition = condition(cursor);
    command.map(|command| (command, condition))
}

fn condition(cursor: &mut Cursor<'_>) -> Option<Condition> {
    if !cursor.accept("if") {
        return None;
    }
    cursor.expect("generation")?;
    let generation = cursor.value("a generation such as 1042", value::parse_count)?;
    Some(Condition { generation: Generation(generation) })
}

pub(crate) fn job_kind(cursor: &mut Cursor<'_>) -> Option<JobKind> {
    match cursor.expect_one_of(&["service", "job"])? {
        "service" => Some(JobKind::Service),
        _ => Some(JobKind::Batch),
    }
}

fn cancel(cursor: &mut Cursor<'_>) -> Option<Command> {
    let kind = job_kind(cursor)?;
    let job = cursor.name("job")?;
    Some(Command::Cancel { kind, job })
}

fn quota(cursor: &mut Cursor<'_>) -> Option<Command> {
    cursor.expect("team")?;
    let team = cursor.name("team");
    let mut size = job::SizeClauses::default();
    while !cursor.is_at_end() && !cursor.is_word("if") {
        if !size.parse_clause(cursor) {
            cursor.fail::<()>("'cpu', 'memory', 'accelerators' or 'if generation N'");
            cursor.skip_to(&["cpu", "memory", "accelerators", "if"]);
        }
    }
    let limit = size.finish(cursor)?;
    Some(Command::Quota { team: team?, limit })
}

fn vm(cursor: &mut Cursor<'_>) -> Option<Name> {
    cursor.expect("vm")?;
    cursor.name("VM")
}

fn work_class(cursor: &mut Cursor<'_>) -> Option<WorkClass> {
    match cursor.expect_one_of(&["batch", "priority"])? {
        "batch" => Some(WorkClass::Batch),
        _ => priority(cursor).map(WorkClass::Priority),
    }
}

pub(crate) fn priority(cursor: &mut Cursor<'_>) -> Option<Priority> {
    let words = ["low", "normal", "urgent", "critical"];
    let word = cursor.expect_one_of(&words)?;
    let at = words.iter().position(|it| *it == word)?;
    Some(Priority::ALL[at])
}

fn why(cursor: &mut Cursor<'_>) -> Option<Why> {
    match cursor.expect_one_of(&["task", "job", "service", "vm", "request-class"])? {
        "task" => {
            let task = cursor.value("a task such as price-list/3 or 17/3", parse_task)?;
            Some(Why::Task(task))
        }
        "job" | "service" => cursor.name("job").map(Why::Job),
        "vm" => cursor.name("VM").map(Why::Vm),
        _ => cursor.literal().map(Why::RequestClass),
    }
}

fn parse_task(text: &str) -> Option<TaskRef> {
    let (job, index) = text.split_once('/')?;
    let index = value::parse_count(index)?;
    match value::parse_count(job) {
        Some(number) => Some(TaskRef::Numbered(number, index)),
        None => Name::new(job).ok().map(|name| TaskRef::Named(name, index)),
    }
}
