//! Request and answer bodies with which a caller can verify that an answer is complete and its own.
//!
//! A caller writes the number of its call into the first 16 bytes of the request body. The answer
//! is generated from a digest of this body, so different calls have different answers.

use std::hash::{DefaultHasher, Hasher};

use bytes::Bytes;

/// Number of hexadecimal digits of the call's number at the start of a request body.
pub(crate) const CALL_DIGITS: usize = 16;

/// Returns the request body of the call with the number `call`: `size` bytes, but at least the digits
/// of the number.
pub(crate) fn request_body(call: u64, size: usize) -> Bytes {
    let mut body = format!("{call:016x}").into_bytes();
    body.resize(size.max(CALL_DIGITS), b'.');
    body.into()
}

/// Parses the number of the call from a request body.
pub(crate) fn call_number(body: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(body.get(..CALL_DIGITS)?).ok()?;
    u64::from_str_radix(digits, 16).ok()
}

/// Returns the complete answer to a request with this body: a line with the body's digest and `size`,
/// then `size` bytes.
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
