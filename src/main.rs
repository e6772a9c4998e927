//! The `daisyshift` command: parses the command line and calls the crates.

#![deny(missing_docs, unsafe_code)]

mod account;
mod args;
mod check;
mod ctl;
mod demo;
mod entry;
mod log_lines;
mod logging;
mod node;
mod standin;
mod trace;

use std::process::ExitCode;

use anyhow::Context;
use tokio::runtime::Runtime;

use crate::args::{Args, Command};

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let outcome = match args.command {
        Command::Account(options) => account::run(&options),
        Command::Check(options) => check::run(&options),
        Command::Ctl(options) => ctl::run(&options),
        Command::Demo(options) => demo::run(&options),
        Command::Entry(options) => entry::run(&options),
        Command::Load(options) => standin::run_load(options),
        Command::Node(options) => node::run(&options),
        Command::Standin(options) => standin::run(options),
        Command::Trace(options) => trace::run(&options),
    };
    match outcome {
        Ok(code) => code,
        Err(e) => {
            eprintln!("daisyshift: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn runtime() -> anyhow::Result<Runtime> {
    Runtime::new().context("starting the runtime")
}
