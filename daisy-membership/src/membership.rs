//! The decisions of one entry VM about its peers.

use daisy_model::{DcId, Epoch, Instant, Offset, Vm, VmId};

use crate::{
    Evidence, Heartbeat, HolderClaim, Options, Peer, Peers, RecordSource, Role, Status,
    holder::Tenure,
    readiness::Readiness,
    source::{Reading, View},
};

/// What an entry VM learns.
#[derive(Debug, Clone, Copy)]
pub enum Event<'a> {
    /// The platform's VM list, whole, from the platform or a peer.
    Vms(&'a [Vm]),
    /// A peer's heartbeat.
    Heartbeat(Heartbeat),
    /// The fold of the log has moved on.
    Folded {
        /// The offset of the next record to fold.
        next: Offset,
        /// The generation of the configuration in force.
        generation: u64,
        /// The holder of the own data centre.
        holder_claim: Option<HolderClaim>,
    },
    /// The platform's log has answered a read or an append.
    Log {
        /// When the read was sent.
        asked: Instant,
        /// The log's end, as told by the answer to a read.
        end: Option<Offset>,
    },
    /// A read of the log or an append failed.
    LogFailed,
    /// A record of the holder with this epoch was read at the log's end.
    HolderRecordRead(Epoch),
    /// Where another data centre's holder stands, by the log.
    RemoteHolder {
        /// The data centre.
        dc: DcId,
        /// Its holder.
        holder: VmId,
    },
    /// A claim was appended, or is given up and not sent again.
    ClaimEnded,
    /// The source of records makes no progress.
    SourceFailed(VmId),
    /// Time has passed; at least twice a heartbeat.
    Tick,
    /// A planned stop begins.
    Stop,
}

/// What an entry VM wants done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the present heartbeat to a peer.
    Beat(VmId),
    /// Append a claim; it must be given up after a heartbeat without an answer.
    Claim,
    /// Append the release of a holding, after all that was appended under it.
    Release(Epoch),
    /// Do this for the workers from now on.
    ChangeRole(Role),
    /// Read the log's records from here from now on.
    Read(RecordSource),
    /// Take callers, or take none.
    Ready(bool),
}

/// The decisions of one entry VM about its peers.
#[derive(Debug)]
pub struct Membership {
    pub(crate) options: Options,
    pub(crate) peers: Peers,
    pub(crate) tenure: Tenure,
    pub(crate) readiness: Readiness,
    pub(crate) far: Vec<(DcId, VmId)>,
    pub(crate) started: Instant,
    pub(crate) stepped: Instant,
    pub(crate) seq: u32,
    pub(crate) beat_due: Instant,
    pub(crate) next: Offset,
    pub(crate) generation: u64,
    pub(crate) status: Status,
    pub(crate) log_answered: Option<Instant>,
    pub(crate) reading: Reading,
    pub(crate) role: Role,
}

impl Membership {
    /// An entry VM that starts at `now` and knows nobody.
    pub fn new(now: Instant, options: Options) -> Membership {
        Membership {
            tenure: Tenure::new(now, &options),
            options,
            peers: Peers::default(),
            readiness: Readiness::default(),
            far: Vec::new(),
            started: now,
            stepped: now,
            seq: 0,
            beat_due: now,
            next: Offset(0),
            generation: 0,
            status: Status::Starting,
            log_answered: None,
            reading: Reading::new(),
            role: Role::Idle,
        }
    }

    /// All other entry VMs.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// How this entry VM takes part.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// What this entry VM does for its workers.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Where records are read from.
    pub fn source(&self) -> RecordSource {
        self.reading.source()
    }

    /// Whether this entry VM takes callers.
    pub fn status(&self) -> Status {
        self.status
    }

    /// The holder of the own data centre, if there is one by the log.
    pub fn holder_claim(&self) -> Option<HolderClaim> {
        self.tenure.holder_claim
    }

    /// Whether the log has answered lately.
    pub fn log_answers(&self, now: Instant) -> bool {
        self.log_answered.is_some_and(|at| now.since(at) < self.options.log_timeout())
    }

    /// The heartbeat to send now.
    pub fn heartbeat(&self, now: Instant) -> Heartbeat {
        let own = self.tenure.own_epoch(&self.options);
        let evidence = match own {
            Some(epoch) => Some(Evidence { epoch, seq: self.seq }),
            None => self.tenure.evidence,
        };
        Heartbeat {
            vm: self.options.vm,
            dc: self.options.dc,
            seq: self.seq,
            next: self.next,
            generation: self.generation,
            status: self.status,
            reads_log: self.source() == RecordSource::Log && self.log_answers(now),
            evidence,
        }
    }

    /// Takes `event` in at `now` and pushes what is to be done.
    pub fn step(&mut self, now: Instant, event: Event<'_>, actions: &mut Vec<Action>) {
        self.notice_pause(now);
        match event {
            Event::Vms(vms) => {
                self.readiness.listed = true;
                self.peers.list(&self.options, vms);
            }
            Event::Heartbeat(beat) => self.hear(now, beat),
            Event::Folded { next, generation, holder_claim } => {
                self.next = next;
                self.generation = generation;
                self.tenure.learn(now, holder_claim);
            }
            Event::Log { asked, end } => self.log_answered(asked, end),
            Event::LogFailed => self.log_answered = None,
            Event::HolderRecordRead(epoch) => {
                if self.tenure.holder_claim.is_some_and(|it| it.epoch == epoch) {
                    self.tenure.sign = now;
                }
            }
            Event::RemoteHolder { dc, holder } => {
                self.far.retain(|(it, _)| *it != dc);
                self.far.push((dc, holder));
            }
            Event::ClaimEnded => {
                self.tenure.claiming = false;
                self.tenure.claim_after = now + self.options.heartbeat;
            }
            Event::SourceFailed(vm) => self.reading.avoid(now, &self.options, vm),
            Event::Tick => {}
            Event::Stop => self.stop(now, actions),
        }
        self.beat(now, actions);
        self.claim(now, actions);
        self.choose_role(now, actions);
        self.choose_source(now, actions);
        self.choose_readiness(now, actions);
    }

    /// Guard: a process that was paused has heard nobody for as long, and would take every
    /// holder and peer for dead when it wakes: a needless claim after each pause. Silence
    /// that was its own is taken out of the account. Its own lease is not prolonged.
    fn notice_pause(&mut self, now: Instant) {
        let pause = now.since(self.stepped);
        self.stepped = now;
        if pause > self.options.heartbeat * 2 {
            self.tenure.sign = now;
            self.peers.forgive(now);
        }
    }

    fn hear(&mut self, now: Instant, beat: Heartbeat) {
        if beat.vm == self.options.vm || !self.peers.hear(&self.options, now, beat) {
            return;
        }
        if beat.dc != self.options.dc {
            return;
        }
        let Some(evidence) = beat.evidence else { return };
        match self.tenure.own_epoch(&self.options) {
            Some(epoch) if epoch == evidence.epoch => self.tenure.echoed(evidence.seq),
            _ => self.tenure.witness(now, evidence),
        }
    }

    fn log_answered(&mut self, asked: Instant, end: Option<Offset>) {
        self.log_answered = self.log_answered.max(Some(asked));
        let Some(end) = end else { return };
        self.readiness.log_end.get_or_insert(end);
        if self.next >= end {
            self.tenure.log_shown = self.tenure.log_shown.max(Some(asked));
        }
    }

    fn stop(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.status == Status::Leaving {
            return;
        }
        if self.status == Status::Ready {
            actions.push(Action::Ready(false));
        }
        self.status = Status::Leaving;
        if let Some(epoch) = self.tenure.own_epoch(&self.options) {
            actions.push(Action::Release(epoch));
        }
        // Peers learn at once, so that they claim and stop asking this entry VM.
        self.beat_due = now;
        for (_, peer) in self.peers.iter_mut() {
            peer.told = None;
        }
    }

    /// The number of live candidates of the data centre before this entry VM.
    pub(crate) fn rank(&self, now: Instant) -> u32 {
        let silent = self.tenure.holder_claim.filter(|it| !it.released).map(|it| it.holder);
        // A fresh process has not heard everybody yet. Those that are listed count until they
        // had time to speak, so that processes that start together do not claim together.
        let fresh = now.since(self.started) < self.options.peer_timeout(self.peers.near());
        let present = |vm: VmId, peer: &Peer| {
            let unheard = fresh && peer.listed && peer.heard.is_none();
            unheard || (self.peers.alive(&self.options, now, vm) && !peer.leaving())
        };
        let near = self.peers.iter().filter(|(_, peer)| peer.dc == self.options.dc);
        let before = near
            .filter(|(vm, _)| *vm < self.options.vm && Some(*vm) != silent)
            .filter(|(vm, peer)| present(*vm, peer));
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    fn claim(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let able = self.status != Status::Leaving
            && self.readiness.listed
            && self.readiness.log_end.is_some_and(|end| self.next >= end)
            && self.log_answers(now);
        if !able || self.tenure.claiming || !self.tenure.vacant(&self.options, now) {
            return;
        }
        let rank = self.rank(now);
        if now >= self.tenure.claim_at(&self.options, rank) {
            self.tenure.claim(self.next);
            actions.push(Action::Claim);
        }
    }

    fn choose_role(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let role = self.role_at(now);
        if role != self.role {
            self.role = role;
            actions.push(Action::ChangeRole(role));
        }
    }

    fn role_at(&self, now: Instant) -> Role {
        if self.status == Status::Leaving {
            return Role::Idle;
        }
        if let Some(epoch) = self.tenure.own_epoch(&self.options) {
            return match self.tenure.shown(&self.options, &self.peers, now) {
                true => Role::Holder(epoch),
                false => Role::LeaseRenewer(epoch),
            };
        }
        let Some(holder_claim) = self.tenure.holder_claim else { return Role::Idle };
        let first = self.rank(now) == 0;
        let dead = self.tenure.vacant(&self.options, now);
        match first && dead && !self.log_answers(now) {
            true => Role::LeaseRenewer(holder_claim.epoch),
            false => Role::Idle,
        }
    }

    fn choose_source(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let live = self.tenure.holder_claim.filter(|it| !it.released).map(|it| it.holder);
        let view = View {
            options: &self.options,
            peers: &self.peers,
            holder: live,
            holder_silent: self.tenure.silent_for(now) >= self.options.holder_timeout / 2,
            next: self.next,
            log_answers: self.log_answers(now),
        };
        if let Some(source) = self.reading.try_change(now, &view) {
            actions.push(Action::Read(source));
        }
    }

    fn choose_readiness(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let reached =
            || self.readiness.reached(&self.options, &self.peers, now, self.started, self.next);
        if self.status == Status::Starting && reached() {
            self.status = Status::Ready;
            actions.push(Action::Ready(true));
        }
    }
}
