//! How long a caller waits for a large answer of the log.

use std::time::Duration;

use daisy_model::Instant;
use daisy_workflow::LargeReadTimeout;

/// Time without any answer after which a log is treated as unresponsive.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(900);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Makes an attempt that starts at `began`, on a log that answers other calls at the times
/// `answers`. Returns when the attempt is abandoned as `Err`, or when its answer arrives after
/// `takes` as `Ok`.
fn attempt(
    timeout: &mut LargeReadTimeout,
    began: u64,
    answers: &[u64],
    takes: u64,
) -> Result<u64, u64> {
    let answered = |now: u64| answers.iter().filter(|it| **it <= now).count() as u64;
    let mut now = began;
    timeout.begin(at(now), UNRESPONSIVE_AFTER, answered(now));
    while let Some(wait) = timeout.try_wait(at(now), answered(now)) {
        assert!(!wait.is_zero());
        now += wait.as_millis() as u64;
        if now >= began + takes {
            return Ok(began + takes);
        }
    }
    Err(now)
}

/// Returns the times of answers to other calls, four a second.
fn answers() -> Vec<u64> {
    (0..200).map(|it| it * 250).collect()
}

/// Abandoned after the usual time, the read never got its answer.
#[test]
fn a_slow_answer_is_awaited_while_the_log_answers_other_calls() {
    let mut timeout = LargeReadTimeout::default();

    let answered_at = attempt(&mut timeout, 1_000, &answers(), 2_200);

    assert_eq!(answered_at, Ok(3_200));
}

#[test]
fn each_attempt_waits_longer_until_the_answer_arrives() {
    let mut timeout = LargeReadTimeout::default();
    let (mut now, mut attempt_lengths) = (1_000, Vec::new());

    let answered_after = loop {
        match attempt(&mut timeout, now, &answers(), 5_000) {
            Ok(answered_after) => break answered_after - now,
            Err(abandoned_at) => {
                attempt_lengths.push(abandoned_at - now);
                now = abandoned_at + 150;
            }
        }
    };

    assert!(attempt_lengths.is_sorted_by(|a, b| a < b), "{attempt_lengths:?}");
    assert_eq!((answered_after, timeout.has_timed_out()), (5_000, true));
}

/// No call is answered after the start of the read.
#[test]
fn an_unresponsive_log_is_detected_as_soon_as_by_any_other_call() {
    let mut timeout = LargeReadTimeout::default();

    let first = attempt(&mut timeout, 1_000, &[900, 990], u64::MAX / 2);
    let second = attempt(&mut timeout, 2_050, &[900, 990], u64::MAX / 2);

    assert_eq!((first, second), (Err(1_900), Err(2_950)));
    assert!(!timeout.has_timed_out());
}

/// Attempts that a slow log did not answer do not delay the detection of a later outage.
#[test]
fn an_unresponsive_log_is_detected_as_soon_after_slow_attempts() {
    let mut timeout = LargeReadTimeout::default();
    let slow = attempt(&mut timeout, 1_000, &answers(), u64::MAX / 2);

    let unresponsive = attempt(&mut timeout, 60_000, &answers(), u64::MAX / 2);

    assert!(slow.is_err());
    assert_eq!(unresponsive, Err(60_900));
}

/// The log answers other calls but never this one.
#[test]
fn no_attempt_waits_longer_than_the_limit() {
    let mut timeout = LargeReadTimeout::default();
    let answers: Vec<u64> = (0..1_000).map(|it| it * 250).collect();
    let mut now = 0;

    for _ in 0..20 {
        let Err(abandoned_at) = attempt(&mut timeout, now, &answers, u64::MAX / 2) else {
            panic!("an answer arrived");
        };
        assert!(Duration::from_millis(abandoned_at - now) <= LargeReadTimeout::TIMEOUT_MAX);
        now = abandoned_at + 150;
    }
}
