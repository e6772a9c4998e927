//! Ids of jobs, tasks and workers.

use std::{fmt, str::FromStr, sync::Arc};

/// The error for a string that is not a job or task id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a job or task id")]
pub struct ParseIdError;

/// A job's id, chosen by the caller: 64 bits, written as 16 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<JobId, ParseIdError> {
        let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if s.len() != 16 || !s.bytes().all(digit) {
            return Err(ParseIdError);
        }
        u64::from_str_radix(s, 16).map(JobId).map_err(|_| ParseIdError)
    }
}

/// The id of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The occurrence of a repeated job, from 0; 0 for a job that runs once.
    pub occurrence: u32,
    /// The step's position in the job.
    pub step: u16,
    /// The task's position in the step.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskId { job, occurrence, step, index } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<TaskId, ParseIdError> {
        let mut parts = s.split('.');
        let mut part = || parts.next().ok_or(ParseIdError);
        let job = part()?.parse()?;
        let occurrence = part()?.parse().map_err(|_| ParseIdError)?;
        let step = part()?.parse().map_err(|_| ParseIdError)?;
        let index = part()?.parse().map_err(|_| ParseIdError)?;
        match parts.next() {
            None => Ok(TaskId { job, occurrence, step, index }),
            Some(_) => Err(ParseIdError),
        }
    }
}

/// A worker's name in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub Arc<str>);

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl From<&str> for WorkerId {
    fn from(name: &str) -> WorkerId {
        WorkerId(name.into())
    }
}
