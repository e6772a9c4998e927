//! Entry VMs of three data centres with a network that loses, delays and cuts, and callers that
//! number their attempts.

use std::time::Duration;

use daisy_model::{DcId, Instant, JobId, Name, Policy, Priority, SortedMap, VmId};
use daisy_routing::{
    Backend, ClaimEnd, ClaimId, KeyAnswer, KeyId, KeyLimits, KeyQuery, KeyStep, KeyTable, Routes,
    Service, StoredAnswer, next_step_after_home, next_step_after_other_dcs,
};

/// The retry window of the tests.
pub const WINDOW: Duration = Duration::from_secs(20);
/// One step of a world.
pub const STEP: Duration = Duration::from_millis(100);
/// Silence after which an entry VM is taken for dead, as in the default settings.
const SILENCE: Duration = Duration::from_secs(2);
/// How long a claim may run.
const HOLD: Duration = Duration::from_secs(3);
/// How long an answer is waited for.
const TIMEOUT: Duration = Duration::from_secs(1);

pub struct Node {
    pub vm: VmId,
    pub dc: DcId,
    pub table: KeyTable,
    pub alive: bool,
    pub frozen: bool,
    pub leaving: bool,
    heard: SortedMap<VmId, Instant>,
    listed: Vec<(DcId, VmId)>,
}

/// The attempt that waits for an answer, and which of its questions it answers.
struct Waiter {
    attempt: usize,
    question: usize,
    claim: ClaimId,
}

struct Message {
    from: VmId,
    to: VmId,
    query: KeyQuery,
    waiter: Option<Waiter>,
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
    asked: Instant,
    answers: Vec<Option<KeyAnswer>>,
    expected: usize,
    begun: Instant,
}

/// How an attempt ended, for tests that look at one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ended {
    Ran,
    Replayed,
    Stopped,
}

pub struct World {
    pub now: Instant,
    pub nodes: Vec<Node>,
    /// The platform's list, with the time at which a dead VM leaves it.
    list: Vec<(DcId, VmId, Option<Instant>)>,
    net: Vec<Message>,
    attempts: Vec<Attempt>,
    pub ended: Vec<Ended>,
    pub runs: SortedMap<KeyId, u32>,
    pub cuts: Vec<(VmId, VmId)>,
    pub rng: fastrand::Rng,
    /// Of a hundred messages, so many are lost.
    pub loss: u8,
    /// Of a hundred messages in flight, so many arrive in a step.
    pub speed: u8,
    next_vm: u32,
}

pub fn key(number: u32) -> KeyId {
    KeyId { service: Name::new("quote").unwrap(), key: format!("order-{number}").into() }
}

impl World {
    /// `per_dc` entry VMs in each of three data centres, long enough there to vouch.
    pub fn new(seed: u64, per_dc: u32) -> World {
        let mut world = World {
            now: Instant::default(),
            nodes: Vec::new(),
            list: Vec::new(),
            net: Vec::new(),
            attempts: Vec::new(),
            ended: Vec::new(),
            runs: SortedMap::new(),
            cuts: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            loss: 0,
            speed: 100,
            next_vm: 0,
        };
        for dc in 0..3 {
            for _ in 0..per_dc {
                world.join(DcId(dc));
            }
        }
        world.pass(WINDOW + Duration::from_secs(10));
        world
    }

    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
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
            heard: SortedMap::new(),
            listed: Vec::new(),
        });
        self.list.push((dc, vm, None));
        vm
    }

    pub fn node(&mut self, vm: VmId) -> &mut Node {
        self.nodes.iter_mut().find(|node| node.vm == vm).unwrap()
    }

    pub fn kill(&mut self, vm: VmId) {
        let unlisted = self.now + Duration::from_secs(self.rng.u64(1..6));
        self.node(vm).alive = false;
        self.unlist(vm, unlisted);
    }

    fn unlist(&mut self, vm: VmId, at: Instant) {
        if let Some(entry) = self.list.iter_mut().find(|(_, other, _)| *other == vm) {
            entry.2 = Some(at);
        }
    }

    /// A planned stop: keys handed over, then the end once the messages had time to arrive.
    pub fn leave(&mut self, vm: VmId) {
        let now = self.now;
        let node = self.node(vm);
        node.leaving = true;
        let handovers = node.table.leave(now);
        self.send_all(vm, handovers);
    }

    /// A caller sends an attempt to the entry VM `at`.
    pub fn call(&mut self, at: VmId, key: KeyId, repeated: bool) -> usize {
        let claim = ClaimId(self.rng.u64(..));
        self.attempts.push(Attempt {
            at,
            key,
            claim,
            repeated,
            phase: Phase::Home,
            asked: self.now,
            answers: Vec::new(),
            expected: 1,
            begun: self.now,
        });
        self.ended.push(Ended::Stopped);
        let id = self.attempts.len() - 1;
        self.ask_home(id);
        id
    }

    /// The home of `key` in `dc`, as a node that is well sees it.
    pub fn home(&mut self, dc: DcId, key: &KeyId) -> VmId {
        let at = self.nodes.iter().find(|node| node.dc == dc && node.alive && !node.frozen);
        at.unwrap().table.candidate_homes(dc, key)[0]
    }

    pub fn runs_of(&self, key: &KeyId) -> u32 {
        self.runs.get(key).copied().unwrap_or(0)
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        self.list.retain(|(_, _, gone)| gone.is_none_or(|at| now < at));
        self.heartbeats();
        self.views();
        self.deliver();
        self.timeouts();
    }

    fn is_cut(&self, a: VmId, b: VmId) -> bool {
        self.cuts.contains(&(a, b)) || self.cuts.contains(&(b, a))
    }

    fn heartbeats(&mut self) {
        let up: Vec<VmId> =
            self.nodes.iter().filter(|n| n.alive && !n.frozen).map(|n| n.vm).collect();
        for from in &up {
            for to in &up {
                if from != to && !self.is_cut(*from, *to) {
                    let now = self.now;
                    self.node(*to).heard.insert(*from, now);
                }
            }
        }
    }

    /// Each node reads the list about once a second and judges liveness by its own ear.
    fn views(&mut self) {
        let now = self.now;
        let list: Vec<(DcId, VmId)> = self.list.iter().map(|(dc, vm, _)| (*dc, *vm)).collect();
        let mut handovers = Vec::new();
        for node in self.nodes.iter_mut().filter(|node| node.alive && !node.frozen) {
            if node.listed.is_empty() || self.rng.u8(..10) == 0 {
                node.listed = list.clone();
            }
            let heard = |vm: &VmId| {
                *vm == node.vm || node.heard.get(vm).is_some_and(|at| now.since(*at) < SILENCE)
            };
            let live = node.listed.iter().filter(|(_, vm)| heard(vm)).copied().collect();
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

    fn send(&mut self, from: VmId, to: VmId, query: KeyQuery, waiter: Option<Waiter>) {
        self.net.push(Message { from, to, query, waiter, sent: self.now });
    }

    fn deliver(&mut self) {
        let mut waiting = std::mem::take(&mut self.net);
        while !waiting.is_empty() {
            let message = waiting.swap_remove(self.rng.usize(..waiting.len()));
            let local = message.from == message.to;
            if !local && self.rng.u8(..100) >= self.speed {
                self.net.push(message);
                continue;
            }
            let old = self.now.since(message.sent) > Duration::from_secs(5);
            let lost = !local && (old || self.rng.u8(..100) < self.loss);
            if !lost && !self.is_cut(message.from, message.to) {
                self.arrive(message);
            }
        }
    }

    fn arrive(&mut self, message: Message) {
        let Message { from, to, query, waiter, sent } = message;
        let now = self.now;
        let Some(node) = self.nodes.iter_mut().find(|node| node.vm == to) else { return };
        if !node.alive {
            return;
        }
        if node.frozen {
            self.net.push(Message { from, to, query, waiter, sent });
            return;
        }
        let answer = node.table.handle(now, from, query);
        // The answer may be lost after its effect.
        if from != to && self.rng.u8(..100) < self.loss {
            return;
        }
        if let Some(waiter) = waiter {
            self.answered(waiter, answer);
        }
    }

    fn answered(&mut self, waiter: Waiter, answer: KeyAnswer) {
        let Waiter { attempt: id, question, claim } = waiter;
        let attempt = &mut self.attempts[id];
        // An answer to a wish that was given up reaches nobody.
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
            self.decide(id);
        }
    }

    fn timeouts(&mut self) {
        for id in 0..self.attempts.len() {
            let at = self.attempts[id].at;
            let node = self.node(at);
            let up = node.alive && !node.frozen;
            let attempt = &self.attempts[id];
            let late = self.now.since(attempt.asked) >= TIMEOUT;
            if up && late && !matches!(attempt.phase, Phase::Done) {
                self.decide(id);
            }
        }
    }

    fn decide(&mut self, id: usize) {
        let attempt = &mut self.attempts[id];
        let answers = std::mem::take(&mut attempt.answers);
        let step = match attempt.phase {
            Phase::Home => {
                next_step_after_home(answers.into_iter().next().flatten(), attempt.repeated)
            }
            Phase::Others => next_step_after_other_dcs(answers, attempt.repeated),
            Phase::Done => return,
        };
        let too_late = self.now.since(attempt.begun) >= HOLD;
        match step {
            // The deadline is looked at right before the request is sent.
            KeyStep::Run if !too_late => self.run(id),
            KeyStep::QueryOtherDcs if !too_late => self.ask_others(id),
            KeyStep::Replay(answer) => self.end(id, Ended::Replayed, ClaimEnd::Answered(answer)),
            KeyStep::Wait(_) if !too_late => {
                if matches!(self.attempts[id].phase, Phase::Others) {
                    self.finish(id, ClaimEnd::NotRun);
                    self.attempts[id].claim = ClaimId(self.rng.u64(..));
                }
                self.ask_home(id);
            }
            _ => self.end(id, Ended::Stopped, ClaimEnd::NotRun),
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

    fn ask_home(&mut self, id: usize) {
        let now = self.now;
        let attempt = &mut self.attempts[id];
        attempt.phase = Phase::Home;
        attempt.asked = now;
        attempt.answers = vec![None];
        let Attempt { at, ref key, claim, repeated, .. } = *attempt;
        let query = KeyQuery::Claim {
            key: key.clone(),
            request_digest: 0,
            claim,
            repeated,
            claim_timeout: HOLD,
        };
        let key = key.clone();
        let node = self.node(at);
        let dc = node.dc;
        if let Some(home) = node.table.candidate_homes(dc, &key).first().copied() {
            self.send(at, home, query, Some(Waiter { attempt: id, question: 0, claim }));
        }
    }

    fn ask_others(&mut self, id: usize) {
        let now = self.now;
        let Attempt { at, ref key, claim, .. } = self.attempts[id];
        let key = key.clone();
        let table = &self.node(at).table;
        let candidate_homes: Vec<Option<VmId>> = table
            .other_dcs(now)
            .into_iter()
            .map(|dc| table.candidate_homes(dc, &key).first().copied())
            .collect();
        let attempt = &mut self.attempts[id];
        attempt.phase = Phase::Others;
        attempt.asked = now;
        attempt.expected = candidate_homes.len();
        attempt.answers = vec![None; candidate_homes.len()];
        if candidate_homes.is_empty() {
            return self.decide(id);
        }
        for (question, home) in candidate_homes.into_iter().enumerate() {
            let query = KeyQuery::Fence { key: key.clone(), request_digest: 0 };
            if let Some(home) = home {
                self.send(
                    at,
                    home,
                    query,
                    Some(Waiter { attempt: id, question: question + 1, claim }),
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
        refuse: false,
        backends: vec![backend],
    };
    Routes {
        version: 1,
        dc,
        regions: vec![0, 0, 1],
        entries,
        listed,
        services: SortedMap::from_iter([(Name::new("quote").unwrap(), service)]),
        policy: Policy { retry_window: WINDOW, ..Policy::default() },
    }
}
