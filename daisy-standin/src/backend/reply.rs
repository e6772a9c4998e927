//! Builds the answers of a backend server, with the faults that the fault switches ask for.

use std::time::Duration;

use bytes::Bytes;
use daisy_wire::headers;
use futures::{StreamExt, stream};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::sleep;

use super::{Shared, Slots, query_number};
use crate::{
    fault::count_down,
    http::{Abort, Body, BodyError, answer},
    recorder::lock,
    repeat::RepeatSwitch,
};

/// The service time and the form of the answer that a request asks for.
#[derive(Debug, Clone)]
pub(super) struct AnswerOptions {
    /// The service time of the request.
    pub(super) service_time: Duration,
    /// Length of the answer in bytes, without its first line.
    pub(super) size: usize,
    /// Number of chunks in which the answer is streamed.
    chunks: usize,
    /// Delay before each chunk.
    gap: Duration,
}

const MAX_SIZE: u64 = 16 << 20;
const MAX_CHUNKS: u64 = 1_000;

impl AnswerOptions {
    /// Parses the query of `req`; `service_time` is the default.
    pub(super) fn of<B>(req: &Request<B>, service_time: Duration) -> AnswerOptions {
        let default_ms = service_time.as_millis() as u64;
        AnswerOptions {
            service_time: Duration::from_millis(query_number(req, "ms", default_ms)),
            size: query_number(req, "size", 0).min(MAX_SIZE) as usize,
            chunks: query_number(req, "chunks", 1).clamp(1, MAX_CHUNKS) as usize,
            gap: Duration::from_millis(query_number(req, "gap_ms", 0)),
        }
    }

    /// Multiplies the service time by `slowdown` thousandths.
    pub(super) fn slow_down(&mut self, slowdown: u32) {
        self.service_time = self.service_time * slowdown / 1000;
    }
}

/// Sets the protocol headers that every answer of a backend server has.
pub(super) fn set_protocol_headers(
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

/// A fault that the switches inject into one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerFault {
    None,
    Truncated,
    Doubled,
    WrongId,
    Reordered,
}

impl Shared {
    /// Returns the answer to `request`, with a fault if a switch asks for one.
    pub(super) fn build_response(
        &self,
        request: String,
        complete_answer: Bytes,
        options: AnswerOptions,
        repeat: &RepeatSwitch,
    ) -> Response<Body> {
        let previous_answer =
            lock(&self.previous_answer).replace((request.clone(), complete_answer.clone()));
        let fault = self.next_answer_fault(previous_answer.is_some());
        let (id, body) = match (fault, previous_answer) {
            (AnswerFault::Reordered, Some(other)) => other,
            (AnswerFault::WrongId, _) => (other_id(&request), complete_answer),
            _ => (request, complete_answer),
        };
        if fault == AnswerFault::Doubled {
            repeat.arm();
        }
        let mut response = if fault == AnswerFault::Truncated {
            truncated_response(body)
        } else if options.chunks > 1 {
            streamed_response(body, &options)
        } else {
            answer(StatusCode::OK, "text/plain", body)
        };
        set_protocol_headers(
            &mut response,
            &id,
            "answered",
            &self.slots,
            self.switches.with(|it| it.leaving),
        );
        response
    }

    fn next_answer_fault(&self, has_previous: bool) -> AnswerFault {
        self.switches.with(|faults| {
            if count_down(&mut faults.truncate) {
                AnswerFault::Truncated
            } else if count_down(&mut faults.doubled) {
                AnswerFault::Doubled
            } else if count_down(&mut faults.wrong_id) {
                AnswerFault::WrongId
            } else if has_previous && count_down(&mut faults.reorder) {
                AnswerFault::Reordered
            } else {
                AnswerFault::None
            }
        })
    }
}

fn other_id(request: &str) -> String {
    let other = u64::from_str_radix(request, 16).unwrap_or(0) ^ 1;
    format!("{other:016x}")
}

/// Returns a response that announces the length of the whole body, sends half of it, and then breaks
/// the connection.
fn truncated_response(body: Bytes) -> Response<Body> {
    let length = body.len();
    let half = body.slice(..length / 2);
    let broken: BodyError = Box::new(Abort);
    let frames = stream::iter([Ok(Frame::data(half)), Err(broken)]);
    // The pause lets the first half be sent before the connection breaks.
    let frames = frames.then(|frame| async {
        sleep(Duration::from_millis(1)).await;
        frame
    });
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    response.headers_mut().insert(header::CONTENT_LENGTH, length.into());
    response
}

fn streamed_response(body: Bytes, options: &AnswerOptions) -> Response<Body> {
    let chunk_size = body.len().div_ceil(options.chunks).max(1);
    let chunks: Vec<Bytes> = (0..body.len())
        .step_by(chunk_size)
        .map(|at| body.slice(at..(at + chunk_size).min(body.len())))
        .collect();
    let gap = options.gap;
    let frames = stream::iter(chunks).then(move |chunk| async move {
        sleep(gap).await;
        Ok::<_, BodyError>(Frame::data(chunk))
    });
    Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)))
}
