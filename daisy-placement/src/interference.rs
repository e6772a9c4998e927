//! How much one kind of work slows another down, learnt from late reports.

use std::time::Duration;

use daisy_model::SortedMap;

use crate::kind::Kind;

/// What a pair of kinds was seen to do.
#[derive(Debug, Clone, Copy)]
struct Pair {
    /// Slowdown that one neighbour adds, in thousandths.
    added: f32,
    /// When it was last learnt from, in samples.
    touched: u32,
}

/// Slowdowns by pair of kinds, bounded.
///
/// A task's slowdown is taken for the sum of what its neighbours add; each sample's error
/// is shared out among the neighbours present (normalised least mean squares). A sum is
/// not the truth, but it orders neighbours rightly and needs two numbers a pair.
#[derive(Debug, Default)]
pub struct Interference {
    pairs: SortedMap<(Kind, Kind), Pair>,
    samples: u32,
}

impl Interference {
    /// Pairs remembered; the one not learnt from for longest is forgotten first.
    pub const MOST: usize = 4_096;
    /// Share of a sample's error that is learnt where more was seen than expected.
    ///
    /// Noise comes in waves, and the tail is made in them: what a kind does at its worst is
    /// remembered for longer than what it does in between.
    const RISE: f32 = 0.1;
    /// The same where less was seen.
    const FALL: f32 = 0.02;
    /// Neighbours that are limited to next to nothing teach nothing.
    const LEAST_POWER: f32 = 0.05;
    /// No neighbour makes a task faster.
    const LEAST: f32 = 0.0;

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
    pub fn learn(&mut self, victim: Kind, neighbours: &[(Kind, f32)], slowdown: u32) {
        let power: f32 = neighbours.iter().map(|(_, weight)| weight * weight).sum();
        if power < Interference::LEAST_POWER {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let seen = slowdown.saturating_sub(1000) as f32;
        let expected: f32 =
            neighbours.iter().map(|(kind, weight)| self.pair(victim, *kind) * weight).sum();
        let error = seen - expected;
        let rate = if error > 0.0 { Interference::RISE } else { Interference::FALL };
        for (kind, weight) in neighbours.iter().filter(|(_, weight)| *weight > 0.0) {
            self.correct(victim, *kind, rate * error * weight / power);
        }
    }

    /// Forgets a little of everything, for `passed` since the last time.
    ///
    /// Work that is limited for what was learnt of it shows nothing new of itself: without
    /// this, a kind that was blamed wrongly once would be limited for ever.
    pub fn fade(&mut self, passed: Duration) {
        let rest = 0.5_f32.powf(passed.as_secs_f32() / Interference::HALF_LIFE);
        for (_, pair) in self.pairs.iter_mut() {
            pair.added *= rest;
        }
    }

    /// Seconds after which half of what was learnt is forgotten: longer than a wave of noise
    /// and the quiet after it.
    const HALF_LIFE: f32 = 300.0;

    /// The slowdown that neighbours are expected to add to a task, in thousandths.
    pub fn added(&self, victim: Kind, neighbours: &[(Kind, u32)]) -> u32 {
        let each = neighbours.iter().map(|(kind, count)| self.pair(victim, *kind) * *count as f32);
        each.sum::<f32>() as u32
    }

    /// The slowdown that one neighbour is expected to add, in thousandths.
    pub fn pair(&self, victim: Kind, neighbour: Kind) -> f32 {
        self.pairs.get(&(victim, neighbour)).map_or(0.0, |pair| pair.added)
    }

    fn correct(&mut self, victim: Kind, neighbour: Kind, step: f32) {
        let touched = self.samples;
        if let Some(pair) = self.pairs.get_mut(&(victim, neighbour)) {
            pair.added = (pair.added + step).max(Interference::LEAST);
            pair.touched = touched;
            return;
        }
        if self.pairs.len() >= Interference::MOST {
            self.forget_oldest();
        }
        let added = step.max(Interference::LEAST);
        self.pairs.insert((victim, neighbour), Pair { added, touched });
    }

    /// Forgets the older half of the pairs, so that the search is paid once for many.
    fn forget_oldest(&mut self) {
        let mut ages: Vec<u32> = self.pairs.iter().map(|(_, pair)| pair.touched).collect();
        ages.sort_unstable();
        let middle = ages[ages.len() / 2];
        self.pairs.retain(|_, pair| pair.touched > middle);
    }
}
