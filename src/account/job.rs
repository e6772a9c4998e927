//! One job's way, from its lines.

use daisy_model::SortedMap;

use crate::lines::Line;

/// What a moment of a job's time went to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// No task of it had been started yet.
    FirstStart,
    /// Some had ended, and none ran: others waited for room, or their turn was not seen yet.
    Waiting,
    /// Tasks ran that were held back.
    HeldBack,
    /// Tasks ran whose work was lost, as they were stopped, failed or lost with their worker.
    Lost,
    /// One last task of a step of several ran.
    LastTask,
    /// Tasks ran at full pace.
    Work,
}

impl Cause {
    /// All causes.
    pub const ALL: [Cause; 6] = [
        Cause::FirstStart,
        Cause::Waiting,
        Cause::HeldBack,
        Cause::Lost,
        Cause::LastTask,
        Cause::Work,
    ];

    /// The cause in one word.
    pub fn word(self) -> &'static str {
        match self {
            Cause::FirstStart => "first_start",
            Cause::Waiting => "waiting",
            Cause::HeldBack => "held_back",
            Cause::Lost => "lost",
            Cause::LastTask => "last_task",
            Cause::Work => "work",
        }
    }
}

/// A run of a task; times in seconds.
#[derive(Debug, Clone)]
struct Run {
    step: String,
    from: f64,
    until: Option<f64>,
    /// Whether its work counts: it ended as done, or what it did is saved.
    kept: bool,
    /// Shares that were ordered, and when.
    paces: Vec<(f64, f64)>,
}

/// A job.
#[derive(Debug, Default)]
pub struct Job {
    accepted: Option<f64>,
    ended: Option<f64>,
    kind: Option<String>,
    /// Estimated work of all its tasks, in milliseconds of a core.
    work_ms: u64,
    completed: bool,
    objective_s: f64,
    /// By task and number of the start.
    runs: SortedMap<(String, u32), Run>,
}

impl Job {
    /// Takes a line in; lines come in the order of time.
    pub fn take(&mut self, line: &Line) {
        let Some(now) = line.seconds() else { return };
        match line.name() {
            "submitted" if line.is("submitted", "stored") => {
                self.accepted = self.accepted.or(Some(now));
                self.kind = self.kind.take().or(line.value("kind").map(str::to_owned));
                self.work_ms = line.number("work_ms").unwrap_or_default();
            }
            "start" if line.is("start", "done") => self.start(now, line),
            "run_ended" | "run_lost" => self.end_run(now, line),
            "pace" if line.is("pace", "done") => {
                if let (Some(run), Some(percent)) = (self.run(line), line.number::<f64>("percent"))
                {
                    run.paces.push((now, percent / 100.0));
                }
            }
            "job_ended" => {
                self.ended = self.ended.or(Some(now));
                self.completed |= line.is("job_ended", "completed");
                self.kind = line.value("kind").map(str::to_owned);
                self.objective_s = line.number::<f64>("objective_ms").unwrap_or_default() / 1_000.0;
            }
            _ => {}
        }
    }

    fn key(line: &Line) -> Option<(String, u32)> {
        Some((line.value("task")?.to_owned(), line.number("run")?))
    }

    fn run(&mut self, line: &Line) -> Option<&mut Run> {
        self.runs.get_mut(&Job::key(line)?)
    }

    fn start(&mut self, now: f64, line: &Line) {
        let Some(key) = Job::key(line) else { return };
        let step = key.0.rsplit_once('.').map_or(String::new(), |(step, _)| step.to_owned());
        let run = Run { step, from: now, until: None, kept: false, paces: Vec::new() };
        self.runs.get_or_insert_with(key, || run);
    }

    fn end_run(&mut self, now: f64, line: &Line) {
        if let Some(run) = self.run(line) {
            run.until = run.until.or(Some(now));
            let saved = line.name() == "run_ended" && line.value("saved") == Some("true");
            run.kept |= saved || line.is("run_ended", "done");
        }
    }

    /// `lasting`, `once` or `best_effort`.
    pub fn kind(&self) -> &str {
        self.kind.as_deref().unwrap_or("unknown")
    }

    /// Estimated work of all its tasks, in milliseconds of a core; 0 if no line tells.
    pub fn work_ms(&self) -> u64 {
        self.work_ms
    }

    /// Whether all its tasks have ended as done.
    pub fn is_completed(&self) -> bool {
        self.completed
    }

    /// From its acceptance to its end, in seconds; `None` if one is not in the lines.
    pub fn latency(&self) -> Option<f64> {
        Some((self.ended? - self.accepted?).max(0.0))
    }

    /// Seconds after its objective; negative if it was in time.
    pub fn late_by(&self) -> f64 {
        self.latency().unwrap_or_default() - self.objective_s
    }

    /// Seconds of its latency that went to `cause`.
    pub fn seconds(&self, cause: Cause) -> f64 {
        self.moments().iter().map(|(from, until)| (until - from) * self.share(*from, cause)).sum()
    }

    /// The spans between any two changes.
    fn moments(&self) -> Vec<(f64, f64)> {
        let (Some(from), Some(until)) = (self.accepted, self.ended) else { return Vec::new() };
        let mut at = vec![from, until];
        for (_, run) in self.runs.iter() {
            at.push(run.from);
            at.extend(run.until);
            at.extend(run.paces.iter().map(|(at, _)| *at));
        }
        at.retain(|it| (from..=until).contains(it));
        at.sort_by(f64::total_cmp);
        at.windows(2).map(|it| (it[0], it[1])).filter(|(a, b)| b > a).collect()
    }

    /// The part of the moment at `at` that went to `cause`; all causes add up to 1.
    fn share(&self, at: f64, cause: Cause) -> f64 {
        let here = |it: &&Run| it.from <= at && it.until.is_none_or(|until| at < until);
        let running: Vec<&Run> = self.runs.iter().map(|(_, it)| it).filter(here).collect();
        if running.is_empty() {
            let begun = self.runs.iter().any(|(_, it)| it.from <= at);
            let now = if begun { Cause::Waiting } else { Cause::FirstStart };
            return f64::from(u8::from(now == cause));
        }
        let last = self.is_last(&running);
        let part = |run: &&Run| {
            let pace = run.pace(at);
            match (cause, run.kept) {
                (Cause::Lost, kept) => f64::from(u8::from(!kept)),
                (Cause::HeldBack, true) => 1.0 - pace,
                (Cause::LastTask, true) if last => pace,
                (Cause::Work, true) if !last => pace,
                _ => 0.0,
            }
        };
        running.iter().map(part).sum::<f64>() / running.len() as f64
    }

    /// Whether all that runs is one task of a step that has others.
    fn is_last(&self, running: &[&Run]) -> bool {
        let [one] = running else { return false };
        self.runs.iter().filter(|(_, it)| it.step == one.step).count() > 1
    }
}

impl Run {
    /// The share of its processor time at which it may work at `at`.
    fn pace(&self, at: f64) -> f64 {
        let ordered = self.paces.iter().rev().find(|(when, _)| *when <= at);
        ordered.map_or(1.0, |(_, share)| *share)
    }
}
