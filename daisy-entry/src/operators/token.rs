//! Identifies an operator by the token in a request.

use std::hint::black_box;

use daisy_model::Name;
use daisy_settings::Operator;
use http::{HeaderMap, header::AUTHORIZATION};

/// The operators' tokens.
#[derive(Debug, Clone)]
pub(crate) struct Tokens {
    operators: Vec<Operator>,
}

impl Tokens {
    /// Creates the token list of `operators`.
    pub fn new(operators: Vec<Operator>) -> Tokens {
        Tokens { operators }
    }

    /// Returns the operator whose token the request carries as `authorization: Bearer TOKEN`.
    pub fn try_find(&self, map: &HeaderMap) -> Option<&Name> {
        let presented = map.get(AUTHORIZATION)?.as_bytes().strip_prefix(b"Bearer ")?;
        // All tokens are compared, so that the time does not show which one almost matched.
        let mut found = None;
        for operator in &self.operators {
            if is_same(operator.token.as_bytes(), presented) {
                found = Some(&operator.who);
            }
        }
        found
    }
}

/// Compares without stopping at the first difference.
///
/// Guard: a comparison that stops early answers faster the earlier the difference is, and a token
/// could be guessed byte by byte from the time of the rejections.
fn is_same(token: &[u8], presented: &[u8]) -> bool {
    let mut difference = token.len() ^ presented.len();
    for (at, byte) in token.iter().enumerate() {
        let other = presented.get(at).copied().unwrap_or(0);
        difference |= black_box(usize::from(byte ^ other));
    }
    difference == 0
}
