//! Answers in the form that a key's home stores.

use bytes::Bytes;
use daisy_routing::StoredAnswer;
use daisy_wire::headers;
use http::{
    HeaderName, HeaderValue, Response, StatusCode,
    header::{CONTENT_LENGTH, DATE},
    response::Parts,
};
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::proxy::{
    answer::{ANSWERED, Failure, RequestOutcome},
    body::{AnswerBody, BodyError},
};

/// The maximum size of a stored body, in bytes.
const MAX_BODY: u64 = 64 << 10;

/// Reads an answer completely if it is short enough to be stored; a longer one is streamed, and
/// only the fact that it was given is stored.
pub(super) async fn store_answer(
    response: Response<AnswerBody>,
) -> Result<(Response<AnswerBody>, StoredAnswer), BodyError> {
    let (parts, body) = response.into_parts();
    let short = body.size_hint().exact().is_some_and(|length| length <= MAX_BODY);
    if !short {
        let stored = to_stored(&parts, None);
        return Ok((Response::from_parts(parts, body), stored));
    }
    let bytes = body.collect().await?.to_bytes();
    let stored = to_stored(&parts, Some(&bytes));
    Ok((Response::from_parts(parts, AnswerBody::fixed(bytes)), stored))
}

/// Returns the answer of an earlier attempt, marked as replayed.
pub(super) fn replay(stored: StoredAnswer) -> Result<Response<AnswerBody>, Failure> {
    let Some(body) = stored.body else {
        return Err(Failure::new(
            StatusCode::CONFLICT,
            RequestOutcome::Answered,
            "answer-not-kept",
        ));
    };
    let mut response = Response::new(AnswerBody::fixed(Bytes::from(body)));
    if let Ok(status) = StatusCode::from_u16(stored.status) {
        *response.status_mut() = status;
    }
    let map = response.headers_mut();
    for (name, value) in stored.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
            map.append(name, value);
        }
    }
    map.insert(headers::OUTCOME, HeaderValue::from_static(ANSWERED));
    map.insert(headers::REPLAYED, HeaderValue::from_static("1"));
    Ok(response)
}

/// Returns the answer to store, without the headers of the first attempt's own exchange.
fn to_stored(parts: &Parts, body: Option<&[u8]>) -> StoredAnswer {
    let belongs_to_exchange = |name: &HeaderName| {
        *name == CONTENT_LENGTH || *name == DATE || name.as_str() == headers::REQUEST_ID
    };
    let stored_headers = parts.headers.iter().filter(|(name, _)| !belongs_to_exchange(name));
    StoredAnswer {
        status: parts.status.as_u16(),
        headers: stored_headers
            .map(|(name, value)| (name.as_str().into(), value.as_bytes().into()))
            .collect(),
        body: body.map(Into::into),
    }
}
