//! The log encoding of operators' changes.

use std::time::Duration;

use bincode::{Decode, Encode};
use daisy_model::{
    Change, Command, Condition, Generation, JobKind, JobSpec, Name, Objective, Policy,
    PolicyChange, Priority, Resources, Tolerance, WallTime, WorkClass,
};

use crate::WireError;

/// Parses a name that was received in `field`.
pub(crate) fn parse_name(field: &'static str, text: &str) -> Result<Name, WireError> {
    Name::new(text).map_err(|e| WireError::Field { field, reason: e.to_string() })
}

/// Processors in thousandths of a core, memory in MiB, and accelerators.
#[derive(Debug, Clone, Copy, Encode, Decode)]
pub(crate) struct ResourcesWire(u32, u32, u32);

impl From<Resources> for ResourcesWire {
    fn from(it: Resources) -> ResourcesWire {
        ResourcesWire(it.cpu_milli, it.memory_mib, it.accelerators)
    }
}

impl From<ResourcesWire> for Resources {
    fn from(it: ResourcesWire) -> Resources {
        Resources { cpu_milli: it.0, memory_mib: it.1, accelerators: it.2 }
    }
}

#[derive(Debug, Clone, Copy, Encode, Decode)]
pub(crate) enum JobKindWire {
    Service,
    Batch,
}

impl From<JobKind> for JobKindWire {
    fn from(it: JobKind) -> JobKindWire {
        match it {
            JobKind::Service => JobKindWire::Service,
            JobKind::Batch => JobKindWire::Batch,
        }
    }
}

impl From<JobKindWire> for JobKind {
    fn from(it: JobKindWire) -> JobKind {
        match it {
            JobKindWire::Service => JobKind::Service,
            JobKindWire::Batch => JobKind::Batch,
        }
    }
}

#[derive(Debug, Clone, Copy, Encode, Decode)]
pub(crate) enum PriorityWire {
    Low,
    Normal,
    Urgent,
    Critical,
}

impl From<Priority> for PriorityWire {
    fn from(it: Priority) -> PriorityWire {
        match it {
            Priority::Low => PriorityWire::Low,
            Priority::Normal => PriorityWire::Normal,
            Priority::Urgent => PriorityWire::Urgent,
            Priority::Critical => PriorityWire::Critical,
        }
    }
}

impl From<PriorityWire> for Priority {
    fn from(it: PriorityWire) -> Priority {
        match it {
            PriorityWire::Low => Priority::Low,
            PriorityWire::Normal => Priority::Normal,
            PriorityWire::Urgent => Priority::Urgent,
            PriorityWire::Critical => Priority::Critical,
        }
    }
}

#[derive(Debug, Clone, Copy, Encode, Decode)]
pub(crate) enum WorkClassWire {
    Batch,
    Priority(PriorityWire),
}

impl From<WorkClass> for WorkClassWire {
    fn from(it: WorkClass) -> WorkClassWire {
        match it {
            WorkClass::Batch => WorkClassWire::Batch,
            WorkClass::Priority(priority) => WorkClassWire::Priority(priority.into()),
        }
    }
}

impl From<WorkClassWire> for WorkClass {
    fn from(it: WorkClassWire) -> WorkClass {
        match it {
            WorkClassWire::Batch => WorkClass::Batch,
            WorkClassWire::Priority(priority) => WorkClass::Priority(priority.into()),
        }
    }
}

/// A job specification as declared.
#[derive(Debug, Encode, Decode)]
pub(crate) struct JobSpecWire {
    name: String,
    team: String,
    kind: JobKindWire,
    tasks: u32,
    size: ResourcesWire,
    priority: PriorityWire,
    delay: bool,
    evict: bool,
    refuse: bool,
    restartable: bool,
    run_time: Option<Duration>,
    data_centres: Vec<String>,
    region_bytes: u64,
}

impl From<&JobSpec> for JobSpecWire {
    fn from(it: &JobSpec) -> JobSpecWire {
        JobSpecWire {
            name: it.name.to_string(),
            team: it.team.to_string(),
            kind: it.kind.into(),
            tasks: it.tasks,
            size: it.size.into(),
            priority: it.priority.into(),
            delay: it.tolerance.delay,
            evict: it.tolerance.evict,
            refuse: it.tolerance.refuse,
            restartable: it.restartable,
            run_time: it.run_time,
            data_centres: it.data_centres.iter().map(Name::to_string).collect(),
            region_bytes: it.region_bytes,
        }
    }
}

impl TryFrom<JobSpecWire> for JobSpec {
    type Error = WireError;

    fn try_from(it: JobSpecWire) -> Result<JobSpec, WireError> {
        let data_centres = it.data_centres.iter().map(|text| parse_name("data_centres", text));
        Ok(JobSpec {
            name: parse_name("name", &it.name)?,
            team: parse_name("team", &it.team)?,
            kind: it.kind.into(),
            tasks: it.tasks,
            size: it.size.into(),
            priority: it.priority.into(),
            tolerance: Tolerance { delay: it.delay, evict: it.evict, refuse: it.refuse },
            restartable: it.restartable,
            run_time: it.run_time,
            data_centres: data_centres.collect::<Result<_, _>>()?,
            region_bytes: it.region_bytes,
        })
    }
}

/// New values for some fields of the policy; `None` leaves a field unchanged.
#[derive(Debug, Encode, Decode)]
struct PolicyChangeWire {
    tail: Option<u32>,
    throughput: Option<u32>,
    evictions: Option<u32>,
    retry_budget: Option<u32>,
    retry_window: Option<Duration>,
    region_bytes: Option<u64>,
    throttle_above: Option<u32>,
}

impl From<&PolicyChange> for PolicyChangeWire {
    fn from(it: &PolicyChange) -> PolicyChangeWire {
        PolicyChangeWire {
            tail: it.tail,
            throughput: it.throughput,
            evictions: it.evictions,
            retry_budget: it.retry_budget,
            retry_window: it.retry_window,
            region_bytes: it.region_bytes,
            throttle_above: it.throttle_above,
        }
    }
}

impl From<PolicyChangeWire> for PolicyChange {
    fn from(it: PolicyChangeWire) -> PolicyChange {
        PolicyChange {
            tail: it.tail,
            throughput: it.throughput,
            evictions: it.evictions,
            retry_budget: it.retry_budget,
            retry_window: it.retry_window,
            region_bytes: it.region_bytes,
            throttle_above: it.throttle_above,
        }
    }
}

/// The policy in force.
#[derive(Debug, Encode, Decode)]
pub(crate) struct PolicyWire {
    tail: u32,
    throughput: u32,
    evictions: u32,
    retry_budget: u32,
    retry_window: Duration,
    region_bytes: u64,
    throttle_above: u32,
}

impl From<&Policy> for PolicyWire {
    fn from(it: &Policy) -> PolicyWire {
        PolicyWire {
            tail: it.objective.tail,
            throughput: it.objective.throughput,
            evictions: it.objective.evictions,
            retry_budget: it.retry_budget,
            retry_window: it.retry_window,
            region_bytes: it.region_bytes,
            throttle_above: it.throttle_above,
        }
    }
}

impl From<PolicyWire> for Policy {
    fn from(it: PolicyWire) -> Policy {
        let PolicyWire { tail, throughput, evictions, .. } = it;
        Policy {
            objective: Objective { tail, throughput, evictions },
            retry_budget: it.retry_budget,
            retry_window: it.retry_window,
            region_bytes: it.region_bytes,
            throttle_above: it.throttle_above,
        }
    }
}

#[derive(Debug, Encode, Decode)]
enum CommandWire {
    Create(JobSpecWire),
    Change {
        kind: JobKindWire,
        job: String,
        tasks: Option<u32>,
        priority: Option<PriorityWire>,
        size: Option<ResourcesWire>,
    },
    Cancel {
        kind: JobKindWire,
        job: String,
    },
    Quota {
        team: String,
        limit: ResourcesWire,
    },
    Drain {
        vm: String,
    },
    Undrain {
        vm: String,
    },
    Pause(WorkClassWire),
    Resume(WorkClassWire),
    Publish(PolicyChangeWire),
}

impl From<&Command> for CommandWire {
    fn from(it: &Command) -> CommandWire {
        match it {
            Command::Create(spec) => CommandWire::Create(spec.into()),
            Command::Change { kind, job, tasks, priority, size } => CommandWire::Change {
                kind: (*kind).into(),
                job: job.to_string(),
                tasks: *tasks,
                priority: priority.map(PriorityWire::from),
                size: size.map(ResourcesWire::from),
            },
            Command::Cancel { kind, job } => {
                CommandWire::Cancel { kind: (*kind).into(), job: job.to_string() }
            }
            Command::Quota { team, limit } => {
                CommandWire::Quota { team: team.to_string(), limit: (*limit).into() }
            }
            Command::Drain { vm } => CommandWire::Drain { vm: vm.to_string() },
            Command::Undrain { vm } => CommandWire::Undrain { vm: vm.to_string() },
            Command::Pause(class) => CommandWire::Pause((*class).into()),
            Command::Resume(class) => CommandWire::Resume((*class).into()),
            Command::Publish(policy) => CommandWire::Publish(policy.into()),
        }
    }
}

impl TryFrom<CommandWire> for Command {
    type Error = WireError;

    fn try_from(it: CommandWire) -> Result<Command, WireError> {
        Ok(match it {
            CommandWire::Create(spec) => Command::Create(spec.try_into()?),
            CommandWire::Change { kind, job, tasks, priority, size } => Command::Change {
                kind: kind.into(),
                job: parse_name("job", &job)?,
                tasks,
                priority: priority.map(Priority::from),
                size: size.map(Resources::from),
            },
            CommandWire::Cancel { kind, job } => {
                Command::Cancel { kind: kind.into(), job: parse_name("job", &job)? }
            }
            CommandWire::Quota { team, limit } => {
                Command::Quota { team: parse_name("team", &team)?, limit: limit.into() }
            }
            CommandWire::Drain { vm } => Command::Drain { vm: parse_name("vm", &vm)? },
            CommandWire::Undrain { vm } => Command::Undrain { vm: parse_name("vm", &vm)? },
            CommandWire::Pause(class) => Command::Pause(class.into()),
            CommandWire::Resume(class) => Command::Resume(class.into()),
            CommandWire::Publish(policy) => Command::Publish(policy.into()),
        })
    }
}

/// A change that an operator made.
#[derive(Debug, Encode, Decode)]
pub(crate) struct ChangeWire {
    who: String,
    at: u64,
    text: String,
    command: CommandWire,
    condition: Option<u64>,
}

impl From<&Change> for ChangeWire {
    fn from(it: &Change) -> ChangeWire {
        ChangeWire {
            who: it.who.to_string(),
            at: it.at.0,
            text: it.text.to_string(),
            command: (&it.command).into(),
            condition: it.condition.map(|it| it.generation.0),
        }
    }
}

impl TryFrom<ChangeWire> for Change {
    type Error = WireError;

    fn try_from(it: ChangeWire) -> Result<Change, WireError> {
        Ok(Change {
            who: parse_name("who", &it.who)?,
            at: WallTime(it.at),
            text: it.text.into(),
            command: it.command.try_into()?,
            condition: it.condition.map(|it| Condition { generation: Generation(it) }),
        })
    }
}
