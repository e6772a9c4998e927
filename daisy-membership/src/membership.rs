//! The state machine of one entry VM's membership.

use daisy_model::{DcId, Epoch, Instant, Offset, Vm, VmId};

use crate::{
    Heartbeat, HolderClaim, HolderEvidence, Options, Peer, Peers, RecordSource, Role, Status,
    holder::HolderState,
    readiness::Readiness,
    source::{SourceInputs, SourceSelector},
};

/// Input of [`Membership::step`].
#[derive(Debug, Clone, Copy)]
pub enum Event<'a> {
    /// The complete VM list of the platform, received from the platform or from a peer.
    Vms(&'a [Vm]),
    /// A heartbeat of a peer.
    Heartbeat(Heartbeat),
    /// Records of the log were folded.
    Folded {
        /// The offset of the next record to fold.
        next: Offset,
        /// The generation of the configuration in force.
        generation: u64,
        /// The newest claim of the own data centre.
        holder_claim: Option<HolderClaim>,
    },
    /// The platform's log has answered a read or an append.
    LogAnswered {
        /// When the read or the append was sent.
        sent_at: Instant,
        /// The end of the log, if the answer contained it.
        end: Option<Offset>,
    },
    /// A read of the log or an append failed.
    LogFailed,
    /// A record of the holder with this epoch was read at the log's end.
    HolderRecordRead(Epoch),
    /// The holder of another data centre according to the log.
    RemoteHolder {
        /// The data centre.
        dc: DcId,
        /// Its holder.
        holder: VmId,
    },
    /// A claim was appended, or was abandoned and will not be sent again.
    ClaimEnded,
    /// Reading records from this peer failed or made no progress.
    SourceFailed(VmId),
    /// Time has passed; must occur at least twice per heartbeat interval.
    Tick,
    /// A planned stop begins.
    Stop,
}

/// Output of [`Membership::step`]: what the caller has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the current [heartbeat](Membership::heartbeat) to a peer.
    Heartbeat(VmId),
    /// Append a claim; the caller must abandon it if it gets no answer within a heartbeat interval.
    Claim,
    /// Append the release of the claim with this epoch, after all records appended under it.
    Release(Epoch),
    /// Take this role towards the workers from now on.
    ChangeRole(Role),
    /// Read the records of the log from this source from now on.
    Read(RecordSource),
    /// Start (`true`) or stop (`false`) accepting callers.
    Ready(bool),
}

/// The membership state of one entry VM.
#[derive(Debug)]
pub struct Membership {
    pub(crate) options: Options,
    pub(crate) peers: Peers,
    pub(crate) holder_state: HolderState,
    pub(crate) readiness: Readiness,
    pub(crate) remote_holders: Vec<(DcId, VmId)>,
    pub(crate) started_at: Instant,
    pub(crate) last_step_at: Instant,
    pub(crate) seq: u32,
    pub(crate) next_heartbeat_at: Instant,
    pub(crate) next: Offset,
    pub(crate) generation: u64,
    pub(crate) status: Status,
    pub(crate) log_answered_at: Option<Instant>,
    pub(crate) source_selector: SourceSelector,
    pub(crate) role: Role,
}

impl Membership {
    /// Returns the state of an entry VM that starts at `now` and knows no peers.
    pub fn new(now: Instant, options: Options) -> Membership {
        Membership {
            holder_state: HolderState::new(now, &options),
            options,
            peers: Peers::default(),
            readiness: Readiness::default(),
            remote_holders: Vec::new(),
            started_at: now,
            last_step_at: now,
            seq: 0,
            next_heartbeat_at: now,
            next: Offset(0),
            generation: 0,
            status: Status::Starting,
            log_answered_at: None,
            source_selector: SourceSelector::new(),
            role: Role::Idle,
        }
    }

    /// Returns all other entry VMs.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns the options of this entry VM.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Returns the role of this entry VM towards its workers.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns where records are read from.
    pub fn source(&self) -> RecordSource {
        self.source_selector.source()
    }

    /// Returns whether this entry VM accepts callers.
    pub fn status(&self) -> Status {
        self.status
    }

    /// Returns the newest claim of the own data centre in the log.
    pub fn holder_claim(&self) -> Option<HolderClaim> {
        self.holder_state.holder_claim
    }

    /// Returns whether the log has answered within the [timeout](Options::log_timeout).
    pub fn log_answers(&self, now: Instant) -> bool {
        self.log_answered_at.is_some_and(|at| now.since(at) < self.options.log_timeout())
    }

    /// Returns the heartbeat to send at `now`.
    pub fn heartbeat(&self, now: Instant) -> Heartbeat {
        let own = self.holder_state.own_epoch(&self.options);
        let evidence = match own {
            Some(epoch) => Some(HolderEvidence { epoch, seq: self.seq }),
            None => self.holder_state.evidence,
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

    /// Handles `event` at `now` and appends the resulting actions to `actions`.
    pub fn step(&mut self, now: Instant, event: Event<'_>, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        match event {
            Event::Vms(vms) => {
                self.readiness.has_vm_list = true;
                self.peers.update_listed(&self.options, now, vms);
            }
            Event::Heartbeat(heartbeat) => self.handle_heartbeat(now, heartbeat),
            Event::Folded { next, generation, holder_claim } => {
                self.next = next;
                self.generation = generation;
                self.holder_state.update_claim(now, holder_claim);
            }
            Event::LogAnswered { sent_at, end } => self.handle_log_answer(sent_at, end),
            Event::LogFailed => self.log_answered_at = None,
            Event::HolderRecordRead(epoch) => {
                if self.holder_state.holder_claim.is_some_and(|it| it.epoch == epoch) {
                    self.holder_state.holder_seen_at = now;
                }
            }
            Event::RemoteHolder { dc, holder } => {
                self.remote_holders.retain(|(it, _)| *it != dc);
                self.remote_holders.push((dc, holder));
            }
            Event::ClaimEnded => {
                self.holder_state.is_claiming = false;
                self.holder_state.claim_after = now + self.options.heartbeat_interval;
            }
            Event::SourceFailed(vm) => self.source_selector.exclude(now, &self.options, vm),
            Event::Tick => {}
            Event::Stop => self.stop(now, actions),
        }
        self.send_heartbeats(now, actions);
        self.claim(now, actions);
        self.choose_role(now, actions);
        self.choose_source(now, actions);
        self.choose_readiness(now, actions);
    }

    /// Restarts the timeouts of the holder and the peers if this process was paused.
    ///
    /// Guard: a paused process receives nothing. When it resumes, it would treat the holder and
    /// every peer as dead, and make a needless claim after each pause. Their timeouts therefore do
    /// not include the pause. Peers that were dead before it stay dead: this process would take
    /// them for homes of keys that they lost when they stopped. The own lease of the process is not
    /// extended.
    fn detect_pause(&mut self, now: Instant) {
        let paused_at = std::mem::replace(&mut self.last_step_at, now);
        if now.since(paused_at) > self.options.heartbeat_interval * 2 {
            self.holder_state.holder_seen_at = now;
            self.peers.restart_timeouts(&self.options, paused_at, now);
        }
    }

    fn handle_heartbeat(&mut self, now: Instant, heartbeat: Heartbeat) {
        if heartbeat.vm == self.options.vm
            || !self.peers.record_heartbeat(&self.options, now, heartbeat)
        {
            return;
        }
        if heartbeat.dc != self.options.dc {
            return;
        }
        let Some(evidence) = heartbeat.evidence else { return };
        match self.holder_state.own_epoch(&self.options) {
            Some(epoch) if epoch == evidence.epoch => self.holder_state.record_echo(evidence.seq),
            _ => self.holder_state.record_evidence(now, evidence),
        }
    }

    fn handle_log_answer(&mut self, sent_at: Instant, end: Option<Offset>) {
        self.log_answered_at = self.log_answered_at.max(Some(sent_at));
        let Some(end) = end else { return };
        self.readiness.log_end.get_or_insert(end);
        if self.next >= end {
            self.holder_state.confirmed_by_log_at =
                self.holder_state.confirmed_by_log_at.max(Some(sent_at));
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
        if let Some(epoch) = self.holder_state.own_epoch(&self.options) {
            actions.push(Action::Release(epoch));
        }
        // Heartbeats are sent at once, so that a peer claims and the peers stop querying this VM.
        self.next_heartbeat_at = now;
        for (_, peer) in self.peers.iter_mut() {
            peer.last_sent = None;
        }
    }

    /// Returns the number of live candidates of the data centre with a lower id than this entry
    /// VM, not counting the current holder.
    pub(crate) fn rank(&self, now: Instant) -> u32 {
        let current_holder =
            self.holder_state.holder_claim.filter(|it| !it.released).map(|it| it.holder);
        // A process that has just started has not received a heartbeat of every peer yet. Listed
        // peers count as alive until they had time to send one, so that processes that start at
        // the same time do not claim at the same time.
        let still_discovering =
            now.since(self.started_at) < self.options.peer_timeout(self.peers.local_count());
        let is_live_candidate = |vm: VmId, peer: &Peer| {
            let not_yet_received = still_discovering && peer.listed && peer.last_received.is_none();
            not_yet_received || (self.peers.is_alive(&self.options, now, vm) && !peer.is_leaving())
        };
        let local = self.peers.iter().filter(|(_, peer)| peer.dc == self.options.dc);
        let candidates_before = local
            .filter(|(vm, _)| *vm < self.options.vm && Some(*vm) != current_holder)
            .filter(|(vm, peer)| is_live_candidate(*vm, peer));
        u32::try_from(candidates_before.count()).unwrap_or(u32::MAX)
    }

    fn claim(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let may_claim = self.status != Status::Leaving
            && self.readiness.has_vm_list
            && self.readiness.log_end.is_some_and(|end| self.next >= end)
            && self.log_answers(now);
        if !may_claim
            || self.holder_state.is_claiming
            || !self.holder_state.is_vacant(&self.options, now)
        {
            return;
        }
        let rank = self.rank(now);
        if now >= self.holder_state.claim_time(&self.options, rank) {
            self.holder_state.claim(self.next);
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
        if let Some(epoch) = self.holder_state.own_epoch(&self.options) {
            return match self.holder_state.is_confirmed(&self.options, &self.peers, now) {
                true => Role::Holder(epoch),
                false => Role::LeaseRenewer(epoch),
            };
        }
        let Some(holder_claim) = self.holder_state.holder_claim else { return Role::Idle };
        let is_first_candidate = self.rank(now) == 0;
        let is_vacant = self.holder_state.is_vacant(&self.options, now);
        match is_first_candidate && is_vacant && !self.log_answers(now) {
            true => Role::LeaseRenewer(holder_claim.epoch),
            false => Role::Idle,
        }
    }

    fn choose_source(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let current_holder =
            self.holder_state.holder_claim.filter(|it| !it.released).map(|it| it.holder);
        let inputs = SourceInputs {
            options: &self.options,
            peers: &self.peers,
            holder: current_holder,
            is_holder_overdue: self.holder_state.time_since_holder_seen(now)
                >= self.options.holder_timeout / 2,
            next: self.next,
            log_answers: self.log_answers(now),
        };
        if let Some(source) = self.source_selector.try_update(now, &inputs) {
            actions.push(Action::Read(source));
        }
    }

    fn choose_readiness(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let has_caught_up = || {
            self.readiness.has_caught_up(
                &self.options,
                &self.peers,
                now,
                self.started_at,
                self.next,
            )
        };
        if self.status == Status::Starting && has_caught_up() {
            self.status = Status::Ready;
            actions.push(Action::Ready(true));
        }
    }
}
