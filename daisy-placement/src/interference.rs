//! Learns from delayed reports how much one family of jobs slows another one down.

use std::time::Duration;

use daisy_model::SortedMap;

use crate::job_family::JobFamily;

/// The learned slowdown of one family by another.
#[derive(Debug, Clone, Copy)]
struct Pair {
    /// The slowdown that one neighbour adds, in thousandths.
    added: f32,
    /// The number of the last sample from which this pair was learned.
    last_sample: u32,
}

/// The learned slowdowns by pair of families, bounded in number.
///
/// A task's slowdown is modelled as the sum of what its neighbours add, and each sample's error
/// is distributed over the neighbours present (normalised least mean squares). The real slowdown
/// is not a sum, but the model ranks neighbours correctly and needs only two numbers per pair.
#[derive(Debug, Default)]
pub struct Interference {
    pairs: SortedMap<(JobFamily, JobFamily), Pair>,
    samples: u32,
}

impl Interference {
    /// The maximum number of pairs; those with the oldest last sample are removed first.
    pub const MAX_PAIRS: usize = 4_096;
    /// The learning rate when more slowdown is observed than expected.
    ///
    /// Noise comes in bursts, which determine the tail latency, so the worst behaviour of a
    /// family is remembered for longer than its behaviour in between.
    const RISE_RATE: f32 = 0.1;
    /// The learning rate when less slowdown is observed than expected.
    const FALL_RATE: f32 = 0.02;
    /// Samples with less neighbour weight than this are ignored: strongly throttled neighbours give
    /// no information.
    const MIN_POWER: f32 = 0.05;
    /// The least slowdown of a pair: no neighbour makes a task faster.
    const MIN_SLOWDOWN: f32 = 0.0;

    /// Returns the number of known pairs.
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Whether no pair is known.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// Learns from the slowdown of a task of the family `victim` beside `neighbours`.
    ///
    /// Neighbours are weighted by family: 1 for each task that is not throttled, less for one
    /// that is. `slowdown` is in thousandths, 1000 meaning undisturbed.
    pub fn learn(&mut self, victim: JobFamily, neighbours: &[(JobFamily, f32)], slowdown: u32) {
        let power: f32 = neighbours.iter().map(|(_, weight)| weight * weight).sum();
        if power < Interference::MIN_POWER {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let observed = slowdown.saturating_sub(1000) as f32;
        let expected: f32 = neighbours
            .iter()
            .map(|(family, weight)| self.slowdown_of_one(victim, *family) * weight)
            .sum();
        let error = observed - expected;
        let rate = if error > 0.0 { Interference::RISE_RATE } else { Interference::FALL_RATE };
        for (family, weight) in neighbours.iter().filter(|(_, weight)| *weight > 0.0) {
            self.correct(victim, *family, rate * error * weight / power);
        }
    }

    /// Reduces all learned slowdowns for the time `elapsed` since the last call.
    ///
    /// Throttled work gives no new information on its interference. Without the decay, a family
    /// that was once treated as noisy by mistake would stay throttled for ever.
    pub fn decay(&mut self, elapsed: Duration) {
        let remaining = 0.5_f32.powf(elapsed.as_secs_f32() / Interference::HALF_LIFE_SECONDS);
        for (_, pair) in self.pairs.iter_mut() {
            pair.added *= remaining;
        }
    }

    /// The half-life of learned slowdowns, in seconds: longer than a burst of noise and the pause
    /// after it.
    const HALF_LIFE_SECONDS: f32 = 300.0;

    /// Returns the slowdown that all neighbours together are expected to add to a task, in
    /// thousandths.
    pub fn slowdown_of_all(&self, victim: JobFamily, neighbours: &[(JobFamily, u32)]) -> u32 {
        let each = neighbours
            .iter()
            .map(|(family, count)| self.slowdown_of_one(victim, *family) * *count as f32);
        each.sum::<f32>() as u32
    }

    /// Returns the slowdown that one neighbour is expected to add to a task, in thousandths.
    pub fn slowdown_of_one(&self, victim: JobFamily, neighbour: JobFamily) -> f32 {
        self.pairs.get(&(victim, neighbour)).map_or(0.0, |pair| pair.added)
    }

    fn correct(&mut self, victim: JobFamily, neighbour: JobFamily, step: f32) {
        let last_sample = self.samples;
        if let Some(pair) = self.pairs.get_mut(&(victim, neighbour)) {
            pair.added = (pair.added + step).max(Interference::MIN_SLOWDOWN);
            pair.last_sample = last_sample;
            return;
        }
        if self.pairs.len() >= Interference::MAX_PAIRS {
            self.forget_oldest();
        }
        let added = step.max(Interference::MIN_SLOWDOWN);
        self.pairs.insert((victim, neighbour), Pair { added, last_sample });
    }

    /// Removes the older half of the pairs, so that one search makes space for many insertions.
    fn forget_oldest(&mut self) {
        let mut ages: Vec<u32> = self.pairs.iter().map(|(_, pair)| pair.last_sample).collect();
        ages.sort_unstable();
        let middle = ages[ages.len() / 2];
        self.pairs.retain(|_, pair| pair.last_sample > middle);
    }
}
