//! Tables that can be shown, and their columns.

/// A table that can be shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Tasks of all jobs.
    Tasks,
    /// Services and batch jobs.
    Jobs,
    /// Services only.
    Services,
    /// Workers.
    Workers,
    /// Teams and their quotas.
    Teams,
    /// All VMs of the platform's list.
    Vms,
    /// The policy in force.
    Config,
    /// The audit trail.
    Changes,
    /// Holders of data centres.
    Holders,
}

const JOB_COLUMNS: &[&str] = &[
    "job",
    "number",
    "team",
    "kind",
    "priority",
    "state",
    "tasks",
    "pending",
    "out",
    "ended",
    "cpu",
    "memory",
    "accelerators",
    "generation",
];

impl Target {
    /// All tables.
    pub const ALL: [Target; 9] = [
        Target::Tasks,
        Target::Jobs,
        Target::Services,
        Target::Workers,
        Target::Teams,
        Target::Vms,
        Target::Config,
        Target::Changes,
        Target::Holders,
    ];

    /// The word that names the table.
    pub fn word(self) -> &'static str {
        match self {
            Target::Tasks => "tasks",
            Target::Jobs => "jobs",
            Target::Services => "services",
            Target::Workers => "workers",
            Target::Teams => "teams",
            Target::Vms => "vms",
            Target::Config => "config",
            Target::Changes => "changes",
            Target::Holders => "holders",
        }
    }

    /// The table's columns, in the order shown.
    pub fn columns(self) -> &'static [&'static str] {
        match self {
            Target::Tasks => &[
                "task",
                "job",
                "number",
                "team",
                "kind",
                "priority",
                "state",
                "dc",
                "vm",
                "incarnation",
                "share",
                "since",
                "cpu",
                "memory",
                "accelerators",
                "reason",
            ],
            Target::Jobs | Target::Services => JOB_COLUMNS,
            Target::Workers => &[
                "vm",
                "dc",
                "rack",
                "state",
                "tasks",
                "cpu",
                "cpu-free",
                "memory",
                "memory-free",
                "accelerators",
                "accelerators-free",
                "reason",
            ],
            Target::Teams => &[
                "team",
                "cpu",
                "cpu-used",
                "memory",
                "memory-used",
                "accelerators",
                "accelerators-used",
                "jobs",
            ],
            Target::Vms => &["vm", "number", "dc", "rack", "role", "status", "state"],
            Target::Config => &["key", "value", "generation"],
            Target::Changes => {
                &["generation", "offset", "time", "who", "subject", "result", "statement", "cause"]
            }
            Target::Holders => &["dc", "holder", "epoch", "state"],
        }
    }

    /// The column called `word`.
    pub fn try_column(self, word: &str) -> Option<&'static str> {
        self.columns().iter().copied().find(|it| *it == word)
    }
}
