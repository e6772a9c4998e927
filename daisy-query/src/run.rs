//! Dispatches statements to the code that answers them.

use daisy_language::{Statement, TaskRef, Why};
use daisy_ledger::State;
use daisy_model::Name;

use crate::{LiveView, Table, explain, show, why};

/// Why a statement cannot be answered.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The statement is a change, which must be appended to the log instead.
    #[error("a change is appended to the log, not answered from the state")]
    Change,
    /// No job has this name.
    #[error("job {0} is unknown")]
    Job(Name),
    /// The task does not exist, or not any more.
    #[error("task {0} is unknown, or its job ended long ago")]
    Task(TaskRef),
    /// No VM in the platform's list has this name.
    #[error("vm {0} is not in the platform's list")]
    Vm(Name),
}

/// Answers a read-only `statement` from the state and the view of what runs now.
///
/// # Errors
///
/// If the statement is a change, or its subject is unknown.
pub fn run(state: &State, live: &LiveView, statement: &Statement) -> Result<Table, Error> {
    match statement {
        Statement::Change { .. } => Err(Error::Change),
        Statement::Show(query) => Ok(show::show(state, live, query)),
        Statement::Why(Why::Task(task)) => why::task(state, live, task),
        Statement::Why(Why::Job(name)) => why::job(state, live, name),
        Statement::Why(Why::Vm(name)) => why::vm(state, live, name),
        Statement::Why(Why::RequestClass(class)) => Ok(why::request_class(state, live, class)),
        Statement::Explain { command, condition } => {
            Ok(explain::explain(state, live, command, *condition))
        }
    }
}
