//! Follows the log, from the platform by long polls or from a peer that forwards it.

use std::time::Duration;

use daisy_membership::RecordSource;
use daisy_model::{Offset, VmId};
use daisy_wire::peer::RecordStreamMessage;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::sleep,
};

use crate::{
    clock::Clock,
    control::{Input, Page},
    peers::Links,
    platform::{Platform, PlatformError, Read},
};

/// The first pause after a failed read; doubled up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause: a log that is available again is noticed within this time.
const MAX_PAUSE: Duration = Duration::from_millis(1_000);

/// The source to read from, and how long a poll may wait there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReadPlan {
    pub source: RecordSource,
    /// The longest wait for a record; not longer than the holder's lease allows.
    pub wait: Duration,
}

/// Reads records and passes them to the control task, which returns the offset from which to read
/// on.
#[derive(Debug)]
pub(crate) struct Reader {
    pub platform: Platform,
    pub links: Links,
    pub clock: Clock,
    pub plan: watch::Receiver<ReadPlan>,
    pub control: mpsc::Sender<Input>,
}

/// The control task has ended.
struct ControlStopped;

impl Reader {
    /// Reads until the control task has ended.
    pub async fn run(mut self) {
        let mut next = Offset(0);
        let mut pause = MIN_PAUSE;
        loop {
            let plan = *self.plan.borrow_and_update();
            let outcome = match plan.source {
                RecordSource::Log => self.poll(&mut next, plan.wait).await,
                RecordSource::Peer(vm) => self.follow(&mut next, vm).await,
            };
            match outcome {
                Ok(true) => pause = MIN_PAUSE,
                Ok(false) => {
                    tokio::select! {
                        () = sleep(pause) => pause = (pause * 2).min(MAX_PAUSE),
                        Ok(()) = self.plan.changed() => pause = MIN_PAUSE,
                    }
                }
                Err(ControlStopped) => return,
            }
        }
    }

    /// Reads the platform's log once; returns `false` if the read failed.
    async fn poll(&mut self, next: &mut Offset, wait: Duration) -> Result<bool, ControlStopped> {
        let sent_at = self.clock.now();
        match self.platform.read(*next, wait).await {
            Ok(Read::Page(page)) => {
                let bounds = Some((page.first, page.end));
                let page = Page { sent_at, bounds, records: page.records };
                self.deliver(next, |ack| Input::Page(page, ack)).await?;
                Ok(true)
            }
            Ok(Read::Expired(first)) => {
                log::warn!("event=log_expired from={next} first={first}");
                self.deliver(next, |ack| Input::LogExpired { first, ack }).await?;
                // The pause after `false` keeps failing cold starts from repeating in a tight loop.
                Ok(false)
            }
            Err(e) => {
                log::debug!("event=log_read_failed from={next} cause=\"{e}\"");
                // A limit on appends does not affect reads.
                if !matches!(e, PlatformError::Busy) {
                    self.send(Input::ReadFailed { source: RecordSource::Log }).await?;
                }
                Ok(false)
            }
        }
    }

    /// Follows a peer until its stream ends or the source changes; returns `false` if it failed.
    async fn follow(&mut self, next: &mut Offset, vm: VmId) -> Result<bool, ControlStopped> {
        let Some(mut stream) = self.links.records(vm, *next).await else {
            self.send(Input::ReadFailed { source: RecordSource::Peer(vm) }).await?;
            return Ok(false);
        };
        loop {
            let message = tokio::select! {
                message = stream.next() => message,
                Ok(()) = self.plan.changed() => return Ok(true),
            };
            let sent_at = self.clock.now();
            match message {
                Some(RecordStreamMessage::Records { first, bodies }) => {
                    let offsets = (first.0..).map(Offset);
                    let records = offsets.zip(bodies.into_iter().map(Into::into)).collect();
                    let page = Page { sent_at, bounds: None, records };
                    self.deliver(next, |ack| Input::Page(page, ack)).await?;
                }
                Some(RecordStreamMessage::Snapshot { bytes, .. }) => {
                    self.deliver(next, |ack| Input::Snapshot { bytes, ack }).await?;
                }
                None => {
                    self.send(Input::ReadFailed { source: RecordSource::Peer(vm) }).await?;
                    return Ok(false);
                }
            }
        }
    }

    /// Passes the result of a read to the control task, and sets the offset from which to read on.
    async fn deliver(
        &self,
        next: &mut Offset,
        input: impl FnOnce(oneshot::Sender<Offset>) -> Input,
    ) -> Result<(), ControlStopped> {
        let (ack, folded) = oneshot::channel();
        self.send(input(ack)).await?;
        *next = folded.await.map_err(|_| ControlStopped)?;
        Ok(())
    }

    async fn send(&self, input: Input) -> Result<(), ControlStopped> {
        self.control.send(input).await.map_err(|_| ControlStopped)
    }
}

/// Returns how long a poll waits. It is short while there are no peers, because then only the log
/// can confirm that a holder still is the holder.
pub(crate) fn poll_wait(holder_timeout: Duration, has_no_peers: bool) -> Duration {
    match has_no_peers {
        true => holder_timeout / 4,
        false => holder_timeout / 2,
    }
}
