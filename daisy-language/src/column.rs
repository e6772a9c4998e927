//! The tables of `show`, and their columns.

/// A table that `show` can display.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableKind {
    /// The tasks of all jobs.
    Tasks,
    /// Services and batch jobs.
    Jobs,
    /// Only services.
    Services,
    /// Workers.
    Workers,
    /// Teams and their quotas.
    Teams,
    /// All VMs in the platform's list.
    Vms,
    /// The published policy, paused classes and drained VMs.
    Config,
    /// The audit trail.
    Changes,
    /// The holders of data centres.
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

impl TableKind {
    /// All tables, in the order in which findings list them.
    pub const ALL: [TableKind; 9] = [
        TableKind::Tasks,
        TableKind::Jobs,
        TableKind::Services,
        TableKind::Workers,
        TableKind::Teams,
        TableKind::Vms,
        TableKind::Config,
        TableKind::Changes,
        TableKind::Holders,
    ];

    /// Returns the keyword that names the table.
    pub fn keyword(self) -> &'static str {
        match self {
            TableKind::Tasks => "tasks",
            TableKind::Jobs => "jobs",
            TableKind::Services => "services",
            TableKind::Workers => "workers",
            TableKind::Teams => "teams",
            TableKind::Vms => "vms",
            TableKind::Config => "config",
            TableKind::Changes => "changes",
            TableKind::Holders => "holders",
        }
    }

    /// Returns the table's columns, in the order in which they are shown.
    pub fn columns(self) -> &'static [&'static str] {
        match self {
            TableKind::Tasks => &[
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
            TableKind::Jobs | TableKind::Services => JOB_COLUMNS,
            TableKind::Workers => &[
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
            TableKind::Teams => &[
                "team",
                "cpu",
                "cpu-used",
                "memory",
                "memory-used",
                "accelerators",
                "accelerators-used",
                "jobs",
            ],
            TableKind::Vms => &["vm", "number", "dc", "rack", "role", "status", "state"],
            TableKind::Config => &["key", "value", "generation"],
            TableKind::Changes => {
                &["generation", "offset", "time", "who", "subject", "result", "statement", "cause"]
            }
            TableKind::Holders => &["dc", "holder", "epoch", "state"],
        }
    }

    /// Returns the column with the name `name`, if there is one.
    pub fn try_column(self, name: &str) -> Option<&'static str> {
        self.columns().iter().copied().find(|it| *it == name)
    }
}
