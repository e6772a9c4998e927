//! The keys of the records of jobs.

use std::{fmt, str::FromStr};

use crate::{JobId, ParseIdError, TaskId};

/// The key of a record of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordKey {
    /// Of the job's submission.
    Submission(JobId),
    /// Of the job's cancellation.
    Cancellation(JobId),
    /// Of the job's newest progress.
    Progress(JobId),
    /// Of the job's tasks that were started more than once.
    Reruns(JobId),
    /// Of the job's delegation to another shard.
    Delegation(JobId),
    /// Of the newest transfer of a task to another shard.
    TransferOut(TaskId),
    /// Of the transfer of a task to this shard with this number.
    TransferIn(TaskId, u32),
    /// Of the job's newest state.
    State(JobId),
}

impl fmt::Display for RecordKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordKey::Submission(id) => write!(f, "job-{id}"),
            RecordKey::Cancellation(id) => write!(f, "cancel-{id}"),
            RecordKey::Progress(id) => write!(f, "progress-{id}"),
            RecordKey::Reruns(id) => write!(f, "reruns-{id}"),
            RecordKey::Delegation(id) => write!(f, "delegated-{id}"),
            RecordKey::TransferOut(task) => write!(f, "handed-{task}"),
            RecordKey::TransferIn(task, number) => write!(f, "task-{task}.{number}"),
            RecordKey::State(id) => write!(f, "state-{id}"),
        }
    }
}

impl FromStr for RecordKey {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<RecordKey, ParseIdError> {
        let (kind, id) = s.split_once('-').ok_or(ParseIdError)?;
        Ok(match kind {
            "job" => RecordKey::Submission(id.parse()?),
            "cancel" => RecordKey::Cancellation(id.parse()?),
            "progress" => RecordKey::Progress(id.parse()?),
            "reruns" => RecordKey::Reruns(id.parse()?),
            "delegated" => RecordKey::Delegation(id.parse()?),
            "handed" => RecordKey::TransferOut(id.parse()?),
            "task" => {
                let (task, number) = id.rsplit_once('.').ok_or(ParseIdError)?;
                RecordKey::TransferIn(task.parse()?, number.parse().map_err(|_| ParseIdError)?)
            }
            "state" => RecordKey::State(id.parse()?),
            _ => return Err(ParseIdError),
        })
    }
}
