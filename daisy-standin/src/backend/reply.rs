//! Sends an answer, whole or as the fault switches say.

use std::time::Duration;

use bytes::Bytes;
use daisy_wire::headers;
use futures::{StreamExt, stream};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::sleep;

use super::{Shared, Slots, number};
use crate::{
    fault::count_down,
    http::{Abort, Body, BodyError, answer},
    recorder::locked,
    repeat::Repeat,
};

/// What a request asks its answer to be.
#[derive(Debug, Clone)]
pub(super) struct Shape {
    /// Time that the request takes.
    pub(super) service_time: Duration,
    /// Bytes of the answer after its first line.
    pub(super) size: usize,
    chunks: usize,
    gap: Duration,
}

const SIZE_MAX: u64 = 16 << 20;
const CHUNKS_MAX: u64 = 1_000;

impl Shape {
    /// Reads the query of `req`.
    pub(super) fn of<B>(req: &Request<B>, service_time: Duration) -> Shape {
        let default_ms = service_time.as_millis() as u64;
        Shape {
            service_time: Duration::from_millis(number(req, "ms", default_ms)),
            size: number(req, "size", 0).min(SIZE_MAX) as usize,
            chunks: number(req, "chunks", 1).clamp(1, CHUNKS_MAX) as usize,
            gap: Duration::from_millis(number(req, "gap_ms", 0)),
        }
    }

    /// Stretches the service time by `slowdown` thousandths.
    pub(super) fn slow_down(&mut self, slowdown: u32) {
        self.service_time = self.service_time * slowdown / 1000;
    }
}

/// Sets the headers that every answer of a backend server bears.
pub(super) fn mark(
    response: &mut Response<Body>,
    request: &str,
    outcome: &'static str,
    slots: &Slots,
    leaving: bool,
) {
    let map = response.headers_mut();
    if let Ok(request) = HeaderValue::from_str(request) {
        map.insert(headers::REQUEST_ID, request);
    }
    map.insert(headers::OUTCOME, HeaderValue::from_static(outcome));
    map.insert(headers::IN_FLIGHT, slots.taken().into());
    if leaving {
        map.insert(headers::LEAVING, HeaderValue::from_static("1"));
    }
}

/// What the switches do to one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mishap {
    None,
    Truncated,
    Doubled,
    WrongId,
    Reordered,
}

impl Shared {
    /// The answer to `request`, mangled if a switch is on.
    pub(super) fn deliver(
        &self,
        request: String,
        whole: Bytes,
        shape: Shape,
        repeat: &Repeat,
    ) -> Response<Body> {
        let previous = locked(&self.previous).replace((request.clone(), whole.clone()));
        let mishap = self.next_mishap(previous.is_some());
        let (id, body) = match (mishap, previous) {
            (Mishap::Reordered, Some(other)) => other,
            (Mishap::WrongId, _) => (other_id(&request), whole),
            _ => (request, whole),
        };
        if mishap == Mishap::Doubled {
            repeat.arm();
        }
        let mut response = if mishap == Mishap::Truncated {
            truncated(body)
        } else if shape.chunks > 1 {
            streamed(body, &shape)
        } else {
            answer(StatusCode::OK, "text/plain", body)
        };
        mark(&mut response, &id, "answered", &self.slots, self.switches.with(|it| it.leaving));
        response
    }

    fn next_mishap(&self, has_previous: bool) -> Mishap {
        self.switches.with(|faults| {
            if count_down(&mut faults.truncate) {
                Mishap::Truncated
            } else if count_down(&mut faults.doubled) {
                Mishap::Doubled
            } else if count_down(&mut faults.wrong_id) {
                Mishap::WrongId
            } else if has_previous && count_down(&mut faults.reorder) {
                Mishap::Reordered
            } else {
                Mishap::None
            }
        })
    }
}

fn other_id(request: &str) -> String {
    let other = u64::from_str_radix(request, 16).unwrap_or(0) ^ 1;
    format!("{other:016x}")
}

/// Half of the body under the length of the whole, then the end of the connection.
fn truncated(body: Bytes) -> Response<Body> {
    let length = body.len();
    let half = body.slice(..length / 2);
    let broken: BodyError = Box::new(Abort);
    let frames = stream::iter([Ok(Frame::data(half)), Err(broken)]);
    // The pause lets the half go out before the connection breaks.
    let frames = frames.then(|frame| async {
        sleep(Duration::from_millis(1)).await;
        frame
    });
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    response.headers_mut().insert(header::CONTENT_LENGTH, length.into());
    response
}

fn streamed(body: Bytes, shape: &Shape) -> Response<Body> {
    let piece = body.len().div_ceil(shape.chunks).max(1);
    let pieces: Vec<Bytes> = (0..body.len())
        .step_by(piece)
        .map(|at| body.slice(at..(at + piece).min(body.len())))
        .collect();
    let gap = shape.gap;
    let frames = stream::iter(pieces).then(move |piece| async move {
        sleep(gap).await;
        Ok::<_, BodyError>(Frame::data(piece))
    });
    Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)))
}
