//! `daisyshift standin` and `daisyshift load`: from arguments to the stand-ins' options.

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
/// If an address cannot be taken, or a file cannot be read or written.
pub fn run(options: args::Standin) -> anyhow::Result<ExitCode> {
    match options.kind {
        args::StandinKind::Platform(it) => runtime()?.block_on(platform::run(platform(it)?))?,
        args::StandinKind::Worker(it) => runtime()?.block_on(worker::run(worker(it)?))?,
        args::StandinKind::Backend(it) => runtime()?.block_on(backend::run(backend(it)))?,
        args::StandinKind::Link(it) => runtime()?.block_on(link::run(link(it)?))?,
    }
    Ok(ExitCode::SUCCESS)
}

/// Makes requests and prints what came of them; succeeds when every answer was whole and
/// its caller's own.
///
/// # Errors
///
/// If no entry VM is named or the history cannot be written.
pub fn run_load(options: args::Load) -> anyhow::Result<ExitCode> {
    anyhow::ensure!(!options.entry.is_empty(), "--entry: name at least one entry VM");
    let rate_is_good = options.rate.is_finite() && options.rate > 0.0;
    anyhow::ensure!(rate_is_good, "--rate: must be a number above 0");
    let report = runtime()?.block_on(load::run(load_options(options)))?;
    println!("{report}");
    Ok(if report.wrong == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn platform(it: args::Platform) -> anyhow::Result<platform::Options> {
    let mut options = platform::Options { listen: it.listen, ..platform::Options::default() };
    options.vms = it.vms.as_deref().map(read_json).transpose()?.unwrap_or_default();
    options.vm_lag = Duration::from_millis(it.vm_lag_ms);
    options.log.keep_records = it.keep_records;
    options.log.appends_per_second = it.appends;
    options.history = it.history;
    Ok(options)
}

fn worker(it: args::Worker) -> anyhow::Result<worker::Options> {
    let capacity = Resources {
        cpu_milli: it.cpu_milli,
        memory_mib: it.memory_mib,
        accelerators: it.accelerators,
    };
    let worker = WorkerOptions {
        capacity,
        run_time: Some(Duration::from_millis(it.run_ms)),
        jobs: it.jobs.as_deref().map(read_json).transpose()?.unwrap_or_default(),
        ..WorkerOptions::default()
    };
    let service_time = Duration::from_millis(it.service_ms);
    let beside = it.backend.map(|listen| backend::Options {
        name: it.name.clone(),
        listen,
        service_time,
        ..backend::Options::default()
    });
    Ok(worker::Options {
        name: it.name,
        control: it.control,
        worker,
        backend: beside,
        history: it.history,
    })
}

fn backend(it: args::Backend) -> backend::Options {
    backend::Options {
        name: it.name,
        listen: it.listen,
        slots: it.slots,
        service_time: Duration::from_millis(it.service_ms),
        history: it.history,
        ..backend::Options::default()
    }
}

fn link(it: args::Link) -> anyhow::Result<link::Options> {
    Ok(link::Options {
        name: it.name,
        control: it.control,
        forward_rules: it.pair.iter().map(|text| pair(text)).collect::<anyhow::Result<_>>()?,
        faults: link::LinkFaults::default(),
        history: it.history,
    })
}

fn pair(text: &str) -> anyhow::Result<link::ForwardRule> {
    let (listen, to) = text
        .split_once('=')
        .with_context(|| format!("--pair {text}: expected LISTEN=TO, two addresses"))?;
    Ok(link::ForwardRule { listen: address(listen)?, to: address(to)? })
}

fn address(text: &str) -> anyhow::Result<SocketAddr> {
    text.parse().with_context(|| format!("{text}: expected an IP address and port"))
}

fn load_options(it: args::Load) -> load::Options {
    load::Options {
        entries: it.entry,
        service: it.service,
        rate: it.rate,
        count: load::Options::request_count(it.rate, it.seconds),
        keyed_per_mille: it.keyed,
        deadline: Duration::from_millis(it.deadline_ms),
        attempts: it.attempts,
        priority: it.priority,
        service_ms: it.service_ms,
        answer_bytes: it.answer_bytes,
        first_call: it.first_call,
        seed: it.seed,
        history: it.history,
        ..load::Options::default()
    }
}

fn read_json<T: DeserializeOwned>(path: &Path) -> anyhow::Result<T> {
    let text =
        std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    serde_json::from_str(&text).with_context(|| format!("{}", path.display()))
}
