//! `overload`: who is served where tasks that last leave little room for what comes and goes.
//!
//! The owners of shards, as they run, over a model of workers: rooms, processors that best-effort
//! tasks share, tails that they disturb, reports that come late. One load is drawn by each seed and
//! played with each rule of packing, and with one worker that has the room of all. No room is lost there
//! by how tasks are laid out, so that its figures for tasks that reserve room bound those of the others.
//! For best-effort tasks it says nothing: all of them disturb all that serve.

mod drive;
mod load;
mod report;
mod worker;

use daisy_workflow::{Packing, PlacementRules};

use self::drive::Drive;

/// Measures who is served on a fleet that is nearly full of tasks that last.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "overload")]
pub struct Args {
    /// workers (default 96)
    #[argh(option, default = "96")]
    workers: usize,
    /// seconds after the fleet has filled (default 30)
    #[argh(option, default = "30")]
    seconds: u64,
    /// the first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds (default 3)
    #[argh(option, default = "3")]
    seeds: u64,
    /// one rule alone: first_fit, worst_fit, best_fit, kept or bound
    #[argh(option)]
    rule: Option<String>,
    /// jobs that last come and hardly leave, instead of a mix drawn by each seed
    #[argh(switch)]
    filling: bool,
}

/// The rules that are compared, and whether one worker has the room of all.
fn variants() -> [(&'static str, PlacementRules, bool); 5] {
    let kept = PlacementRules::default();
    let before = PlacementRules { defragments: false, ..kept };
    [
        ("first_fit", PlacementRules { packing: Packing::FirstFit, ..before }, false),
        ("worst_fit", PlacementRules { packing: Packing::WorstFit, ..before }, false),
        ("best_fit", before, false),
        ("kept", kept, false),
        ("bound", before, true),
    ]
}

/// Prints a line a seed and rule.
pub fn run(args: &Args) {
    for seed in args.seed..args.seed + args.seeds {
        for (name, rules, whole) in variants() {
            if args.rule.as_ref().is_some_and(|it| it != name) {
                continue;
            }
            let report = Drive::new(args, seed, rules, whole).run();
            println!("seed={seed} rule={name} {}", report.line());
        }
    }
}
