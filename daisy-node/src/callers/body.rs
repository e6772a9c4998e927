//! Reads the bodies of requests into memory that all of them share.

use std::sync::Arc;

use bytes::Buf;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout_at},
};

/// The length up to which a body is read whatever the others take, so that common requests are
/// answered beside large ones. The number of connections bounds the sum.
const UNCOUNTED_BYTES: usize = 8 << 10;
/// The size of one permit.
const PERMIT_BYTES: usize = 1 << 10;
/// The least memory for all requests: enough for one of the largest body and the most tasks.
const MIN_TOTAL_BYTES: usize = 6 << 20;

/// The memory that requests may take together.
#[derive(Debug, Clone)]
pub(crate) struct RequestMemory(Arc<Semaphore>);

/// Memory that a request has taken, until it is dropped.
#[derive(Debug, Default)]
pub(crate) struct TakenMemory(Option<OwnedSemaphorePermit>);

/// Why a body was not read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyError {
    #[error("the body is longer than the configured limit")]
    TooLong,
    #[error("other requests take the memory for bodies")]
    NoMemory,
    #[error("the body did not arrive in time")]
    Timeout,
    #[error("{0}")]
    Broken(String),
}

impl RequestMemory {
    /// Returns the memory for requests of a process that may use `process_bytes`.
    pub fn new(process_bytes: u64) -> RequestMemory {
        /// The other parts hold the state of jobs, and the connections.
        const PART_OF_PROCESS: u64 = 8;
        let total = ((process_bytes / PART_OF_PROCESS) as usize).max(MIN_TOTAL_BYTES);
        RequestMemory(Arc::new(Semaphore::new(total / PERMIT_BYTES)))
    }

    /// Takes `bytes` more for a request; returns false if others have taken too much.
    pub fn try_take(&self, bytes: usize, taken: &mut TakenMemory) -> bool {
        let permits = bytes.div_ceil(PERMIT_BYTES).try_into().unwrap_or(u32::MAX);
        let Ok(more) = self.0.clone().try_acquire_many_owned(permits) else { return false };
        match &mut taken.0 {
            Some(it) => it.merge(more),
            None => taken.0 = Some(more),
        }
        true
    }

    /// Reads a body of at most `max_bytes` until `deadline`.
    ///
    /// Frames are copied into one buffer: each refers to the whole buffer that it was received in,
    /// which a short chunk would keep in use.
    pub async fn read(
        &self,
        body: &mut Incoming,
        max_bytes: usize,
        deadline: Instant,
    ) -> Result<(Vec<u8>, TakenMemory), BodyError> {
        let mut buf = Vec::new();
        let mut taken = TakenMemory::default();
        loop {
            let frame = timeout_at(deadline, body.frame()).await.map_err(|_| BodyError::Timeout)?;
            let Some(frame) = frame else { return Ok((buf, taken)) };
            let frame = frame.map_err(|e| BodyError::Broken(e.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            let len = buf.len() + data.remaining();
            if len > max_bytes {
                return Err(BodyError::TooLong);
            }
            self.grow(&mut buf, len, max_bytes, &mut taken)?;
            buf.extend_from_slice(&data);
        }
    }

    /// Lets `buf` have room for `len` bytes.
    fn grow(
        &self,
        buf: &mut Vec<u8>,
        len: usize,
        max_bytes: usize,
        taken: &mut TakenMemory,
    ) -> Result<(), BodyError> {
        if len <= buf.capacity() {
            return Ok(());
        }
        let capacity = (buf.capacity() * 2).max(len).min(max_bytes);
        let before = buf.capacity().max(UNCOUNTED_BYTES);
        if capacity > before && !self.try_take(capacity - before, taken) {
            return Err(BodyError::NoMemory);
        }
        buf.reserve_exact(capacity - buf.len());
        Ok(())
    }
}
