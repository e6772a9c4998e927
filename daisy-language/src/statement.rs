//! Typed statements.

use daisy_model::{Command, Condition, Name};

use crate::{Span, TableKind};

/// One statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Changes the declared state or the policy.
    Change {
        /// The change.
        command: Command,
        /// The condition `if generation N`, if given.
        condition: Option<Condition>,
    },
    /// Shows a table.
    Show(Show),
    /// Shows the chain of decisions about a subject.
    Why(Why),
    /// Shows the effects of a change without making it.
    Explain {
        /// The change.
        command: Command,
        /// The condition `if generation N`, if given.
        condition: Option<Condition>,
    },
}

/// A statement with its span in the source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocatedStatement {
    /// The statement.
    pub statement: Statement,
    /// Its byte range in the source.
    pub span: Span,
}

/// `show …`
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Show {
    /// The table.
    pub target: TableKind,
    /// The filters; a row is shown if it passes all of them.
    pub filters: Vec<Filter>,
    /// The order of rows.
    pub order: Option<OrderBy>,
    /// The maximum number of rows shown.
    pub limit: Option<u32>,
    /// If given, rows are counted instead of shown.
    pub count: Option<Count>,
}

/// `where COLUMN COMPARISON VALUE`
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Filter {
    /// A column of the table.
    pub column: &'static str,
    /// The comparison.
    pub comparison: Comparison,
    /// The value with which the column is compared.
    pub value: Box<str>,
}

/// A comparison operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Below,
    /// `<=`
    AtMost,
    /// `>`
    Above,
    /// `>=`
    AtLeast,
    /// `like`, where `%` matches any text.
    Like,
}

/// `order by COLUMN`
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderBy {
    /// A column of the table.
    pub column: &'static str,
    /// Whether the largest value comes first.
    pub descending: bool,
}

/// `count` or `count by COLUMN`
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Count {
    /// The number of all rows.
    All,
    /// The number of rows for each value of a column.
    By(&'static str),
}

/// `why …`
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Why {
    /// A task.
    Task(TaskRef),
    /// A job.
    Job(Name),
    /// A VM.
    Vm(Name),
    /// A class of requests, by the name that the proxy gives it.
    RequestClass(Box<str>),
}

/// A reference to a task, as operators write it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskRef {
    /// `price-list/3`: a task of the newest job with that name.
    Named(Name, u32),
    /// `17/3`: a task by its job's number, as logs write it.
    Numbered(u32, u32),
}
