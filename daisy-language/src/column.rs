//! Tables that can be shown, and their columns.

/// A table that can be shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableKind {
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

impl TableKind {
    /// All tables.
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

    /// The word that names the table.
    pub fn word(self) -> &'static str {
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

    /// The table's columns, in the order shown.
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

    /// The column called `word`.
    pub fn try_column(self, word: &str) -> Option<&'static str> {
        self.columns().iter().copied().find(|it| *it == word)
    }
}
