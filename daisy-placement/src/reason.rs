//! The reasons for the state of a task or VM, and their text for operators.

use std::{fmt, sync::Arc, time::Duration};

use daisy_model::{Exit, Instant, OrderResult, Resources, TaskId};

/// The name of a VM, shared by all reasons that mention it.
pub type VmLabel = Arc<str>;

/// The worker with the smallest shortfall for a task, and the resources that it lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortfall {
    /// The worker.
    pub vm: VmLabel,
    /// The resources that it lacks.
    pub missing: Resources,
}

impl fmt::Display for Shortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "nearest miss: {} short of {}", self.vm, Amount(self.missing))
    }
}

/// Displays resources without those that are zero.
#[derive(Debug)]
struct Amount(Resources);

impl fmt::Display for Amount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Resources { cpu_milli, memory_mib, accelerators } = self.0;
        let plural = if accelerators == 1 { "accelerator" } else { "accelerators" };
        let parts = [
            (cpu_milli > 0, format!("{cpu_milli}m of processor")),
            (memory_mib > 0, format!("{memory_mib}Mi of memory")),
            (accelerators > 0, format!("{accelerators} {plural}")),
        ];
        let parts: Vec<String> =
            parts.into_iter().filter_map(|(is_present, text)| is_present.then_some(text)).collect();
        f.write_str(if parts.is_empty() { "nothing" } else { "" })?;
        f.write_str(&parts.join(" and "))
    }
}

/// Why a task does not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitReason {
    /// No worker has enough free capacity now.
    NoCapacity {
        /// The size of the task.
        size: Resources,
        /// The smallest shortfall, if there is any worker.
        shortfall: Option<Shortfall>,
    },
    /// No worker could fit the task even if it were empty.
    NeverFits {
        /// The size of the task.
        size: Resources,
        /// The smallest shortfall, if there is any worker.
        shortfall: Option<Shortfall>,
    },
    /// The team's quota is used up.
    Quota,
    /// An operator paused the class of work.
    Paused,
    /// The start must be recorded first, and the log accepts no appends.
    LogUnavailable,
    /// An earlier holder may have started the task on a worker that has not answered.
    Blocked {
        /// The worker, or `None` if it may be any worker that has not answered.
        vm: Option<VmLabel>,
    },
    /// Several starts failed in a row.
    Backoff {
        /// The time until the next attempt.
        retry_in: Duration,
    },
    /// Data centres that the job prefers may check the task out first.
    OtherDataCentreFirst,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WaitReason::NoCapacity { size, shortfall } => {
                write!(f, "no worker with {} free", Amount(*size))?;
                write_shortfall(f, shortfall)
            }
            WaitReason::NeverFits { size, shortfall } => {
                write!(f, "no worker here can ever hold {}", Amount(*size))?;
                write_shortfall(f, shortfall)
            }
            WaitReason::Quota => f.write_str("its team's quota is used up"),
            WaitReason::Paused => f.write_str("operators paused its class of work"),
            WaitReason::LogUnavailable => {
                f.write_str("its start must be recorded first and the log takes no appends")
            }
            WaitReason::Blocked { vm: Some(vm) } => {
                write!(f, "it may run on {vm}, which has not answered this holder")
            }
            WaitReason::Blocked { vm: None } => f.write_str(
                "an earlier holder may have started it on a worker that is not accounted for",
            ),
            WaitReason::Backoff { retry_in } => {
                write!(f, "its starts failed; next try in {} ms", retry_in.as_millis())
            }
            WaitReason::OtherDataCentreFirst => {
                f.write_str("a data centre that it prefers goes first")
            }
        }
    }
}

fn write_shortfall(f: &mut fmt::Formatter<'_>, shortfall: &Option<Shortfall>) -> fmt::Result {
    match shortfall {
        Some(shortfall) => write!(f, "; {shortfall}"),
        None => f.write_str("; there is no open worker"),
    }
}

/// A decision or observation about a task or VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// The task does not run yet.
    NotRunning(WaitReason),
    /// The task is checked out by this data centre.
    CheckedOut,
    /// The task was returned, so that another data centre may check it out.
    Returned,
    /// The task was placed on a worker.
    Placed {
        /// The worker.
        vm: VmLabel,
        /// The number of workers with free capacity that were considered.
        considered: usize,
    },
    /// The answer to a start was lost: the task may or may not run.
    StartUnconfirmed {
        /// The worker.
        vm: VmLabel,
    },
    /// A start took no effect.
    StartRejected {
        /// The worker.
        vm: VmLabel,
        /// The result that the worker reported.
        result: OrderResult,
    },
    /// A worker reported that the task runs.
    ReportedRunning {
        /// The worker.
        vm: VmLabel,
    },
    /// The task ended.
    Ended {
        /// How the task ended.
        exit: Exit,
    },
    /// The task is stopped because its job no longer needs it, or because the ledger shows another
    /// copy of it.
    Stopped {
        /// The worker.
        vm: VmLabel,
    },
    /// The task is checkpointed to free capacity for another task.
    Evicted {
        /// The worker.
        vm: VmLabel,
        /// The task that gets the capacity.
        evicted_for: TaskId,
    },
    /// The task is checkpointed because it slows services down.
    EvictedForInterference {
        /// The worker.
        vm: VmLabel,
        /// The slowdown of the worst service on the worker, in thousandths.
        slowdown: u32,
    },
    /// The task is checkpointed because its VM is leaving or drained.
    Evacuated {
        /// The worker.
        vm: VmLabel,
    },
    /// The share of batch work on a worker changed.
    Throttled {
        /// The share in thousandths.
        share: u32,
        /// The slowdown of the worst service on the worker, in thousandths.
        slowdown: u32,
    },
    /// The worker answered under this epoch.
    Answered {
        /// The number of tasks that run on it.
        running: usize,
    },
    /// The worker did not answer.
    CallFailed,
    /// The worker gets no new work.
    Draining,
    /// The worker takes work again.
    Opened,
    /// The VM is missing from the VM list.
    Unlisted,
    /// The worker failed what it started and gets no work for a while.
    Quarantined {
        /// The number of consecutive failures.
        failures: u32,
        /// The duration of the quarantine.
        duration: Duration,
    },
    /// The worker gets one task to test whether it works again.
    Probing,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::NotRunning(wait) => write!(f, "waits: {wait}"),
            Reason::CheckedOut => f.write_str("checked out by this data centre"),
            Reason::Returned => f.write_str("returned: no free capacity here for a while"),
            Reason::Placed { vm, considered } => {
                write!(f, "placed on {vm}, the best of {considered} workers with room")
            }
            Reason::StartUnconfirmed { vm } => {
                write!(f, "start sent to {vm}, answer lost: kept there until it answers")
            }
            Reason::StartRejected { vm, result } => {
                let what = match result {
                    OrderResult::NoCapacity => "had no room",
                    _ => "could not start it",
                };
                write!(f, "{vm} {what}")
            }
            Reason::ReportedRunning { vm } => write!(f, "runs on {vm}"),
            Reason::Ended { exit } => write!(f, "ended: {}", ExitText(*exit)),
            Reason::Stopped { vm } => write!(f, "ordered to stop on {vm}"),
            Reason::Evicted { vm, evicted_for } => {
                write!(f, "checkpointed on {vm} to make room for task {evicted_for}")
            }
            Reason::EvictedForInterference { vm, slowdown } => {
                write!(
                    f,
                    "checkpointed on {vm}: services there are slowed to {}",
                    SlowdownFactor(*slowdown)
                )
            }
            Reason::Evacuated { vm } => write!(f, "leaves {vm}, which takes no more work"),
            Reason::Throttled { share, slowdown } => {
                let slow = SlowdownFactor(*slowdown);
                write!(f, "batch work limited to {share}/1000 of its processors, services {slow}")
            }
            Reason::Answered { running } => write!(f, "answered, runs {running} tasks"),
            Reason::CallFailed => f.write_str("did not answer"),
            Reason::Draining => f.write_str("leaving or drained: gets nothing new"),
            Reason::Opened => f.write_str("takes work"),
            Reason::Unlisted => f.write_str("missing from the VM list"),
            Reason::Quarantined { failures, duration } => {
                write!(
                    f,
                    "put aside for {} s after {failures} failures in a row",
                    duration.as_secs()
                )
            }
            Reason::Probing => f.write_str("gets one task to see whether it works again"),
        }
    }
}

/// Displays an exit for operators.
#[derive(Debug)]
struct ExitText(Exit);

impl fmt::Display for ExitText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            Exit::Done => "done",
            Exit::Failed => "an error of its own",
            Exit::Checkpointed(_) => "checkpointed, to be resumed",
            Exit::Stopped => "stopped",
            Exit::LeaseExpired => "its worker's lease lapsed",
            Exit::Refused => "refused, for want of room",
            Exit::Unknown => "unknown, its worker is gone or lost it",
        })
    }
}

/// Displays a slowdown in thousandths as `1.25 times`.
#[derive(Debug)]
struct SlowdownFactor(u32);

impl fmt::Display for SlowdownFactor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:02} times", self.0 / 1000, self.0 % 1000 / 10)
    }
}

/// A reason and its time by the holder's clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedReason {
    /// The time of the reason, or of its last repetition.
    pub at: Instant,
    /// The reason.
    pub reason: Reason,
}

/// The last few reasons of one task or worker, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct Notes(Vec<TimedReason>);

impl Notes {
    /// The maximum number of reasons for each subject; older ones say little about the present.
    const MAX_REASONS: usize = 6;

    pub(crate) fn add(&mut self, at: Instant, reason: Reason) {
        if let Some(last) = self.0.last_mut().filter(|last| last.reason == reason) {
            last.at = at;
            return;
        }
        if self.0.len() == Notes::MAX_REASONS {
            self.0.remove(0);
        }
        self.0.push(TimedReason { at, reason });
    }

    pub(crate) fn to_vec(&self) -> Vec<TimedReason> {
        self.0.clone()
    }
}
