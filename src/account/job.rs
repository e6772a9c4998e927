//! The history of one job, from its log lines.

use daisy_model::SortedMap;

use crate::log_lines::LogLine;

/// The cause of a part of a job's latency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// None of the job's tasks had been started yet.
    FirstStart,
    /// Some runs had ended and none was active: the other tasks waited for free capacity, or the
    /// owner had not noticed yet that they could start.
    Waiting,
    /// Tasks ran at a reduced pace.
    Throttled,
    /// Tasks ran whose work was not saved: they were stopped, failed, or lost with their worker.
    Lost,
    /// Only one task ran, of a step with several tasks.
    LastTask,
    /// Tasks made progress.
    Work,
}

impl Cause {
    /// All causes, in the order in which they are printed.
    pub const ALL: [Cause; 6] = [
        Cause::FirstStart,
        Cause::Waiting,
        Cause::Throttled,
        Cause::Lost,
        Cause::LastTask,
        Cause::Work,
    ];

    /// Returns the name of the cause, as it is printed.
    pub fn name(self) -> &'static str {
        match self {
            Cause::FirstStart => "first_start",
            Cause::Waiting => "waiting",
            Cause::Throttled => "held_back",
            Cause::Lost => "lost",
            Cause::LastTask => "last_task",
            Cause::Work => "work",
        }
    }
}

/// What a job's objective is computed from once its work is known.
#[derive(Debug, Clone, Copy)]
struct Terms {
    /// How many times as long as its longest chain of work a job may take.
    slack: f64,
    /// What a job may take besides, in seconds.
    target_latency_s: f64,
}

/// One run of a task; times are in seconds since midnight (UTC).
#[derive(Debug, Clone)]
struct Run {
    step: String,
    started: f64,
    ended: Option<f64>,
    /// Whether the run ended as done, or its progress was saved.
    is_work_saved: bool,
    /// The times of orders that set the run's pace, each with the ordered share of its processor
    /// time.
    pace_orders: Vec<(f64, f64)>,
}

/// The history of one job; times are in seconds since midnight (UTC).
#[derive(Debug, Default)]
pub struct Job {
    accepted: Option<f64>,
    ended: Option<f64>,
    kind: Option<String>,
    /// The estimated work of all tasks, in milliseconds of a core.
    work_ms: u64,
    completed: bool,
    /// When a caller was first told that the job has ended.
    told: Option<f64>,
    terms: Option<Terms>,
    /// The objective by the estimates of the caller.
    estimated_objective_s: f64,
    /// The runs by task and run number.
    runs: SortedMap<(String, u32), Run>,
}

impl Job {
    /// Updates the job from a log line; lines must be passed in the order of time.
    pub fn apply(&mut self, line: &LogLine) {
        let Some(now) = line.seconds() else { return };
        match line.name() {
            "submitted" if line.has_outcome("submitted", "stored") => {
                self.accepted = self.accepted.or(Some(now));
                self.kind = self.kind.take().or(line.value("kind").map(str::to_owned));
                self.work_ms = line.number("work_ms").unwrap_or_default();
                self.terms = self.terms.or(Terms::try_from_line(line));
            }
            "start" if line.has_outcome("start", "done") => self.start_run(now, line),
            "run_ended" | "run_lost" => self.end_run(now, line),
            "pace" if line.has_outcome("pace", "done") => {
                if let (Some(run), Some(percent)) =
                    (self.find_run(line), line.number::<f64>("percent"))
                {
                    run.pace_orders.push((now, percent / 100.0));
                }
            }
            "job_ended" => {
                self.ended = self.ended.or(Some(now));
                self.completed |= line.has_outcome("job_ended", "completed");
                self.kind = line.value("kind").map(str::to_owned);
                self.estimated_objective_s =
                    line.number::<f64>("objective_ms").unwrap_or_default() / 1_000.0;
            }
            "queried" if matches!(line.value("state"), Some("completed" | "failed")) => {
                self.told = self.told.or(Some(now));
            }
            _ => {}
        }
    }

    fn run_key(line: &LogLine) -> Option<(String, u32)> {
        Some((line.value("task")?.to_owned(), line.number("run")?))
    }

    fn find_run(&mut self, line: &LogLine) -> Option<&mut Run> {
        self.runs.get_mut(&Job::run_key(line)?)
    }

    fn start_run(&mut self, now: f64, line: &LogLine) {
        let Some(key) = Job::run_key(line) else { return };
        let step = key.0.rsplit_once('.').map_or(String::new(), |(step, _)| step.to_owned());
        let run =
            Run { step, started: now, ended: None, is_work_saved: false, pace_orders: Vec::new() };
        self.runs.get_or_insert_with(key, || run);
    }

    fn end_run(&mut self, now: f64, line: &LogLine) {
        if let Some(run) = self.find_run(line) {
            run.ended = run.ended.or(Some(now));
            let saved = line.name() == "run_ended" && line.value("saved") == Some("true");
            run.is_work_saved |= saved || line.has_outcome("run_ended", "done");
        }
    }

    /// Returns the kind of the job as its lines name it (`lasting`, `once` or `best_effort`), or
    /// `unknown`.
    pub fn kind(&self) -> &str {
        self.kind.as_deref().unwrap_or("unknown")
    }

    /// Returns the estimated work of all tasks, in milliseconds of a core; 0 if no line states it.
    pub fn work_ms(&self) -> u64 {
        self.work_ms
    }

    /// Returns whether all tasks have ended as done.
    pub fn is_completed(&self) -> bool {
        self.completed
    }

    /// Returns the time from the job's acceptance to its end, in seconds; `None` if the lines lack
    /// one of them.
    pub fn latency(&self) -> Option<f64> {
        Some((self.ended? - self.accepted?).max(0.0))
    }

    /// Returns the time from the job's end until a caller was told of it, in seconds; `None` if no
    /// caller was.
    pub fn told_after(&self) -> Option<f64> {
        Some((self.told? - self.ended?).max(0.0))
    }

    /// Returns whether a caller was told of the job's end within its latency objective.
    pub fn is_told_in_time(&self) -> bool {
        self.told_after().is_some_and(|it| self.late_by() + it <= 0.0)
    }

    /// Returns by how many seconds the job exceeded its latency objective; negative if it was in
    /// time.
    pub fn late_by(&self) -> f64 {
        self.latency().unwrap_or_default() - self.objective_s()
    }

    /// Returns the job's latency objective in seconds: by the work that its tasks turned out to
    /// have, as estimates may be far off, or by the estimates if the lines lack the terms or the
    /// runs.
    fn objective_s(&self) -> f64 {
        match self.terms {
            Some(it) if self.chain_s() > 0.0 => it.slack * self.chain_s() + it.target_latency_s,
            _ => self.estimated_objective_s,
        }
    }

    /// Returns the sum of the longest tasks of all steps, in seconds at full pace. Steps that ran in
    /// parallel are counted as if each depended on the one before.
    fn chain_s(&self) -> f64 {
        let mut tasks: SortedMap<&str, (&str, f64)> = SortedMap::new();
        for ((task, _), run) in self.runs.iter().filter(|(_, it)| it.is_work_saved) {
            tasks.get_or_insert_with(task, || (&run.step, 0.0)).1 += run.worked_s();
        }
        let mut steps: SortedMap<&str, f64> = SortedMap::new();
        for (_, (step, worked_s)) in tasks.iter() {
            let longest = steps.get_or_insert_with(step, || 0.0);
            *longest = longest.max(*worked_s);
        }
        steps.iter().map(|(_, longest)| longest).sum()
    }

    /// Returns the part of the job's latency that is due to `cause`, in seconds.
    pub fn seconds(&self, cause: Cause) -> f64 {
        self.intervals()
            .iter()
            .map(|(from, until)| (until - from) * self.fraction_at(*from, cause))
            .sum()
    }

    /// Divides the job's latency into intervals within which no run starts, ends or changes its
    /// pace.
    fn intervals(&self) -> Vec<(f64, f64)> {
        let (Some(from), Some(until)) = (self.accepted, self.ended) else { return Vec::new() };
        let mut times = vec![from, until];
        for (_, run) in self.runs.iter() {
            times.push(run.started);
            times.extend(run.ended);
            times.extend(run.pace_orders.iter().map(|(at, _)| *at));
        }
        times.retain(|it| (from..=until).contains(it));
        times.sort_by(f64::total_cmp);
        times.windows(2).map(|it| (it[0], it[1])).filter(|(a, b)| b > a).collect()
    }

    /// Returns the fraction of the time at `at` that is due to `cause`; the fractions of all causes
    /// add up to 1.
    fn fraction_at(&self, at: f64, cause: Cause) -> f64 {
        let is_active = |it: &&Run| it.started <= at && it.ended.is_none_or(|ended| at < ended);
        let running: Vec<&Run> = self.runs.iter().map(|(_, it)| it).filter(is_active).collect();
        if running.is_empty() {
            let has_started = self.runs.iter().any(|(_, it)| it.started <= at);
            let cause_at = if has_started { Cause::Waiting } else { Cause::FirstStart };
            return f64::from(u8::from(cause_at == cause));
        }
        let is_last = self.is_last_of_step(&running);
        let fraction_of_run = |run: &&Run| {
            let pace = run.pace(at);
            match (cause, run.is_work_saved) {
                (Cause::Lost, is_saved) => f64::from(u8::from(!is_saved)),
                (Cause::Throttled, true) => 1.0 - pace,
                (Cause::LastTask, true) if is_last => pace,
                (Cause::Work, true) if !is_last => pace,
                _ => 0.0,
            }
        };
        running.iter().map(fraction_of_run).sum::<f64>() / running.len() as f64
    }

    /// Returns whether the only active run is of a step that has other runs.
    fn is_last_of_step(&self, running: &[&Run]) -> bool {
        let [only] = running else { return false };
        self.runs.iter().filter(|(_, it)| it.step == only.step).count() > 1
    }
}

impl Terms {
    fn try_from_line(line: &LogLine) -> Option<Terms> {
        Some(Terms {
            slack: line.number::<f64>("slack_permille")? / 1_000.0,
            target_latency_s: line.number::<f64>("target_latency_ms")? / 1_000.0,
        })
    }
}

impl Run {
    /// Returns for how many seconds of full pace the run worked; 0 for a run that has not ended.
    fn worked_s(&self) -> f64 {
        let Some(ended) = self.ended else { return 0.0 };
        let mut worked = 0.0;
        let (mut from, mut share) = (self.started, 1.0);
        for (at, next) in &self.pace_orders {
            let until = at.clamp(from, ended.max(from));
            worked += (until - from) * share;
            (from, share) = (until, *next);
        }
        worked + (ended - from).max(0.0) * share
    }

    /// Returns the share of its processor time that the run was allowed at `at`.
    fn pace(&self, at: f64) -> f64 {
        let last_order = self.pace_orders.iter().rev().find(|(ordered_at, _)| *ordered_at <= at);
        last_order.map_or(1.0, |(_, share)| *share)
    }
}
