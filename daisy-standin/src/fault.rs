//! Fault switches of the stand-ins.

use std::{sync::Mutex, time::Duration};

use daisy_history::EventKind;
use serde::{Deserialize, Serialize};

use crate::recorder::{Recorder, lock};

/// The fault switches of all stand-ins. A stand-in refuses a switch that it does not have, with an
/// error that names the switch.
///
/// Setting the switches replaces all of them, so `{}` ends all faults.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Answers 503 to every request, without carrying it out.
    pub down: bool,
    /// Closes each connection at its first request, without carrying it out.
    pub refuse: bool,
    /// Delay in milliseconds before a request is handled.
    pub slow_ms: u64,
    /// Closes the connection of each request with one of these names in `daisy-from`, without carrying
    /// it out.
    pub cut: Vec<String>,
    /// Number of next requests that are carried out but whose answers are lost.
    pub lose_answers: u32,
    /// Share of requests, in thousandths, that are carried out but whose answers are lost.
    pub lose_per_mille: u32,
    /// Seed of the random choice for `lose_per_mille`.
    pub seed: u64,
    /// Platform: number of next appends that are appended twice.
    pub double_appends: u32,
    /// Worker: number of next calls before which the preceding call is carried out once more.
    pub replay: u32,
    /// Worker: number of next calls that get no answer and are carried out `late_ms` later, as if the
    /// network had delayed them.
    pub late_calls: u32,
    /// Worker: every start of a task fails.
    pub fail_everything: bool,
    /// Worker: starts tasks that exceed its free capacity, so that only its holder's accounting
    /// prevents too much work on it.
    pub overcommit: bool,
    /// Worker: accepts stale epochs and does not report newer ones, to show what happens without
    /// fencing.
    pub unfenced: bool,
    /// Backend server: rejects new requests as not run and announces in its answers that it is leaving.
    pub leaving: bool,
    /// Backend server: rejects requests to these services as not run.
    pub absent: Vec<String>,
    /// Backend server: number of next answers that are cut off in the middle of the body.
    pub truncate: u32,
    /// Backend server: number of next answers that are sent twice on their connection.
    pub doubled: u32,
    /// Backend server: number of next answers that are sent with the id of another request.
    pub wrong_id: u32,
    /// Backend server: number of next requests that get the complete answer, with its id, of the request
    /// answered before.
    pub reorder: u32,
    /// Worker: delay of `late_calls` in milliseconds. Backend server: delay of each answer after the
    /// run, in milliseconds. Platform: milliseconds between an append and the loss of its answer.
    pub late_ms: u64,
}

/// Why fault switches are refused. No switch was changed.
#[derive(Debug, thiserror::Error)]
pub enum FaultError {
    /// The JSON does not parse or has an unknown field.
    #[error("faults: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The stand-in does not have this switch.
    #[error("faults: a {standin} has no switch {field}")]
    Unsupported {
        /// The kind of stand-in.
        standin: &'static str,
        /// The name of the switch.
        field: String,
    },
}

/// How a stand-in treats a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestDecision {
    /// Handles it normally.
    Handle,
    /// Answers 503.
    Unavailable,
    /// Closes the connection.
    Close,
}

/// The fault switches of one stand-in.
#[derive(Debug)]
pub(crate) struct FaultSwitches {
    recorder: Recorder,
    standin: &'static str,
    /// Names of the switches that this stand-in has besides the common ones.
    own_switches: &'static [&'static str],
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    rng: fastrand::Rng,
}

/// Names of the switches that every stand-in has.
const COMMON_SWITCHES: [&str; 7] =
    ["down", "refuse", "slow_ms", "cut", "lose_answers", "lose_per_mille", "seed"];

impl FaultSwitches {
    /// Returns the switches, all off, of a stand-in that has the common switches and `own_switches`.
    pub(crate) fn new(
        recorder: &Recorder,
        standin: &'static str,
        own_switches: &'static [&'static str],
    ) -> FaultSwitches {
        let state = State { faults: Faults::default(), rng: fastrand::Rng::with_seed(0) };
        FaultSwitches {
            recorder: recorder.clone(),
            standin,
            own_switches,
            state: Mutex::new(state),
        }
    }

    /// Replaces all switches by `faults`.
    pub(crate) fn set(&self, faults: Faults) -> Result<(), FaultError> {
        self.check_supported(&faults)?;
        self.recorder.record(EventKind::Fault { what: serde_json::to_string(&faults)? });
        let mut state = lock(&self.state);
        if faults.leaving && !state.faults.leaving {
            self.recorder.record(EventKind::Leaving);
        }
        state.rng = fastrand::Rng::with_seed(faults.seed);
        state.faults = faults;
        Ok(())
    }

    /// Replaces all switches by those in `json`.
    pub(crate) fn set_json(&self, json: &[u8]) -> Result<(), FaultError> {
        self.set(serde_json::from_slice(json)?)
    }

    /// Returns a copy of the current switches.
    pub(crate) fn get(&self) -> Faults {
        lock(&self.state).faults.clone()
    }

    /// Calls `f` with the current switches, which it may change.
    pub(crate) fn with<T>(&self, f: impl FnOnce(&mut Faults) -> T) -> T {
        f(&mut lock(&self.state).faults)
    }

    /// Decides how to treat a request from the process `from`, after the delay `slow_ms`.
    pub(crate) async fn decide(&self, from: &str) -> RequestDecision {
        let slow_ms = lock(&self.state).faults.slow_ms;
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
        let faults = &lock(&self.state).faults;
        if faults.refuse || faults.cut.iter().any(|name| name == from) {
            RequestDecision::Close
        } else if faults.down {
            RequestDecision::Unavailable
        } else {
            RequestDecision::Handle
        }
    }

    /// Returns whether the answer to a request that was carried out must be lost, and counts
    /// `lose_answers` down.
    pub(crate) fn should_lose_answer(&self) -> bool {
        let state = &mut *lock(&self.state);
        if count_down(&mut state.faults.lose_answers) {
            return true;
        }
        let share = state.faults.lose_per_mille;
        share > 0 && state.rng.u32(0..1000) < share
    }

    fn check_supported(&self, faults: &Faults) -> Result<(), FaultError> {
        let given = serde_json::to_value(faults)?;
        let off = serde_json::to_value(Faults::default())?;
        let (Some(given), Some(off)) = (given.as_object(), off.as_object()) else {
            return Ok(());
        };
        for (field, value) in given {
            let known = COMMON_SWITCHES.contains(&field.as_str())
                || self.own_switches.contains(&field.as_str());
            if !known && off.get(field) != Some(value) {
                return Err(FaultError::Unsupported {
                    standin: self.standin,
                    field: field.clone(),
                });
            }
        }
        Ok(())
    }
}

/// Decrements a counter unless it is zero, and returns whether it was above zero.
pub(crate) fn count_down(counter: &mut u32) -> bool {
    let armed = *counter > 0;
    *counter = counter.saturating_sub(1);
    armed
}
