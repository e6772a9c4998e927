//! The subject of a change.

use std::fmt;

use daisy_model::{Command, Name, WorkClass};

/// What a change modifies; two changes of the same subject can conflict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject<'a> {
    /// A job, by name.
    Job(&'a Name),
    /// A team, by name.
    Team(&'a Name),
    /// A VM, by name.
    Vm(&'a Name),
    /// A class of work.
    Class(WorkClass),
    /// The policy.
    Policy,
}

impl<'a> Subject<'a> {
    /// Returns the subject of `command`.
    pub fn of(command: &'a Command) -> Subject<'a> {
        match command {
            Command::Create(spec) => Subject::Job(&spec.name),
            Command::Change { job, .. } | Command::Cancel { job, .. } => Subject::Job(job),
            Command::Quota { team, .. } => Subject::Team(team),
            Command::Drain { vm } | Command::Undrain { vm } => Subject::Vm(vm),
            Command::Pause(class) | Command::Resume(class) => Subject::Class(*class),
            Command::Publish(_) => Subject::Policy,
        }
    }
}

impl fmt::Display for Subject<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Job(name) => write!(f, "job {name}"),
            Subject::Team(name) => write!(f, "team {name}"),
            Subject::Vm(name) => write!(f, "vm {name}"),
            Subject::Class(WorkClass::Batch) => f.write_str("batch"),
            Subject::Class(WorkClass::Priority(priority)) => write!(f, "priority {priority}"),
            Subject::Policy => f.write_str("policy"),
        }
    }
}
