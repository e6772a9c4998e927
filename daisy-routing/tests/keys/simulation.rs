//! Simulation of entry VMs in three data centres, of a network that loses, delays and cuts
//! messages, and of callers that number their attempts.

use std::time::Duration;

use daisy_model::{DcId, Instant, JobId, Name, Policy, Priority, SortedMap, VmId};
use daisy_routing::{
    Backend, ClaimEnd, ClaimId, KeyAnswer, KeyId, KeyLimits, KeyQuery, KeyStep, KeyTable, Routes,
    Service, StoredAnswer, next_step_after_home, next_step_after_other_dcs,
};

/// The retry window of the tests.
pub const WINDOW: Duration = Duration::from_secs(20);
/// Duration of one simulation step.
pub const STEP: Duration = Duration::from_millis(100);
/// Time without a heartbeat after which an entry VM is treated as lost, as in the default settings.
const LOST_AFTER: Duration = Duration::from_secs(2);
/// How long a claim may run.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a query.
const TIMEOUT: Duration = Duration::from_secs(1);

pub struct Node {
    pub vm: VmId,
    pub dc: DcId,
    pub table: KeyTable,
    pub alive: bool,
    pub frozen: bool,
    pub leaving: bool,
    last_heartbeats: SortedMap<VmId, Instant>,
    listed: Vec<(DcId, VmId)>,
}

/// The attempt that waits for an answer, and the index of the query that the answer belongs to.
struct PendingQuery {
    attempt: usize,
    question: usize,
    claim: ClaimId,
}

struct Message {
    from: VmId,
    to: VmId,
    query: KeyQuery,
    pending_query: Option<PendingQuery>,
    sent: Instant,
}

enum Phase {
    Home,
    Others,
    Done,
}

struct Attempt {
    at: VmId,
    key: KeyId,
    claim: ClaimId,
    repeated: bool,
    phase: Phase,
    asked_at: Instant,
    answers: Vec<Option<KeyAnswer>>,
    expected: usize,
    started_at: Instant,
}

/// How an attempt ended, for tests that check a single attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ended {
    Ran,
    Replayed,
    Stopped,
}

pub struct Simulation {
    pub now: Instant,
    pub nodes: Vec<Node>,
    /// The platform's VM list, with the time at which a killed VM is removed from it.
    vm_list: Vec<(DcId, VmId, Option<Instant>)>,
    network: Vec<Message>,
    attempts: Vec<Attempt>,
    pub ended: Vec<Ended>,
    /// Whether the caller of each attempt was told that its request has not run.
    pub told_not_run: Vec<bool>,
    pub runs: SortedMap<KeyId, u32>,
    pub cuts: Vec<(VmId, VmId)>,
    pub rng: fastrand::Rng,
    /// Percentage of messages that are lost.
    pub loss_percent: u8,
    /// Percentage of messages in flight that arrive in each step.
    pub delivery_percent: u8,
    next_vm: u32,
}

pub fn key(number: u32) -> KeyId {
    KeyId { service: Name::new("quote").unwrap(), key: format!("order-{number}").into() }
}

impl Simulation {
    /// Creates a simulation with `per_dc` entry VMs in each of three data centres, which have run
    /// long enough for a complete history.
    pub fn new(seed: u64, per_dc: u32) -> Simulation {
        let mut sim = Simulation {
            now: Instant::default(),
            nodes: Vec::new(),
            vm_list: Vec::new(),
            network: Vec::new(),
            attempts: Vec::new(),
            ended: Vec::new(),
            told_not_run: Vec::new(),
            runs: SortedMap::new(),
            cuts: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            loss_percent: 0,
            delivery_percent: 100,
            next_vm: 0,
        };
        for dc in 0..3 {
            for _ in 0..per_dc {
                sim.join(DcId(dc));
            }
        }
        sim.advance(WINDOW + Duration::from_secs(10));
        sim
    }

    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.advance_one_step();
        }
    }

    pub fn join(&mut self, dc: DcId) -> VmId {
        let vm = VmId(self.next_vm);
        self.next_vm += 1;
        let limits = KeyLimits { keys: 1_000, bytes: 1 << 20 };
        self.nodes.push(Node {
            vm,
            dc,
            table: KeyTable::new(vm, limits, self.now),
            alive: true,
            frozen: false,
            leaving: false,
            last_heartbeats: SortedMap::new(),
            listed: Vec::new(),
        });
        self.vm_list.push((dc, vm, None));
        vm
    }

    pub fn node(&mut self, vm: VmId) -> &mut Node {
        self.nodes.iter_mut().find(|node| node.vm == vm).unwrap()
    }

    pub fn kill(&mut self, vm: VmId) {
        let unlisted = self.now + Duration::from_secs(self.rng.u64(1..6));
        self.node(vm).alive = false;
        self.schedule_unlisting(vm, unlisted);
    }

    fn schedule_unlisting(&mut self, vm: VmId, at: Instant) {
        if let Some(entry) = self.vm_list.iter_mut().find(|(_, other, _)| *other == vm) {
            entry.2 = Some(at);
        }
    }

    /// Starts a planned stop: the keys are handed over. The test ends the entry VM once the messages
    /// have had time to arrive.
    pub fn stop_planned(&mut self, vm: VmId) {
        let now = self.now;
        let node = self.node(vm);
        node.leaving = true;
        let handovers = node.table.start_handover(now);
        self.send_all(vm, handovers);
    }

    /// Sends an attempt of a caller to the entry VM `at`; returns its index.
    pub fn send_attempt(&mut self, at: VmId, key: KeyId, repeated: bool) -> usize {
        let claim = ClaimId(self.rng.u64(..));
        self.attempts.push(Attempt {
            at,
            key,
            claim,
            repeated,
            phase: Phase::Home,
            asked_at: self.now,
            answers: Vec::new(),
            expected: 1,
            started_at: self.now,
        });
        self.ended.push(Ended::Stopped);
        self.told_not_run.push(false);
        let id = self.attempts.len() - 1;
        self.query_home(id);
        id
    }

    /// Returns the home of `key` in `dc` as a healthy node sees it.
    pub fn home(&mut self, dc: DcId, key: &KeyId) -> VmId {
        let at = self.nodes.iter().find(|node| node.dc == dc && node.alive && !node.frozen);
        at.unwrap().table.candidate_homes(dc, key)[0]
    }

    pub fn run_count(&self, key: &KeyId) -> u32 {
        self.runs.get(key).copied().unwrap_or(0)
    }

    pub fn advance_one_step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        self.vm_list.retain(|(_, _, gone)| gone.is_none_or(|at| now < at));
        self.exchange_heartbeats();
        self.update_views();
        self.deliver();
        self.apply_timeouts();
    }

    fn is_cut(&self, a: VmId, b: VmId) -> bool {
        self.cuts.contains(&(a, b)) || self.cuts.contains(&(b, a))
    }

    fn exchange_heartbeats(&mut self) {
        let up: Vec<VmId> =
            self.nodes.iter().filter(|n| n.alive && !n.frozen).map(|n| n.vm).collect();
        for from in &up {
            for to in &up {
                if from != to && !self.is_cut(*from, *to) {
                    let now = self.now;
                    self.node(*to).last_heartbeats.insert(*from, now);
                }
            }
        }
    }

    /// Lets each node read the VM list about once a second and judge liveness by the heartbeats
    /// that it has received.
    fn update_views(&mut self) {
        let now = self.now;
        let vm_list: Vec<(DcId, VmId)> =
            self.vm_list.iter().map(|(dc, vm, _)| (*dc, *vm)).collect();
        let mut handovers = Vec::new();
        for node in self.nodes.iter_mut().filter(|node| node.alive && !node.frozen) {
            if node.listed.is_empty() || self.rng.u8(..10) == 0 {
                node.listed = vm_list.clone();
            }
            let is_live = |vm: &VmId| {
                *vm == node.vm
                    || node.last_heartbeats.get(vm).is_some_and(|at| now.since(*at) < LOST_AFTER)
            };
            let live = node.listed.iter().filter(|(_, vm)| is_live(vm)).copied().collect();
            let routes = routes(node.dc, live, node.listed.clone());
            let from = node.vm;
            for message in node.table.set_routes(now, &routes) {
                handovers.push((from, message));
            }
        }
        for (from, (to, query)) in handovers {
            self.send(from, to, query, None);
        }
    }

    fn send_all(&mut self, from: VmId, messages: Vec<(VmId, KeyQuery)>) {
        for (to, query) in messages {
            self.send(from, to, query, None);
        }
    }

    fn send(&mut self, from: VmId, to: VmId, query: KeyQuery, pending_query: Option<PendingQuery>) {
        self.network.push(Message { from, to, query, pending_query, sent: self.now });
    }

    fn deliver(&mut self) {
        let mut waiting = std::mem::take(&mut self.network);
        while !waiting.is_empty() {
            let message = waiting.swap_remove(self.rng.usize(..waiting.len()));
            let local = message.from == message.to;
            if !local && self.rng.u8(..100) >= self.delivery_percent {
                self.network.push(message);
                continue;
            }
            let old = self.now.since(message.sent) > Duration::from_secs(5);
            let lost = !local && (old || self.rng.u8(..100) < self.loss_percent);
            if !lost && !self.is_cut(message.from, message.to) {
                self.receive(message);
            }
        }
    }

    fn receive(&mut self, message: Message) {
        let Message { from, to, query, pending_query, sent } = message;
        let now = self.now;
        let Some(node) = self.nodes.iter_mut().find(|node| node.vm == to) else { return };
        if !node.alive {
            return;
        }
        if node.frozen {
            self.network.push(Message { from, to, query, pending_query, sent });
            return;
        }
        let answer = node.table.handle(now, from, query);
        // The answer may be lost after the query has taken effect.
        if from != to && self.rng.u8(..100) < self.loss_percent {
            return;
        }
        if let Some(pending_query) = pending_query {
            self.record_answer(pending_query, answer);
        }
    }

    fn record_answer(&mut self, pending_query: PendingQuery, answer: KeyAnswer) {
        let PendingQuery { attempt: id, question, claim } = pending_query;
        let attempt = &mut self.attempts[id];
        // An answer to a claim that was given up is ignored.
        if attempt.claim != claim {
            return;
        }
        let current = match attempt.phase {
            Phase::Home => question == 0,
            Phase::Others => question > 0 && question <= attempt.expected,
            Phase::Done => false,
        };
        if !current {
            return;
        }
        let slot = question.saturating_sub(1).min(attempt.answers.len() - 1);
        attempt.answers[slot] = Some(answer);
        let complete = attempt.answers.iter().all(Option::is_some);
        if complete {
            self.take_next_step(id);
        }
    }

    fn apply_timeouts(&mut self) {
        for id in 0..self.attempts.len() {
            let at = self.attempts[id].at;
            let node = self.node(at);
            let up = node.alive && !node.frozen;
            let attempt = &self.attempts[id];
            let is_timed_out = self.now.since(attempt.asked_at) >= TIMEOUT;
            if up && is_timed_out && !matches!(attempt.phase, Phase::Done) {
                self.take_next_step(id);
            }
        }
    }

    fn take_next_step(&mut self, id: usize) {
        let attempt = &mut self.attempts[id];
        let answers = std::mem::take(&mut attempt.answers);
        let step = match attempt.phase {
            Phase::Home => {
                next_step_after_home(answers.into_iter().next().flatten(), attempt.repeated)
            }
            Phase::Others => next_step_after_other_dcs(answers, attempt.repeated),
            Phase::Done => return,
        };
        let too_late = self.now.since(attempt.started_at) >= CLAIM_TIMEOUT;
        let repeated = attempt.repeated;
        match step {
            // The deadline is checked right before the request is sent.
            KeyStep::Run if !too_late => self.run(id),
            KeyStep::QueryOtherDcs if !too_late => self.query_other_dcs(id),
            KeyStep::Replay(answer) => self.end(id, Ended::Replayed, ClaimEnd::Answered(answer)),
            KeyStep::Wait(_) if !too_late => {
                if matches!(self.attempts[id].phase, Phase::Others) {
                    self.finish(id, ClaimEnd::NotRun);
                    self.attempts[id].claim = ClaimId(self.rng.u64(..));
                }
                self.query_home(id);
            }
            step => {
                self.told_not_run[id] = match step {
                    KeyStep::Deny(denial) | KeyStep::Wait(denial) => {
                        denial.proves_not_run(repeated)
                    }
                    // It was not sent before its deadline.
                    _ => !repeated,
                };
                self.end(id, Ended::Stopped, ClaimEnd::NotRun);
            }
        }
    }

    fn run(&mut self, id: usize) {
        let key = self.attempts[id].key.clone();
        *self.runs.get_or_insert_with(key, || 0) += 1;
        let answer = StoredAnswer { status: 200, headers: Vec::new(), body: None };
        let end = if self.rng.bool() { ClaimEnd::Answered(answer) } else { ClaimEnd::Unknown };
        self.end(id, Ended::Ran, end);
    }

    fn end(&mut self, id: usize, ended: Ended, end: ClaimEnd) {
        self.finish(id, end);
        self.attempts[id].phase = Phase::Done;
        self.ended[id] = ended;
    }

    fn finish(&mut self, id: usize, end: ClaimEnd) {
        let Attempt { at, ref key, claim, .. } = self.attempts[id];
        let query = KeyQuery::Finish { key: key.clone(), claim, end };
        let key = key.clone();
        let node = self.node(at);
        let dc = node.dc;
        if let Some(home) = node.table.candidate_homes(dc, &key).first().copied() {
            self.send(at, home, query, None);
        }
    }

    fn query_home(&mut self, id: usize) {
        let now = self.now;
        let attempt = &mut self.attempts[id];
        attempt.phase = Phase::Home;
        attempt.asked_at = now;
        attempt.answers = vec![None];
        let Attempt { at, ref key, claim, repeated, .. } = *attempt;
        let query = KeyQuery::Claim {
            key: key.clone(),
            request_digest: 0,
            claim,
            repeated,
            claim_timeout: CLAIM_TIMEOUT,
        };
        let key = key.clone();
        let node = self.node(at);
        let dc = node.dc;
        if let Some(home) = node.table.candidate_homes(dc, &key).first().copied() {
            self.send(at, home, query, Some(PendingQuery { attempt: id, question: 0, claim }));
        }
    }

    fn query_other_dcs(&mut self, id: usize) {
        let now = self.now;
        let Attempt { at, ref key, claim, repeated, .. } = self.attempts[id];
        let key = key.clone();
        let table = &self.node(at).table;
        let candidate_homes: Vec<Option<VmId>> = table
            .other_dcs(now)
            .into_iter()
            .map(|dc| table.candidate_homes(dc, &key).first().copied())
            .collect();
        let attempt = &mut self.attempts[id];
        attempt.phase = Phase::Others;
        attempt.asked_at = now;
        attempt.expected = candidate_homes.len();
        attempt.answers = vec![None; candidate_homes.len()];
        if candidate_homes.is_empty() {
            return self.take_next_step(id);
        }
        for (question, home) in candidate_homes.into_iter().enumerate() {
            let query = KeyQuery::Fence { key: key.clone(), request_digest: 0, repeated };
            if let Some(home) = home {
                self.send(
                    at,
                    home,
                    query,
                    Some(PendingQuery { attempt: id, question: question + 1, claim }),
                );
            }
        }
    }
}

pub fn routes(dc: DcId, entries: Vec<(DcId, VmId)>, listed: Vec<(DcId, VmId)>) -> Routes {
    let backend = Backend {
        vm: VmId(9_000),
        dc,
        address: ([127, 0, 0, 1], 1).into(),
        slots: 8,
        connections: 64,
        leaving: false,
    };
    let service = Service {
        job: JobId(0),
        priority: Priority::Critical,
        may_reject: false,
        backends: vec![backend],
    };
    Routes {
        version: 1,
        dc,
        regions: vec![0, 0, 1],
        live_entries: entries,
        listed_entries: listed,
        services: SortedMap::from_iter([(Name::new("quote").unwrap(), service)]),
        policy: Policy { retry_window: WINDOW, ..Policy::default() },
    }
}
