//! Plays one case of the second review: `review-standins-2 CASE ROOT FOLDER`.

mod checkpoint;
mod fleet;
mod foreign;
mod gang;
mod history;
mod kind;
mod lasting;
mod node;
mod pending;
mod record;
mod serve;
mod store;
mod worker;

use std::{path::PathBuf, process::ExitCode, time::Duration};

use fleet::{Setting, Verdict};
use record::Recorder;

#[tokio::main]
async fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(root), Some(folder)) = (args.next(), args.next(), args.next()) else {
        eprintln!("usage: review-standins-2 CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let Ok(recorder) = Recorder::new(&folder.join("record.txt")) else {
        return ExitCode::from(2);
    };
    let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let setting = Setting { root, folder: temporary.clone(), recorder: recorder.clone(), trouble };
    let playing = async {
        match case.as_str() {
            "pending" => pending::run(&setting).await,
            "kind" => kind::run(&setting).await,
            "checkpoint" => checkpoint::run(&setting).await,
            "foreign" => foreign::run(&setting).await,
            "history" => history::run(&setting).await,
            "lasting" => lasting::run(&setting).await,
            "gang" => gang::run(&setting).await,
            _ => Verdict::CouldNotRun,
        }
    };
    let verdict = tokio::select! {
        it = tokio::time::timeout(Duration::from_secs(115), playing) => it.unwrap_or(Verdict::CouldNotRun),
        _ = tokio::signal::ctrl_c() => Verdict::CouldNotRun,
        _ = terminated() => Verdict::CouldNotRun,
    };
    recorder.say(format!("case {case}, trouble {trouble}: {verdict:?}"));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::CouldNotRun => ExitCode::from(2),
    }
}

/// Waits for SIGTERM, so that the processes of the case are ended then too.
async fn terminated() {
    use tokio::signal::unix::{SignalKind, signal};
    match signal(SignalKind::terminate()) {
        Ok(mut it) => drop(it.recv().await),
        Err(_) => std::future::pending().await,
    }
}
