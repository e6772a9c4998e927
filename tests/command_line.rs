//! The output and the exit codes of the command line.

use std::{
    path::PathBuf,
    process::{Command, Output},
};

fn daisyshift(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_daisyshift")).args(args).output().expect("the binary runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Writes a file with `text` into the folder of these tests, and returns its path.
fn write_file(name: &str, text: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("command-line");
    std::fs::create_dir_all(&dir).expect("a directory for the test's files");
    let path = dir.join(name);
    std::fs::write(&path, text).expect("the test's file is written");
    path
}

#[test]
fn the_demo_answers_every_request_and_runs_every_task() {
    let output = daisyshift(&["demo", "--requests", "300"]);

    let text = stdout(&output);
    let last = text.lines().last().unwrap_or_default();
    assert_eq!(
        last, "requests=300 answered=300 refused=0 lost=0 doubled=0 tasks_done=30",
        "{text}"
    );
    assert!(output.status.success());
}

#[test]
fn check_prints_every_finding_of_settings_with_its_position() {
    let path = write_file("two-mistakes.yaml", "name: Entry\ncolour: red\n");

    let output = daisyshift(&["check", path.to_str().expect("UTF-8")]);

    let text = stdout(&output);
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains("two-mistakes.yaml:1:7: name: found \"Entry\""), "{text}");
    assert!(text.contains("two-mistakes.yaml:2:1: colour: unknown"), "{text}");
}

#[test]
fn check_prints_every_finding_of_statements_with_its_position() {
    let path = write_file("two-mistakes.daisy", "drain worker-1;\nshow everything\n");

    let output = daisyshift(&["check", path.to_str().expect("UTF-8")]);

    let text = stdout(&output);
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains("two-mistakes.daisy:1:7: "), "{text}");
    assert!(text.contains("two-mistakes.daisy:2:6: "), "{text}");
}

#[test]
fn check_prints_every_finding_of_a_policy_with_its_position() {
    let path = write_file("two-mistakes-policy.yaml", "room: 1\nlong_running_admission: {}\n");

    let output = daisyshift(&["check", "--policy", path.to_str().expect("UTF-8")]);

    let text = stdout(&output);
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains("two-mistakes-policy.yaml:1:1: room: unknown"), "{text}");
    assert!(text.contains(":2:25: protected_priority: missing"), "{text}");
}

#[test]
fn the_policy_that_is_deployed_is_good() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/policy.yaml");

    let output = daisyshift(&["check", "--policy", path]);

    assert!(output.status.success(), "{}", stdout(&output));
}

#[test]
fn check_accepts_good_statements() {
    let path = write_file("good.daisy", "drain vm worker-1;\nshow tasks\n");

    let output = daisyshift(&["check", path.to_str().expect("UTF-8")]);

    assert!(output.status.success(), "{}", stdout(&output));
}

#[test]
fn an_entry_vm_with_invalid_settings_reports_every_finding_and_does_not_start() {
    let path = write_file("bad-entry.yaml", "name: entry-1\nvm: 1\n");

    let output = daisyshift(&["entry", "--settings", path.to_str().expect("UTF-8")]);

    let text = stderr(&output);
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains("callers: missing") && text.contains("platform: missing"), "{text}");
}

#[test]
fn ctl_reports_an_entry_vm_that_does_not_answer() {
    let output = daisyshift(&["ctl", "--entry", "127.0.0.1:1", "--token", "t", "show tasks"]);

    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("no connection"), "{}", stderr(&output));
}

/// A job of two tasks waits a second for its first start; one task is throttled for two seconds,
/// and the other is stopped and completed by its second run. The seconds by cause add up to the
/// latency.
#[test]
fn account_attributes_the_whole_latency_to_causes() {
    let log_line = |second: &str, event: &str| {
        format!("2026-03-15T15:38:{second}Z [INFO] daisy_node::own: event={event}\n")
    };
    let log = [
        log_line("10.000", "submitted id=a1 outcome=stored tries=1"),
        log_line("11.000", "start id=a1 task=a1.0.0.0 run=1 worker=w1 outcome=done"),
        log_line("11.000", "start id=a1 task=a1.0.0.1 run=1 worker=w1 outcome=done"),
        log_line("11.000", "pace id=a1 task=a1.0.0.0 run=1 worker=w1 percent=0 outcome=done"),
        log_line("13.000", "pace id=a1 task=a1.0.0.0 run=1 worker=w1 percent=100 outcome=done"),
        log_line("13.000", "run_ended id=a1 task=a1.0.0.1 run=1 worker=w1 outcome=stopped"),
        log_line("14.000", "run_ended id=a1 task=a1.0.0.0 run=1 worker=w1 outcome=done"),
        log_line("15.000", "start id=a1 task=a1.0.0.1 run=2 worker=w2 outcome=done"),
        log_line("16.000", "run_ended id=a1 task=a1.0.0.1 run=2 worker=w2 outcome=done"),
        log_line(
            "16.000",
            "job_ended id=a1 outcome=completed kind=best_effort age_ms=6000 objective_ms=4000",
        ),
    ];
    let path = write_file("account.log", &log.concat());

    let output = daisyshift(&["account", path.to_str().expect("UTF-8")]);

    let text = stdout(&output);
    let summary = "kind=best_effort jobs=1 in_time=0 latency_s=6.00 first_start_s=1.00 \
                   waiting_s=1.00 held_back_s=1.00 lost_s=1.00 last_task_s=2.00 work_s=0.00";
    assert_eq!(text.lines().next(), Some(summary), "{text}");
    assert!(text.contains("id=a1 kind=best_effort late_s=2.0"), "{text}");
}

/// A task is stopped after two seconds to start elsewhere, and its progress is saved: its next run
/// resumes from there. Guards against a failure in which such work was counted as lost, so that
/// cheap moves looked like the main cause of late jobs.
#[test]
fn saved_work_is_not_counted_as_lost() {
    let log_line = |second: &str, event: &str| {
        format!("2026-03-15T15:38:{second}Z [INFO] daisy_node::own: event={event}\n")
    };
    let log = [
        log_line("10.000", "submitted id=a1 outcome=stored tries=1"),
        log_line("10.000", "start id=a1 task=a1.0.0.0 run=1 worker=w1 outcome=done"),
        log_line(
            "12.000",
            "run_ended id=a1 task=a1.0.0.0 run=1 worker=w1 outcome=stopped saved=true",
        ),
        log_line("12.500", "start id=a1 task=a1.0.0.0 run=2 worker=w2 outcome=done"),
        log_line(
            "13.500",
            "run_ended id=a1 task=a1.0.0.0 run=2 worker=w2 outcome=done saved=false",
        ),
        log_line(
            "13.500",
            "job_ended id=a1 outcome=completed kind=best_effort age_ms=3500 objective_ms=4000",
        ),
    ];
    let path = write_file("saved.log", &log.concat());

    let output = daisyshift(&["account", path.to_str().expect("UTF-8")]);

    let text = stdout(&output);
    assert!(text.contains("waiting_s=0.50 held_back_s=0.00 lost_s=0.00"), "{text}");
}

/// Guards against judging jobs by the callers' estimates, which may be off by several times: the
/// estimate allows 4 s, and the task turns out to need 2 s, a half of it at half the pace.
#[test]
fn account_judges_jobs_by_the_work_that_they_had() {
    let log_line = |second: &str, event: &str| {
        format!("2026-03-15T15:38:{second}Z [INFO] daisy_node::own: event={event}\n")
    };
    let log = [
        log_line(
            "10.000",
            "submitted id=a1 outcome=stored tries=1 kind=best_effort work_ms=900 \
             slack_permille=1500 target_latency_ms=400",
        ),
        log_line("10.000", "start id=a1 task=a1.0.0.0 run=1 worker=w1 outcome=done"),
        log_line("11.000", "pace id=a1 task=a1.0.0.0 run=1 worker=w1 percent=50 outcome=done"),
        log_line("13.000", "run_ended id=a1 task=a1.0.0.0 run=1 worker=w1 outcome=done"),
        log_line("13.300", "start id=a1 task=a1.0.1.0 run=1 worker=w1 outcome=done"),
        log_line("15.300", "run_ended id=a1 task=a1.0.1.0 run=1 worker=w1 outcome=done"),
        log_line(
            "15.300",
            "job_ended id=a1 outcome=completed kind=best_effort age_ms=5300 objective_ms=4000",
        ),
    ];
    let path = write_file("work.log", &log.concat());

    let output = daisyshift(&["account", path.to_str().expect("UTF-8")]);

    let text = stdout(&output);
    assert!(text.contains("jobs=1 in_time=1 latency_s=5.30"), "{text}");
}

/// Guards against counting a job as in time that ends within its objective, while its caller asks too
/// early, is told that it runs, and learns of its end a second later.
#[test]
fn account_shows_when_callers_were_told_of_the_end() {
    let log_line = |second: &str, event: &str| {
        format!("2026-03-15T15:38:{second}Z [INFO] daisy_node::own: event={event}\n")
    };
    let log = [
        log_line("10.000", "submitted id=a1 outcome=stored tries=1 kind=once work_ms=900"),
        log_line("10.000", "start id=a1 task=a1.0.0.0 run=1 worker=w1 outcome=done"),
        log_line("12.000", "run_ended id=a1 task=a1.0.0.0 run=1 worker=w1 outcome=done"),
        log_line(
            "12.000",
            "job_ended id=a1 outcome=completed kind=once age_ms=2000 objective_ms=2500",
        ),
        log_line("12.000", "queried id=a1 state=running held_ms=0"),
        log_line("13.000", "queried id=a1 state=completed held_ms=0"),
    ];
    let path = write_file("told.log", &log.concat());

    let output = daisyshift(&["account", path.to_str().expect("UTF-8")]);

    let text = stdout(&output);
    assert!(text.contains("kind=once jobs=1 in_time=1 latency_s=2.00"), "{text}");
    assert!(text.contains("kind=once told=1 in_time=0 told_after_s=1.00"), "{text}");
}

/// The figures of all jobs together do not show that large jobs starve while small ones complete.
#[test]
fn account_shows_how_many_of_the_largest_jobs_were_completed() {
    let log_line =
        |event: String| format!("2026-03-15T15:38:10.000Z [INFO] daisy_node::own: event={event}\n");
    let submitted = |id: u32| {
        log_line(format!(
            "submitted id=a{id} outcome=stored tries=1 kind=once work_ms={}",
            id * 100
        ))
    };
    let ended = |id: u32| {
        log_line(format!(
            "job_ended id=a{id} outcome=completed kind=once age_ms=900 objective_ms=4000"
        ))
    };
    let log: String = (1..=10).map(submitted).chain((1..=7).map(ended)).collect();
    let path = write_file("sizes.log", &log);

    let output = daisyshift(&["account", path.to_str().expect("UTF-8")]);

    let text = stdout(&output);
    let sizes = "kind=once completed largest_tenth=0/1 next_fifth=0/2 all=7/10";
    assert!(text.lines().any(|it| it == sizes), "{text}");
}

#[test]
fn unknown_arguments_are_rejected() {
    let output = daisyshift(&["demo", "--speed", "9"]);

    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("--speed"), "{}", stderr(&output));
}
