//! Bodies on their way to a backend server and back to the caller.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::proxy::guard::AnswerGuard;

/// Why a body broke off; the connection that it was written to is aborted.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The other side's connection broke, or its framing did.
    #[error("body cut off: {0}")]
    CutOff(#[from] hyper::Error),
    /// The caller's body grew beyond the limit.
    #[error("body longer than {limit} bytes")]
    TooLarge {
        /// The limit.
        limit: u64,
    },
    /// The answer was not complete at the request's deadline.
    #[error("answer incomplete at the deadline")]
    Deadline,
    /// An answer of the entry VM itself failed.
    #[error("{0}")]
    Own(#[from] viz::Error),
}

/// A request's body on its way to a backend server.
#[derive(Debug)]
pub(super) enum Outgoing {
    /// Held in memory, so that it can be sent again.
    Buffered(Full<Bytes>),
    /// Passed on as it comes, once.
    Streamed {
        /// The caller's body.
        inner: Incoming,
        /// Bytes that may still come.
        left: u64,
        /// Bytes that may come in all.
        limit: u64,
    },
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Outgoing::Buffered(full) => {
                Pin::new(full).poll_frame(cx).map_err(|never| match never {})
            }
            Outgoing::Streamed { inner, left, limit } => {
                let frame = ready!(Pin::new(inner).poll_frame(cx)).transpose()?;
                let length = frame.as_ref().and_then(Frame::data_ref).map_or(0, Bytes::len) as u64;
                match left.checked_sub(length) {
                    Some(rest) => *left = rest,
                    None => return Poll::Ready(Some(Err(BodyError::TooLarge { limit: *limit }))),
                }
                Poll::Ready(frame.map(Ok))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Outgoing::Buffered(full) => full.is_end_stream(),
            Outgoing::Streamed { inner, .. } => inner.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Outgoing::Buffered(full) => full.size_hint(),
            Outgoing::Streamed { inner, .. } => inner.size_hint(),
        }
    }
}

/// An answer's body on its way to the caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// Held in memory.
    Fixed(Full<Bytes>),
    /// Passed on from a backend server as it comes.
    Streamed(Streamed),
    /// Made by a route of the control side.
    Own(viz::Body),
}

impl AnswerBody {
    /// A body held in memory.
    pub(super) fn fixed(bytes: impl Into<Bytes>) -> AnswerBody {
        AnswerBody::Fixed(Full::new(bytes.into()))
    }
}

/// A backend server's body; holds the slot and the connection until its end.
#[derive(Debug)]
pub struct Streamed {
    inner: Incoming,
    guard: AnswerGuard,
}

impl Streamed {
    /// Passes `inner` on; `guard` learns how it ended.
    pub(super) fn new(inner: Incoming, guard: AnswerGuard) -> Streamed {
        Streamed { inner, guard }
    }

    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        if polled.is_pending() && self.guard.poll_deadline(cx).is_ready() {
            self.guard.broken();
            return Poll::Ready(Some(Err(BodyError::Deadline)));
        }
        match ready!(polled) {
            Some(Ok(frame)) => {
                self.guard.count(frame.data_ref().map_or(0, Bytes::len));
                if self.inner.is_end_stream() {
                    self.guard.complete();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(err)) => {
                self.guard.broken();
                Poll::Ready(Some(Err(err.into())))
            }
            None => {
                self.guard.complete();
                Poll::Ready(None)
            }
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            AnswerBody::Fixed(full) => {
                Pin::new(full).poll_frame(cx).map_err(|never| match never {})
            }
            AnswerBody::Streamed(streamed) => streamed.poll_frame(cx),
            AnswerBody::Own(body) => Pin::new(body).poll_frame(cx).map_err(BodyError::Own),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Fixed(full) => full.is_end_stream(),
            AnswerBody::Streamed(streamed) => streamed.inner.is_end_stream(),
            AnswerBody::Own(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Fixed(full) => full.size_hint(),
            AnswerBody::Streamed(streamed) => streamed.inner.size_hint(),
            AnswerBody::Own(body) => Body::size_hint(body),
        }
    }
}
