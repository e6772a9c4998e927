//! Answers that a caller can check for being whole and its own.
//!
//! A caller writes the number of its call into the first 16 bytes of the body. The answer
//! is drawn from a digest of the body, so no two calls have the same answer.

use std::hash::{DefaultHasher, Hasher};

use bytes::Bytes;

/// Digits of a call's number at the start of a body.
pub(crate) const CALL_DIGITS: usize = 16;

/// The body of a request of the call `call`, `size` bytes or as many as the number takes.
pub(crate) fn request_body(call: u64, size: usize) -> Bytes {
    let mut body = format!("{call:016x}").into_bytes();
    body.resize(size.max(CALL_DIGITS), b'.');
    body.into()
}

/// The number of the call that a body belongs to.
pub(crate) fn call_number(body: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(body.get(..CALL_DIGITS)?).ok()?;
    u64::from_str_radix(digits, 16).ok()
}

/// The whole answer to a request with this body: a line that names both, then `size` bytes.
pub(crate) fn expected_answer(body: &[u8], size: usize) -> Bytes {
    let digest = digest(body);
    let mut answer = format!("{digest:016x} {size}\n").into_bytes();
    let mut rng = fastrand::Rng::with_seed(digest);
    answer.extend(std::iter::repeat_with(|| rng.alphanumeric() as u8).take(size));
    answer.into()
}

fn digest(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(body);
    hasher.finish()
}
