//! Measurements of daisyshift's decisions against plain baselines.

#![deny(missing_docs, unsafe_code)]

mod changeover;
mod choose;
mod fleet;
mod interference;
mod ledger;
mod node;
mod overload;
mod peers;
mod placement;
mod proxy;
mod retries;

/// Measures one of daisyshift's decisions; the last line of output holds the figures of all variants as key=value pairs.
#[derive(Debug, argh::FromArgs)]
struct Args {
    #[argh(subcommand)]
    measurement: Measurement,
}

#[derive(Debug, argh::FromArgs)]
#[argh(subcommand)]
enum Measurement {
    Changeover(changeover::Args),
    Choose(choose::Args),
    Interference(interference::Args),
    Ledger(ledger::Args),
    Placement(placement::Args),
    Proxy(proxy::Args),
    Retries(retries::Args),
    Node(node::Args),
    Overload(overload::Args),
    Peers(peers::Args),
}

fn main() -> anyhow::Result<()> {
    let Args { measurement } = argh::from_env();
    match measurement {
        Measurement::Changeover(args) => changeover::run(&args),
        Measurement::Choose(args) => choose::run(&args),
        Measurement::Interference(args) => interference::run(&args),
        Measurement::Ledger(args) => ledger::run(&args)?,
        Measurement::Placement(args) => placement::run(&args),
        Measurement::Proxy(args) => proxy::run(&args)?,
        Measurement::Retries(args) => retries::run(&args),
        Measurement::Node(args) => node::run(&args)?,
        Measurement::Overload(args) => overload::run(&args),
        Measurement::Peers(args) => peers::run(&args)?,
    }
    Ok(())
}
