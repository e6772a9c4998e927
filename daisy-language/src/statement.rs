//! What a statement says.

use daisy_model::{Command, Condition, Name};

use crate::{Span, TableKind};

/// One statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Changes the declared state.
    Change {
        /// The change.
        command: Command,
        /// `if generation N`.
        condition: Option<Condition>,
    },
    /// Shows a table.
    Show(Show),
    /// Asks for the chain of decisions about a subject.
    Why(Why),
    /// Says what a change would do, without doing it.
    Explain {
        /// The change.
        command: Command,
        /// `if generation N`.
        condition: Option<Condition>,
    },
}

/// A statement and where it stands in the source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocatedStatement {
    /// The statement.
    pub statement: Statement,
    /// Its place.
    pub span: Span,
}

/// `show …`
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Show {
    /// The table.
    pub target: TableKind,
    /// All must hold for a row to be shown.
    pub filters: Vec<Filter>,
    /// The order of rows.
    pub order: Option<OrderBy>,
    /// The most rows shown.
    pub limit: Option<u32>,
    /// Rows are counted, not shown.
    pub count: Option<Count>,
}

/// `where COLUMN TEST VALUE`
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Filter {
    /// A column of the table.
    pub column: &'static str,
    /// The comparison.
    pub comparison: Comparison,
    /// What the column is compared with.
    pub value: Box<str>,
}

/// A comparison.
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
    /// `like`, where `%` stands for any text.
    Like,
}

/// `order by COLUMN`
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderBy {
    /// A column of the table.
    pub column: &'static str,
    /// Whether the largest comes first.
    pub descending: bool,
}

/// `count`
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
    /// A class of requests, as the request side names it.
    RequestClass(Box<str>),
}

/// A task as operators name it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskRef {
    /// `price-list/3`: the newest job of that name.
    Named(Name, u32),
    /// `17/3`: the job's number, as logs write it.
    Numbered(u32, u32),
}
