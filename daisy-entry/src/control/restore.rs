//! Restores the state from the retained records of the log or from a peer, and writes snapshots for
//! later cold starts.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use daisy_ledger::{
    State,
    snapshot::{self, SinceSnapshot},
};
use daisy_membership::Role;
use daisy_model::{Instant, Offset};
use daisy_routing::{KeyAnswer, KeyQuery};
use daisy_wire::snapshot::Restore;

use crate::{boundary::RequestSide, control::Control};

/// Size of one part of a snapshot, in bytes: half of the longest append.
const PART_BYTES: usize = 512 << 10;
/// The share of the retained records, in thirds, after which any holder writes a snapshot if the
/// log drops records. The first writer already writes after `3 - FALLBACK_THIRDS` thirds.
const FALLBACK_THIRDS: u64 = 2;

/// Progress since the last complete snapshot.
#[derive(Debug)]
pub(super) struct Snapshots {
    /// The offset that the last complete snapshot in the log covers.
    through: Option<Offset>,
    /// When this process first saw that snapshot.
    first_seen_at: Instant,
    /// Bytes folded since then.
    bytes: u64,
    /// The first record that the log retains.
    first: Offset,
    /// The end offset of the state that this process last wrote as a snapshot.
    last_written_end: Option<Offset>,
}

impl Snapshots {
    /// Creates a tracker that knows no snapshot.
    pub fn new(now: Instant) -> Snapshots {
        Snapshots {
            through: None,
            first_seen_at: now,
            bytes: 0,
            first: Offset(0),
            last_written_end: None,
        }
    }

    /// Records that an entry of `bytes` bytes was folded.
    pub fn record_folded(&mut self, now: Instant, state: &State, bytes: usize) {
        let through = state.snapshot.map(|mark| mark.through);
        if through != self.through {
            (self.through, self.first_seen_at, self.bytes) = (through, now, 0);
        }
        self.bytes += bytes as u64;
    }

    /// Sets the first record that the log retains.
    pub fn set_first_retained(&mut self, first: Offset) {
        self.first = first;
    }

    /// Returns whether the writer of rank `rank` should write a snapshot now, if the log retains
    /// records for `retention`.
    ///
    /// The platform does not publish its retention. If the log drops records sooner than the
    /// settings say, snapshots are written sooner as well.
    fn is_due(&self, now: Instant, state: &State, rank: u32, retention: Duration) -> bool {
        if self.last_written_end.is_some_and(|it| self.through.is_none_or(|through| through < it)) {
            // The snapshot of this process is being appended.
            return false;
        }
        let from = self.through.unwrap_or_default();
        let entries = state.next.0.saturating_sub(from.0);
        let since =
            SinceSnapshot { entries, bytes: self.bytes, age: now.since(self.first_seen_at) };
        let options = snapshot::Options::for_retention(retention);
        // If the log drops records, a snapshot is due after a third of the retained records.
        let retained = state.next.0.saturating_sub(self.first.0);
        let expiring = self.first > Offset(0) && entries * 3 >= retained * (3 - FALLBACK_THIRDS);
        let is_writer = rank == 0 || entries * 3 >= retained * FALLBACK_THIRDS;
        entries > 0 && (snapshot::is_due(&options, &since, rank) || (expiring && is_writer))
    }
}

impl<R: RequestSide<KeyQuery, KeyAnswer>> Control<R> {
    /// Begins a cold start from `first`, because the log no longer has the next record to fold;
    /// returns the offset to read from.
    pub(super) fn handle_log_expired(&mut self, first: Offset) -> Offset {
        log::warn!("event=cold_start first={first} next={}", self.state.next);
        self.snapshots.set_first_retained(first);
        self.restore = Some(Restore::new(first));
        first
    }

    /// Adds a page to a cold start and returns the offset from which to read on.
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

    /// Loads a peer's state in place of records that the peer no longer has.
    pub(super) fn load_peer_state(&mut self, now: Instant, bytes: &[u8]) -> Offset {
        match daisy_wire::snapshot::decode(bytes) {
            Ok(state) => self.adopt(now, state),
            Err(e) => log::error!("event=peer_state_refused cause=\"{e}\""),
        }
        self.state.next
    }

    /// Replaces the state by `state`.
    ///
    /// Guard: a restored or received state is adopted only if it is ahead of the current state;
    /// otherwise an accepted configuration would be rolled back.
    fn adopt(&mut self, now: Instant, state: State) {
        if state.next <= self.state.next {
            return;
        }
        log::info!("event=state_adopted next={} generation={}", state.next, state.generation);
        if state.generation != self.state.generation {
            let offset = Offset(state.generation.0.saturating_sub(1));
            self.config = Some((offset, self.clock.wall_time()));
        }
        self.state = Arc::new(state);
        self.restore = None;
        self.after_fold(now);
    }

    /// Encodes the whole state for a peer.
    pub(super) fn encode(&self) -> (Offset, Vec<u8>) {
        let bytes = daisy_wire::snapshot::encode(&self.state).unwrap_or_default();
        (self.state.next, bytes)
    }

    /// Appends a snapshot if one is due from this entry VM.
    ///
    /// Holders write snapshots. The holder of the data centre with the lowest number is the first
    /// writer.
    pub(super) fn write_snapshot(&mut self, now: Instant) {
        if !matches!(self.membership.role(), Role::Holder(_)) || !self.appends.is_reachable() {
            return;
        }
        let rank = u32::from(self.identity.dc.0);
        if !self.snapshots.is_due(now, &self.state, rank, self.identity.log_retention) {
            return;
        }
        match daisy_wire::snapshot::write(&self.state, PART_BYTES) {
            Ok(records) => {
                let (next, parts) = (self.state.next, records.len());
                log::info!("event=snapshot through={next} parts={parts}");
                self.snapshots.last_written_end = Some(next);
                records.into_iter().for_each(|record| self.append(record));
            }
            Err(e) => log::error!("event=snapshot_failed cause=\"{e}\""),
        }
    }
}
