//! A simulation of entry VMs that exchange heartbeats and read one log, with simulated time.

use std::time::Duration;

use daisy_membership::{
    Action, Event, Heartbeat, HolderClaim, Membership, Options, RecordSource, Role, Status,
};
use daisy_model::{DcId, Epoch, Instant, Name, Offset, Resources, Vm, VmId, VmRole, VmStatus};

/// The simulated time of one step.
pub const STEP: Duration = Duration::from_millis(50);

/// One entry VM.
pub struct Node {
    pub membership: Membership,
    pub alive: bool,
    pub is_paused: bool,
    pub can_reach_log: bool,
    /// Whether its reads hang while it still sends heartbeats.
    pub is_reading_stuck: bool,
    pub next: Offset,
    pub ready: bool,
    /// Heartbeats in transit and those received during a pause, with their delivery times.
    inbox: Vec<(Instant, Heartbeat)>,
}

/// A claim in the log.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    pub dc: DcId,
    pub vm: VmId,
}

/// Entry VMs and a log.
pub struct Fleet {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub vms: Vec<Vm>,
    pub claims: Vec<Claim>,
    /// Whether the log answers at all.
    pub is_log_up: bool,
    /// Pairs of VMs whose link is cut.
    pub cut_links: Vec<(VmId, VmId)>,
    /// Heartbeats lost per thousand.
    pub loss: u32,
    /// The longest delay of a heartbeat.
    pub delay: Duration,
    log: Vec<(DcId, HolderClaim)>,
    random: u64,
}

pub fn options(vm: u32, dc: u16) -> Options {
    Options {
        vm: VmId(vm),
        dc: DcId(dc),
        heartbeat_interval: Duration::from_millis(500),
        holder_timeout: Duration::from_secs(2),
    }
}

pub fn vm(id: u32, dc: u16) -> Vm {
    Vm {
        id: VmId(id),
        name: Name::new(&format!("vm-{id}")).expect("a valid name"),
        dc: DcId(dc),
        rack: 0,
        role: VmRole::Entry,
        status: VmStatus::Live,
        control: ([127, 0, 0, 1], 1).into(),
        backend: None,
        capacity: Resources::ZERO,
    }
}

impl Fleet {
    /// Starts `per_dc` entry VMs in each of `dcs` data centres, with ids counted from 1.
    pub fn new(dcs: u16, per_dc: u32, seed: u64) -> Fleet {
        let ids = (0..dcs).flat_map(|dc| (0..per_dc).map(move |at| (dc, at)));
        let vms: Vec<Vm> = ids.map(|(dc, at)| vm(u32::from(dc) * per_dc + at + 1, dc)).collect();
        let mut fleet = Fleet {
            now: Instant::from_millis(1_000),
            nodes: Vec::new(),
            vms: vms.clone(),
            claims: Vec::new(),
            is_log_up: true,
            cut_links: Vec::new(),
            loss: 0,
            delay: Duration::from_millis(10),
            log: Vec::new(),
            random: seed | 1,
        };
        for vm in vms {
            fleet.add(vm.id.0, vm.dc.0);
        }
        fleet
    }

    /// Starts an entry VM that is in the VM list.
    pub fn add(&mut self, vm: u32, dc: u16) {
        self.nodes.push(Node {
            membership: Membership::new(self.now, options(vm, dc)),
            alive: true,
            is_paused: false,
            can_reach_log: true,
            is_reading_stuck: false,
            next: Offset(0),
            ready: false,
            inbox: Vec::new(),
        });
        let at = self.nodes.len() - 1;
        let vms = self.vms.clone();
        self.event(at, Event::Vms(&vms));
    }

    /// Returns the index of the newest process of `vm`.
    pub fn at(&self, vm: VmId) -> usize {
        let found = self.nodes.iter().rposition(|it| it.membership.options().vm == vm);
        found.expect("a VM of the fleet")
    }

    /// Returns the entry VM with the lowest id apart from `vm`.
    pub fn lowest_other(&self, vm: VmId) -> VmId {
        let all = self.nodes.iter().map(|it| it.membership.options().vm);
        all.filter(|it| *it != vm).min().expect("another entry VM")
    }

    /// Appends a record that concerns no data centre of the fleet.
    pub fn append(&mut self) {
        let holder_claim = HolderClaim { holder: VmId(0), epoch: Epoch(1), released: false };
        self.log.push((DcId(u16::MAX), holder_claim));
    }

    /// Runs the simulation for `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `wanted` returns true and returns the time that took; `None` after `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        wanted: impl Fn(&Fleet) -> bool,
    ) -> Option<Duration> {
        let began = self.now;
        while self.now.since(began) <= limit {
            if wanted(self) {
                return Some(self.now.since(began));
            }
            self.step();
        }
        None
    }

    /// Returns the entry VMs that act as holder of `dc`.
    pub fn holders(&self, dc: u16) -> Vec<VmId> {
        let acting = |it: &&Node| it.alive && matches!(it.membership.role(), Role::Holder(_));
        let own = self.nodes.iter().filter(|it| it.membership.options().dc == DcId(dc));
        own.filter(acting).map(|it| it.membership.options().vm).collect()
    }

    /// Runs one step: each running VM gets its heartbeats and a tick, then reads the log.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for at in 0..self.nodes.len() {
            if !self.nodes[at].alive || self.nodes[at].is_paused {
                continue;
            }
            for heartbeat in self.due(at) {
                self.event(at, Event::Heartbeat(heartbeat));
            }
            self.event(at, Event::Tick);
            if !self.nodes[at].is_reading_stuck {
                self.read(at);
            }
        }
    }

    fn due(&mut self, at: usize) -> Vec<Heartbeat> {
        let now = self.now;
        let inbox = std::mem::take(&mut self.nodes[at].inbox);
        let (due, later): (Vec<_>, Vec<_>) = inbox.into_iter().partition(|it| it.0 <= now);
        self.nodes[at].inbox = later;
        due.into_iter().map(|(_, heartbeat)| heartbeat).collect()
    }

    fn read(&mut self, at: usize) {
        let end = Offset(self.log.len() as u64);
        match self.nodes[at].membership.source() {
            RecordSource::Log if self.is_log_up && self.nodes[at].can_reach_log => {
                self.fold(at, end);
                let sent_at = self.now;
                self.event(at, Event::LogAnswered { sent_at, end: Some(end) });
            }
            RecordSource::Log => self.event(at, Event::LogFailed),
            RecordSource::Peer(vm) => self.read_from_peer(at, vm),
        }
    }

    fn read_from_peer(&mut self, at: usize, vm: VmId) {
        let peer = self.at(vm);
        let own = self.nodes[at].membership.options().vm;
        if !self.nodes[peer].alive || self.is_cut(own, vm) {
            self.event(at, Event::SourceFailed(vm));
        } else if !self.nodes[peer].is_paused {
            self.fold(at, self.nodes[peer].next);
        }
    }

    fn fold(&mut self, at: usize, next: Offset) {
        if next <= self.nodes[at].next {
            return;
        }
        self.nodes[at].next = next;
        let dc = self.nodes[at].membership.options().dc;
        let read = &self.log[..next.0 as usize];
        let holder_claim = read.iter().rev().find(|it| it.0 == dc).map(|it| it.1);
        self.event(at, Event::Folded { next, generation: 0, holder_claim });
    }

    /// Passes an event to a node and applies the resulting actions.
    pub fn event(&mut self, at: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.nodes[at].membership.step(self.now, event, &mut actions);
        for action in actions {
            self.apply_action(at, action);
        }
    }

    fn apply_action(&mut self, at: usize, action: Action) {
        let Options { vm, dc, .. } = *self.nodes[at].membership.options();
        match action {
            Action::Heartbeat(to) => self.send(at, to),
            Action::Claim => {
                if self.is_log_up && self.nodes[at].can_reach_log {
                    let epoch = Epoch(self.log.len() as u64 + 1);
                    self.log.push((dc, HolderClaim { holder: vm, epoch, released: false }));
                    self.claims.push(Claim { dc, vm });
                }
                self.event(at, Event::ClaimEnded);
            }
            Action::Release(epoch) => {
                self.log.push((dc, HolderClaim { holder: vm, epoch, released: true }));
            }
            Action::Ready(ready) => self.nodes[at].ready = ready,
            Action::ChangeRole(_) | Action::Read(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: VmId) {
        let heartbeat = self.nodes[from].membership.heartbeat(self.now);
        if self.is_cut(heartbeat.vm, to) || self.random(1_000) < self.loss {
            return;
        }
        let Some(to) = self.nodes.iter().rposition(|it| it.membership.options().vm == to) else {
            return;
        };
        let micros = u32::try_from(self.delay.as_micros()).expect("short delays");
        let delivery_delay = Duration::from_micros(u64::from(self.random(micros.max(1))));
        self.nodes[to].inbox.push((self.now + delivery_delay, heartbeat));
    }

    fn is_cut(&self, a: VmId, b: VmId) -> bool {
        self.cut_links.contains(&(a, b)) || self.cut_links.contains(&(b, a))
    }

    /// Returns a pseudo-random number below `bound` (xorshift).
    pub fn random(&mut self, bound: u32) -> u32 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random % u64::from(bound)) as u32
    }

    /// Returns whether all running VMs accept callers.
    pub fn all_ready(&self) -> bool {
        let mut alive = self.nodes.iter().filter(|it| it.alive);
        alive.all(|it| it.membership.status() == Status::Ready && it.ready)
    }
}
