//! The `daisyshift` command: a thin command line over the crates.

#![deny(missing_docs, unsafe_code)]

mod args;
mod check;
mod entry;
mod logging;

use std::process::ExitCode;

use crate::args::{Args, Command};

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let outcome = match args.command {
        Command::Check(options) => check::run(&options),
        Command::Entry(options) => entry::run(&options),
    };
    match outcome {
        Ok(code) => code,
        Err(e) => {
            eprintln!("daisyshift: {e:#}");
            ExitCode::FAILURE
        }
    }
}
