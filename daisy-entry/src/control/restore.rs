//! From what the log or a peer still has to the state, and snapshots for those that come later.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use daisy_ledger::{
    State,
    snapshot::{self, Since},
};
use daisy_membership::Role;
use daisy_model::{Instant, Offset};
use daisy_routing::{KeyAnswer, KeyQuery};
use daisy_wire::snapshot::Restore;

use crate::{boundary::RequestSide, control::Control};

/// Bytes of one part of a snapshot: half of the longest append.
const PART_BYTES: usize = 512 << 10;
/// The share of the log's records, in thirds, that may lie before a snapshot that still counts.
const FALLBACK_THIRDS: u64 = 2;

/// What has happened since the last whole snapshot.
#[derive(Debug)]
pub(super) struct Snapshots {
    /// The last whole snapshot that was seen.
    through: Option<Offset>,
    /// When this process first saw it.
    seen: Instant,
    /// Bytes folded since.
    bytes: u64,
    /// The first record that the log keeps.
    first: Offset,
    /// The end of the state that was last written.
    written: Option<Offset>,
}

impl Snapshots {
    /// No snapshot known.
    pub fn new(now: Instant) -> Snapshots {
        Snapshots { through: None, seen: now, bytes: 0, first: Offset(0), written: None }
    }

    /// An entry was folded.
    pub fn record_folded(&mut self, now: Instant, state: &State, bytes: usize) {
        let through = state.snapshot.map(|mark| mark.through);
        if through != self.through {
            (self.through, self.seen, self.bytes) = (through, now, 0);
        }
        self.bytes += bytes as u64;
    }

    /// The log tells which record is its first.
    pub fn set_first_retained(&mut self, first: Offset) {
        self.first = first;
    }

    /// Whether the `rank`-th writer should write one now, if the log keeps records that long.
    ///
    /// The platform does not tell its retention. Where the log shows that it drops records
    /// sooner than the settings say, snapshots come sooner as well.
    fn due(&self, now: Instant, state: &State, rank: u32, retention: Duration) -> bool {
        if self.written.is_some_and(|it| self.through.is_none_or(|through| through < it)) {
            // The own one is on its way.
            return false;
        }
        let from = self.through.unwrap_or_default();
        let entries = state.next.0.saturating_sub(from.0);
        let since = Since { entries, bytes: self.bytes, age: now.since(self.seen) };
        let options = snapshot::Options::for_retention(retention);
        // The log drops records: a third of what it keeps may pass before the next snapshot.
        let retained = state.next.0.saturating_sub(self.first.0);
        let expiring = self.first > Offset(0) && entries * 3 >= retained * (3 - FALLBACK_THIRDS);
        let is_own_turn = rank == 0 || entries * 3 >= retained * FALLBACK_THIRDS;
        entries > 0 && (snapshot::due(&options, &since, rank) || (expiring && is_own_turn))
    }
}

impl<R: RequestSide<KeyQuery, KeyAnswer>> Control<R> {
    /// The log begins after the next record: goes on with its first one, looking for a snapshot.
    pub(super) fn handle_log_expired(&mut self, first: Offset) -> Offset {
        log::warn!("event=cold_start first={first} next={}", self.state.next);
        self.snapshots.set_first_retained(first);
        self.restore = Some(Restore::new(first));
        first
    }

    /// Takes a page into a cold start; the offset to read on from.
    pub(super) fn restore_page(
        &mut self,
        now: Instant,
        mut restore: Restore,
        end: Option<Offset>,
        records: &[(Offset, Bytes)],
    ) -> Offset {
        for (offset, bytes) in records {
            if let Err(e) = restore.push(*offset, bytes) {
                log::error!("event=log_entry_newer offset={offset} cause=\"{e}\"");
                return self.state.next;
            }
        }
        let next = restore.next();
        if end.is_none_or(|end| next < end) {
            self.restore = Some(restore);
            return next;
        }
        match restore.finish() {
            Ok(state) => self.adopt(now, state),
            Err(e) => log::error!("event=cold_start_failed cause=\"{e}\""),
        }
        self.state.next
    }

    /// Takes a peer's state in place of records that it no longer has.
    pub(super) fn load_peer_state(&mut self, now: Instant, bytes: &[u8]) -> Offset {
        match daisy_wire::snapshot::decode(bytes) {
            Ok(state) => self.adopt(now, state),
            Err(e) => log::error!("event=peer_state_refused cause=\"{e}\""),
        }
        self.state.next
    }

    /// Guard: a state from elsewhere is taken only when it is further than the own one, or an
    /// accepted configuration would go back.
    fn adopt(&mut self, now: Instant, state: State) {
        if state.next <= self.state.next {
            return;
        }
        log::info!("event=state_adopted next={} generation={}", state.next, state.generation);
        if state.generation != self.state.generation {
            let offset = Offset(state.generation.0.saturating_sub(1));
            self.config = Some((offset, self.clock.wall()));
        }
        self.state = Arc::new(state);
        self.restore = None;
        self.after_fold(now);
    }

    /// The whole state, for a peer.
    pub(super) fn encode(&self) -> (Offset, Vec<u8>) {
        let bytes = daisy_wire::snapshot::encode(&self.state).unwrap_or_default();
        (self.state.next, bytes)
    }

    /// Appends a snapshot if it is time and this entry VM's turn.
    ///
    /// Holders write, that of the lowest data centre first.
    pub(super) fn write_snapshot(&mut self, now: Instant) {
        if !matches!(self.membership.role(), Role::Holder(_)) || !self.appends.reachable() {
            return;
        }
        let rank = u32::from(self.identity.dc.0);
        if !self.snapshots.due(now, &self.state, rank, self.identity.log_retention) {
            return;
        }
        match daisy_wire::snapshot::write(&self.state, PART_BYTES) {
            Ok(records) => {
                let (next, parts) = (self.state.next, records.len());
                log::info!("event=snapshot through={next} parts={parts}");
                self.snapshots.written = Some(next);
                records.into_iter().for_each(|record| self.append(record));
            }
            Err(e) => log::error!("event=snapshot_failed cause=\"{e}\""),
        }
    }
}
