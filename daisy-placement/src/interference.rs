//! How much one kind of work slows another down, learnt from late reports.

use std::time::Duration;

use daisy_model::SortedMap;

use crate::job_family::JobFamily;

/// What a pair of kinds was seen to do.
#[derive(Debug, Clone, Copy)]
struct Pair {
    /// Slowdown that one neighbour adds, in thousandths.
    added: f32,
    /// When it was last learnt from, in samples.
    last_sample: u32,
}

/// Slowdowns by pair of kinds, bounded.
///
/// A task's slowdown is taken for the sum of what its neighbours add; each sample's error
/// is shared out among the neighbours present (normalised least mean squares). A sum is
/// not the truth, but it orders neighbours rightly and needs two numbers a pair.
#[derive(Debug, Default)]
pub struct Interference {
    pairs: SortedMap<(JobFamily, JobFamily), Pair>,
    samples: u32,
}

impl Interference {
    /// Pairs remembered; the one not learnt from for longest is forgotten first.
    pub const MAX_PAIRS: usize = 4_096;
    /// Share of a sample's error that is learnt where more was seen than expected.
    ///
    /// Noise comes in waves, and the tail is made in them: what a kind does at its worst is
    /// remembered for longer than what it does in between.
    const RISE_RATE: f32 = 0.1;
    /// The same where less was seen.
    const FALL_RATE: f32 = 0.02;
    /// Neighbours that are limited to next to nothing teach nothing.
    const MIN_POWER: f32 = 0.05;
    /// No neighbour makes a task faster.
    const MIN_SLOWDOWN: f32 = 0.0;

    /// The number of pairs known.
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// Learns from the slowdown of a task of `victim` beside `neighbours`.
    ///
    /// Neighbours are weighed by kind: 1 for each task that is not limited, less for one
    /// that is. `slowdown` is in thousandths, 1000 being undisturbed.
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

    /// Forgets a little of everything, for `elapsed` since the last time.
    ///
    /// Work that is limited for what was learnt of it shows nothing new of itself: without
    /// this, a kind that was blamed wrongly once would be limited for ever.
    pub fn decay(&mut self, elapsed: Duration) {
        let remaining = 0.5_f32.powf(elapsed.as_secs_f32() / Interference::HALF_LIFE_SECONDS);
        for (_, pair) in self.pairs.iter_mut() {
            pair.added *= remaining;
        }
    }

    /// Seconds after which half of what was learnt is forgotten: longer than a wave of noise
    /// and the quiet after it.
    const HALF_LIFE_SECONDS: f32 = 300.0;

    /// The slowdown that neighbours are expected to add to a task, in thousandths.
    pub fn slowdown_of_all(&self, victim: JobFamily, neighbours: &[(JobFamily, u32)]) -> u32 {
        let each = neighbours
            .iter()
            .map(|(family, count)| self.slowdown_of_one(victim, *family) * *count as f32);
        each.sum::<f32>() as u32
    }

    /// The slowdown that one neighbour is expected to add, in thousandths.
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

    /// Forgets the older half of the pairs, so that the search is paid once for many.
    fn forget_oldest(&mut self) {
        let mut ages: Vec<u32> = self.pairs.iter().map(|(_, pair)| pair.last_sample).collect();
        ages.sort_unstable();
        let middle = ages[ages.len() / 2];
        self.pairs.retain(|_, pair| pair.last_sample > middle);
    }
}
