//! How long a large answer of the log is waited for.

use std::time::Duration;

use daisy_model::Instant;
use daisy_workflow::LargeReadTimeout;

/// How long a log answers nothing before it counts as silent.
const SILENT_AFTER: Duration = Duration::from_millis(900);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// A try from `began` on at a log that answers other calls at the times `answers`: when it is given
/// up, or has its answer after `takes`.
fn ends(
    patience: &mut LargeReadTimeout,
    began: u64,
    answers: &[u64],
    takes: u64,
) -> Result<u64, u64> {
    let answered = |now: u64| answers.iter().filter(|it| **it <= now).count() as u64;
    let mut now = began;
    patience.begin(at(now), SILENT_AFTER, answered(now));
    while let Some(wait) = patience.try_wait(at(now), answered(now)) {
        assert!(!wait.is_zero());
        now += wait.as_millis() as u64;
        if now >= began + takes {
            return Ok(began + takes);
        }
    }
    Err(now)
}

/// Other calls are answered four times a second.
fn answers() -> Vec<u64> {
    (0..200).map(|it| it * 250).collect()
}

/// Given up after the usual time, the answer never came.
#[test]
fn a_late_answer_is_waited_for_while_the_log_answers_others() {
    let mut patience = LargeReadTimeout::default();

    let came = ends(&mut patience, 1_000, &answers(), 2_200);

    assert_eq!(came, Ok(3_200));
}

#[test]
fn each_try_lasts_longer_until_the_answer_comes() {
    let mut patience = LargeReadTimeout::default();
    let (mut now, mut lasted) = (1_000, Vec::new());

    let came = loop {
        match ends(&mut patience, now, &answers(), 5_000) {
            Ok(came) => break came - now,
            Err(gave_up) => {
                lasted.push(gave_up - now);
                now = gave_up + 150;
            }
        }
    };

    assert!(lasted.is_sorted_by(|a, b| a < b), "{lasted:?}");
    assert_eq!((came, patience.has_timed_out()), (5_000, true));
}

/// Nothing is answered from the start of the read on.
#[test]
fn a_silent_log_is_found_silent_as_soon_as_by_any_call() {
    let mut patience = LargeReadTimeout::default();

    let first = ends(&mut patience, 1_000, &[900, 990], u64::MAX / 2);
    let second = ends(&mut patience, 2_050, &[900, 990], u64::MAX / 2);

    assert_eq!((first, second), (Err(1_900), Err(2_950)));
    assert!(!patience.has_timed_out());
}

/// Tries that a slow log did not answer do not make a silence last longer.
#[test]
fn a_log_that_falls_silent_later_is_found_silent_as_soon() {
    let mut patience = LargeReadTimeout::default();
    let slow = ends(&mut patience, 1_000, &answers(), u64::MAX / 2);

    let silent = ends(&mut patience, 60_000, &answers(), u64::MAX / 2);

    assert!(slow.is_err());
    assert_eq!(silent, Err(60_900));
}

/// The log answers other calls and never this one.
#[test]
fn no_try_lasts_for_ever() {
    let mut patience = LargeReadTimeout::default();
    let answers: Vec<u64> = (0..1_000).map(|it| it * 250).collect();
    let mut now = 0;

    for _ in 0..20 {
        let Err(gave_up) = ends(&mut patience, now, &answers, u64::MAX / 2) else {
            panic!("no answer came");
        };
        assert!(Duration::from_millis(gave_up - now) <= LargeReadTimeout::TIMEOUT_MAX);
        now = gave_up + 150;
    }
}
