//! Entry VMs that exchange heartbeats and read one log, in steps of explicit time.

use std::time::Duration;

use daisy_membership::{
    Action, Event, Heartbeat, HolderClaim, Membership, Options, RecordSource, Role, Status,
};
use daisy_model::{DcId, Epoch, Instant, Name, Offset, Resources, Vm, VmId, VmRole, VmStatus};

/// One step of time.
pub const STEP: Duration = Duration::from_millis(50);

/// One entry VM.
pub struct Node {
    pub membership: Membership,
    pub alive: bool,
    pub frozen: bool,
    pub reaches_log: bool,
    /// Sends heartbeats, but reads nothing more.
    pub stuck: bool,
    pub next: Offset,
    pub ready: bool,
    /// What came while it was frozen, and what is still on its way.
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
    /// Whether the log answers anybody.
    pub log_up: bool,
    /// Pairs of VMs between which nothing passes.
    pub cuts: Vec<(VmId, VmId)>,
    /// Heartbeats lost of a thousand, and the most that one is late.
    pub loss: u32,
    pub delay: Duration,
    log: Vec<(DcId, HolderClaim)>,
    random: u64,
}

pub fn options(vm: u32, dc: u16) -> Options {
    Options {
        vm: VmId(vm),
        dc: DcId(dc),
        heartbeat: Duration::from_millis(500),
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
    /// `per_dc` entry VMs in each of `dcs` data centres, numbered from 1 in turn.
    pub fn new(dcs: u16, per_dc: u32, seed: u64) -> Fleet {
        let ids = (0..dcs).flat_map(|dc| (0..per_dc).map(move |at| (dc, at)));
        let vms: Vec<Vm> = ids.map(|(dc, at)| vm(u32::from(dc) * per_dc + at + 1, dc)).collect();
        let mut fleet = Fleet {
            now: Instant::from_millis(1_000),
            nodes: Vec::new(),
            vms: vms.clone(),
            claims: Vec::new(),
            log_up: true,
            cuts: Vec::new(),
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

    /// Starts an entry VM that is in the list.
    pub fn add(&mut self, vm: u32, dc: u16) {
        self.nodes.push(Node {
            membership: Membership::new(self.now, options(vm, dc)),
            alive: true,
            frozen: false,
            reaches_log: true,
            stuck: false,
            next: Offset(0),
            ready: false,
            inbox: Vec::new(),
        });
        let at = self.nodes.len() - 1;
        let vms = self.vms.clone();
        self.event(at, Event::Vms(&vms));
    }

    /// The position of `vm`.
    pub fn at(&self, vm: VmId) -> usize {
        let found = self.nodes.iter().rposition(|it| it.membership.options().vm == vm);
        found.expect("a VM of the fleet")
    }

    /// The lowest entry VM that is not `vm`.
    pub fn lowest_but(&self, vm: VmId) -> VmId {
        let all = self.nodes.iter().map(|it| it.membership.options().vm);
        all.filter(|it| *it != vm).min().expect("another entry VM")
    }

    /// Appends a record that concerns no data centre of the fleet.
    pub fn append(&mut self) {
        let holder_claim = HolderClaim { holder: VmId(0), epoch: Epoch(1), released: false };
        self.log.push((DcId(u16::MAX), holder_claim));
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Lets time pass until `wanted` holds; the time that took.
    pub fn until(&mut self, limit: Duration, wanted: impl Fn(&Fleet) -> bool) -> Option<Duration> {
        let began = self.now;
        while self.now.since(began) <= limit {
            if wanted(self) {
                return Some(self.now.since(began));
            }
            self.step();
        }
        None
    }

    /// The entry VMs that act as holder of `dc`.
    pub fn holders(&self, dc: u16) -> Vec<VmId> {
        let acting = |it: &&Node| it.alive && matches!(it.membership.role(), Role::Holder(_));
        let own = self.nodes.iter().filter(|it| it.membership.options().dc == DcId(dc));
        own.filter(acting).map(|it| it.membership.options().vm).collect()
    }

    /// Steps once: deliveries and a tick for everybody that runs, then reads of the log.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for at in 0..self.nodes.len() {
            if !self.nodes[at].alive || self.nodes[at].frozen {
                continue;
            }
            for beat in self.due(at) {
                self.event(at, Event::Heartbeat(beat));
            }
            self.event(at, Event::Tick);
            if !self.nodes[at].stuck {
                self.read(at);
            }
        }
    }

    fn due(&mut self, at: usize) -> Vec<Heartbeat> {
        let now = self.now;
        let inbox = std::mem::take(&mut self.nodes[at].inbox);
        let (due, later): (Vec<_>, Vec<_>) = inbox.into_iter().partition(|it| it.0 <= now);
        self.nodes[at].inbox = later;
        due.into_iter().map(|(_, beat)| beat).collect()
    }

    fn read(&mut self, at: usize) {
        let end = Offset(self.log.len() as u64);
        match self.nodes[at].membership.source() {
            RecordSource::Log if self.log_up && self.nodes[at].reaches_log => {
                self.fold(at, end);
                let asked = self.now;
                self.event(at, Event::Log { asked, end: Some(end) });
            }
            RecordSource::Log => self.event(at, Event::LogFailed),
            RecordSource::Peer(vm) => self.follow(at, vm),
        }
    }

    fn follow(&mut self, at: usize, vm: VmId) {
        let peer = self.at(vm);
        let own = self.nodes[at].membership.options().vm;
        if !self.nodes[peer].alive || self.cut(own, vm) {
            self.event(at, Event::SourceFailed(vm));
        } else if !self.nodes[peer].frozen {
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

    /// Gives an event to a node and carries its actions out.
    pub fn event(&mut self, at: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.nodes[at].membership.step(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(at, action);
        }
    }

    fn carry_out(&mut self, at: usize, action: Action) {
        let Options { vm, dc, .. } = *self.nodes[at].membership.options();
        match action {
            Action::Beat(to) => self.send(at, to),
            Action::Claim => {
                if self.log_up && self.nodes[at].reaches_log {
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
        let beat = self.nodes[from].membership.heartbeat(self.now);
        if self.cut(beat.vm, to) || self.random(1_000) < self.loss {
            return;
        }
        let Some(to) = self.nodes.iter().rposition(|it| it.membership.options().vm == to) else {
            return;
        };
        let micros = u32::try_from(self.delay.as_micros()).expect("short delays");
        let late = Duration::from_micros(u64::from(self.random(micros.max(1))));
        self.nodes[to].inbox.push((self.now + late, beat));
    }

    fn cut(&self, a: VmId, b: VmId) -> bool {
        self.cuts.contains(&(a, b)) || self.cuts.contains(&(b, a))
    }

    /// A number below `bound` (xorshift).
    pub fn random(&mut self, bound: u32) -> u32 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random % u64::from(bound)) as u32
    }

    /// Whether everybody that runs takes callers.
    pub fn all_ready(&self) -> bool {
        let mut alive = self.nodes.iter().filter(|it| it.alive);
        alive.all(|it| it.membership.status() == Status::Ready && it.ready)
    }
}
