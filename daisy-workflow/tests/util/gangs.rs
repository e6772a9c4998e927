//! What the platform does with gangs: members work only while all of one run are present.

use daisy_model::{Instant, SortedMap};
use daisy_workflow::{Ledger, Outcome, TaskId};

use super::worker::{FakeRun, FakeWorker};

/// How long a member waits for the others, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 3_000;

/// The runs of gangs whose members were all present at a time.
#[derive(Debug, Clone, Default)]
pub struct Gangs {
    formed: SortedMap<(TaskId, u32), ()>,
    /// Runs of members that ended because others were missing.
    pub incomplete: Vec<TaskId>,
}

impl Gangs {
    /// Lets members work, or ends them, by which members of their run are present.
    pub fn advance(&mut self, now: Instant, workers: &mut [FakeWorker], ledger: &Ledger) {
        let runs = workers.iter().flat_map(|it| it.runs.iter().map(|it| (it.task, it.run)));
        let mut gangs: Vec<((TaskId, u32), usize)> = Vec::new();
        for (task, run) in runs {
            let key = (TaskId { index: 0, ..task }, run);
            let Some(job) = ledger.job(task.job) else { continue };
            if !job.spec.steps[usize::from(task.step)].gang {
                continue;
            }
            match gangs.iter_mut().find(|(it, _)| *it == key) {
                Some((_, present)) => *present += 1,
                None => gangs.push((key, 1)),
            }
        }
        for (key @ (first, run), present) in gangs {
            let count = ledger.job(first.job).expect("found before").spec.steps
                [usize::from(first.step)]
            .count as usize;
            let of_gang = |task: TaskId| TaskId { index: 0, ..task } == first;
            if present == count {
                self.formed.insert(key, ());
            }
            let has_formed = self.formed.contains_key(&key);
            let done = |it: &FakeWorker| {
                it.ends
                    .iter()
                    .any(|it| of_gang(it.task) && it.run == run && it.outcome == Outcome::Done)
            };
            let outcome = match workers.iter().any(done) {
                true => Outcome::Done,
                false => Outcome::GangMemberEnded,
            };
            for worker in workers.iter_mut() {
                let clock = worker.clock(now);
                if has_formed && present < count {
                    worker.end_runs(now, outcome, |it| of_gang(it.task) && it.run == run);
                    continue;
                }
                let members = worker.runs.iter_mut().filter(|it| of_gang(it.task) && it.run == run);
                members.for_each(|it| it.waits_for_gang = !has_formed);
                let is_incomplete = |it: &FakeRun| {
                    of_gang(it.task)
                        && it.run == run
                        && it.waits_for_gang
                        && clock >= it.run_started_ms + GANG_TIMEOUT_MS
                };
                let incomplete = worker.runs.iter().filter(|it| is_incomplete(it));
                self.incomplete.extend(incomplete.map(|it| it.task));
                worker.end_runs(now, Outcome::GangIncomplete, is_incomplete);
            }
        }
    }
}
