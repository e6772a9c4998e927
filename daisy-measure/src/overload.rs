//! `overload`: which jobs are served when long-running tasks leave little free capacity for others.
//!
//! Runs the real shard owners over a model of workers. The model covers capacity, processors that
//! best-effort tasks share, tail latency that these tasks increase, and delayed reports. Each seed
//! draws one load, which is run with each packing rule and, as a bound, with a single worker that
//! has the capacity of all workers. A single worker loses no capacity to fragmentation, so its
//! figures for tasks that reserve capacity bound those of the other variants. They say nothing
//! about best-effort tasks, since there every best-effort task interferes with every serving task.

mod callers;
mod load;
mod report;
mod simulation;
mod worker;

use daisy_workflow::{Packing, PlacementRules};

use self::simulation::Simulation;

/// Measures which jobs are served on a fleet that is nearly full of long-running tasks.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "overload")]
pub struct Args {
    /// number of workers (default 96)
    #[argh(option, default = "96")]
    workers: usize,
    /// simulated seconds after the fleet has filled (default 30)
    #[argh(option, default = "30")]
    seconds: u64,
    /// the first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds (default 3)
    #[argh(option, default = "3")]
    seeds: u64,
    /// run one rule only: first_fit, worst_fit, best_fit, kept, admitted or bound
    #[argh(option)]
    rule: Option<String>,
    /// long-running jobs arrive and hardly ever end, instead of a mix drawn from each seed
    #[argh(switch)]
    filling: bool,
}

/// Returns the names and rules that are compared, and whether a single worker has the capacity of all.
/// Long-running jobs are admitted by the variant whose rules protect finite work.
fn variants() -> [(&'static str, PlacementRules, bool); 6] {
    let default_rules = PlacementRules::default();
    let without_defragmentation = PlacementRules { defragments: false, ..default_rules };
    [
        (
            "first_fit",
            PlacementRules { packing: Packing::FirstFit, ..without_defragmentation },
            false,
        ),
        (
            "worst_fit",
            PlacementRules { packing: Packing::WorstFit, ..without_defragmentation },
            false,
        ),
        ("best_fit", without_defragmentation, false),
        ("kept", default_rules, false),
        ("admitted", PlacementRules { protected_priority: Some(0), ..default_rules }, false),
        ("bound", without_defragmentation, true),
    ]
}

/// Runs the measurement and prints one line for each seed and rule.
pub fn run(args: &Args) {
    for seed in args.seed..args.seed + args.seeds {
        for (name, rules, single_worker) in variants() {
            if args.rule.as_ref().is_some_and(|it| it != name) {
                continue;
            }
            let report = Simulation::new(args, seed, rules, single_worker).run();
            println!("seed={seed} rule={name} {}", report.fields());
        }
    }
}
