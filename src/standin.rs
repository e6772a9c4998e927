//! `daisyshift standin` and `daisyshift load`: converts the arguments into the stand-ins' options.

use std::{net::SocketAddr, path::Path, process::ExitCode, time::Duration};

use anyhow::Context;
use daisy_model::Resources;
use daisy_standin::{
    backend, link, load, platform,
    worker::{self, WorkerOptions},
};
use serde::de::DeserializeOwned;

use crate::{args, runtime};

/// Runs a stand-in until SIGTERM.
///
/// # Errors
///
/// If an address cannot be bound, or a file cannot be read or written.
pub fn run(options: args::Standin) -> anyhow::Result<ExitCode> {
    match options.kind {
        args::StandinKind::Platform(arguments) => {
            runtime()?.block_on(platform::run(platform_options(arguments)?))?
        }
        args::StandinKind::Worker(arguments) => {
            runtime()?.block_on(worker::run(worker_options(arguments)?))?
        }
        args::StandinKind::Backend(arguments) => {
            runtime()?.block_on(backend::run(backend_options(arguments)))?
        }
        args::StandinKind::Link(arguments) => {
            runtime()?.block_on(link::run(link_options(arguments)?))?
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Makes requests and prints a report; succeeds if every answer was complete and belonged to
/// its caller's request.
///
/// # Errors
///
/// If no entry VM is named or the history cannot be written.
pub fn run_load(options: args::Load) -> anyhow::Result<ExitCode> {
    anyhow::ensure!(!options.entry.is_empty(), "--entry: expected at least one entry VM's address");
    let is_rate_valid = options.rate.is_finite() && options.rate > 0.0;
    anyhow::ensure!(is_rate_valid, "--rate: expected a number above 0");
    let report = runtime()?.block_on(load::run(load_options(options)))?;
    println!("{report}");
    Ok(if report.wrong == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn platform_options(arguments: args::Platform) -> anyhow::Result<platform::Options> {
    let mut options =
        platform::Options { listen: arguments.listen, ..platform::Options::default() };
    options.vms = arguments.vms.as_deref().map(read_json_file).transpose()?.unwrap_or_default();
    options.vm_lag = Duration::from_millis(arguments.vm_lag_ms);
    options.log.keep_records = arguments.keep_records;
    options.log.appends_per_second = arguments.appends;
    options.history = arguments.history;
    Ok(options)
}

fn worker_options(arguments: args::Worker) -> anyhow::Result<worker::Options> {
    let capacity = Resources {
        cpu_milli: arguments.cpu_milli,
        memory_mib: arguments.memory_mib,
        accelerators: arguments.accelerators,
    };
    let worker = WorkerOptions {
        capacity,
        run_time: Some(Duration::from_millis(arguments.run_ms)),
        jobs: arguments.jobs.as_deref().map(read_json_file).transpose()?.unwrap_or_default(),
        ..WorkerOptions::default()
    };
    let service_time = Duration::from_millis(arguments.service_ms);
    let backend_options = arguments.backend.map(|listen| backend::Options {
        name: arguments.name.clone(),
        listen,
        service_time,
        ..backend::Options::default()
    });
    Ok(worker::Options {
        name: arguments.name,
        control: arguments.control,
        worker,
        backend: backend_options,
        history: arguments.history,
    })
}

fn backend_options(arguments: args::Backend) -> backend::Options {
    backend::Options {
        name: arguments.name,
        listen: arguments.listen,
        slots: arguments.slots,
        service_time: Duration::from_millis(arguments.service_ms),
        history: arguments.history,
        ..backend::Options::default()
    }
}

fn link_options(arguments: args::Link) -> anyhow::Result<link::Options> {
    Ok(link::Options {
        name: arguments.name,
        control: arguments.control,
        forward_rules: arguments
            .pair
            .iter()
            .map(|text| parse_forward_rule(text))
            .collect::<anyhow::Result<_>>()?,
        faults: link::LinkFaults::default(),
        history: arguments.history,
    })
}

fn parse_forward_rule(text: &str) -> anyhow::Result<link::ForwardRule> {
    let (listen, to) = text
        .split_once('=')
        .with_context(|| format!("--pair {text}: expected LISTEN=TO, two addresses"))?;
    Ok(link::ForwardRule { listen: parse_address(listen)?, to: parse_address(to)? })
}

fn parse_address(text: &str) -> anyhow::Result<SocketAddr> {
    text.parse().with_context(|| format!("{text}: expected an IP address and port"))
}

fn load_options(arguments: args::Load) -> load::Options {
    load::Options {
        entries: arguments.entry,
        service: arguments.service,
        rate: arguments.rate,
        count: load::Options::request_count(arguments.rate, arguments.seconds),
        keyed_per_mille: arguments.keyed,
        deadline: Duration::from_millis(arguments.deadline_ms),
        attempts: arguments.attempts,
        priority: arguments.priority,
        service_ms: arguments.service_ms,
        answer_bytes: arguments.answer_bytes,
        first_call: arguments.first_call,
        seed: arguments.seed,
        history: arguments.history,
        ..load::Options::default()
    }
}

fn read_json_file<T: DeserializeOwned>(path: &Path) -> anyhow::Result<T> {
    let text =
        std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    serde_json::from_str(&text).with_context(|| format!("parsing {}", path.display()))
}
