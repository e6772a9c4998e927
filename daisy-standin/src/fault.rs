//! Fault switches of the stand-ins.

use std::{sync::Mutex, time::Duration};

use daisy_history::EventKind;
use serde::{Deserialize, Serialize};

use crate::recorder::{Recorder, lock};

/// All fault switches; what a stand-in has no use for, it refuses by name.
///
/// Setting the switches replaces all of them, so that `{}` heals everything.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Answers 503 to everything, without effect.
    pub down: bool,
    /// Closes each connection at the first request, without effect.
    pub refuse: bool,
    /// Milliseconds before a request is looked at.
    pub slow_ms: u64,
    /// Closes connections of requests with one of these names in `daisy-from`, without effect.
    pub cut: Vec<String>,
    /// Loses the answers of the next so many requests after they have taken effect.
    pub lose_answers: u32,
    /// Loses this share of answers after their effect, in thousandths.
    pub lose_per_mille: u32,
    /// Seeds `lose_per_mille`.
    pub seed: u64,
    /// Platform: takes the next so many appends twice.
    pub double_appends: u32,
    /// Worker: before each of the next so many calls, carries out the call before it once more.
    pub replay: u32,
    /// Worker: the next so many calls get no answer and are carried out `late_ms` later, as
    /// when the network holds them back.
    pub late_calls: u32,
    /// Worker: every task that it is told to start fails.
    pub fail_everything: bool,
    /// Worker: starts tasks that it has no room for, so that only its holder's sums stand
    /// between it and too much work.
    pub overcommit: bool,
    /// Worker: accepts stale epochs and tells of no newer ones, to show what fencing is for.
    pub unfenced: bool,
    /// Backend server: refuses new requests as not run and says in its answers that it leaves.
    pub leaving: bool,
    /// Backend server: refuses these services as not run.
    pub absent: Vec<String>,
    /// Backend server: breaks off the next so many answers in the middle of the body.
    pub truncate: u32,
    /// Backend server: sends the next so many answers twice on their connection.
    pub doubled: u32,
    /// Backend server: sends the next so many answers with another request's id.
    pub wrong_id: u32,
    /// Backend server: sends the next so many requests the whole answer of another one.
    pub reorder: u32,
    /// Worker: milliseconds by which `late_calls` are late. Backend server: milliseconds by
    /// which each answer is held back after the run. Platform: milliseconds from an append's
    /// effect to the loss of its answer.
    pub late_ms: u64,
}

/// Why fault switches are refused; nothing was changed.
#[derive(Debug, thiserror::Error)]
pub enum FaultError {
    /// The JSON does not parse or has an unknown field.
    #[error("faults: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A switch that this stand-in does not have.
    #[error("faults: a {standin} has no switch {field}")]
    Unsupported {
        /// The kind of stand-in.
        standin: &'static str,
        /// The field's name.
        field: String,
    },
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestDecision {
    /// Handle it.
    Handle,
    /// Answer 503.
    Unavailable,
    /// Close the connection.
    Close,
}

/// The switches of one stand-in.
#[derive(Debug)]
pub(crate) struct FaultSwitches {
    recorder: Recorder,
    standin: &'static str,
    own_switches: &'static [&'static str],
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    rng: fastrand::Rng,
}

const COMMON_SWITCHES: [&str; 7] =
    ["down", "refuse", "slow_ms", "cut", "lose_answers", "lose_per_mille", "seed"];

impl FaultSwitches {
    /// Switches, all off, of a stand-in that has those of every stand-in and its `own_switches`.
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

    /// Replaces all switches.
    pub(crate) fn set(&self, faults: Faults) -> Result<(), FaultError> {
        self.check(&faults)?;
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

    /// The switches as they are.
    pub(crate) fn get(&self) -> Faults {
        lock(&self.state).faults.clone()
    }

    /// Looks at the switches with `f`, which may count them down.
    pub(crate) fn with<T>(&self, f: impl FnOnce(&mut Faults) -> T) -> T {
        f(&mut lock(&self.state).faults)
    }

    /// Decides on a request of the process `from`, after the wait that is set.
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

    /// Whether the answer to a request that has taken effect is lost.
    pub(crate) fn should_lose_answer(&self) -> bool {
        let state = &mut *lock(&self.state);
        if count_down(&mut state.faults.lose_answers) {
            return true;
        }
        let share = state.faults.lose_per_mille;
        share > 0 && state.rng.u32(0..1000) < share
    }

    fn check(&self, faults: &Faults) -> Result<(), FaultError> {
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

/// Takes one from a counter that is not zero.
pub(crate) fn count_down(counter: &mut u32) -> bool {
    let armed = *counter > 0;
    *counter = counter.saturating_sub(1);
    armed
}
