//! Tokens of the language.

use std::ops::Range;

use crate::Comparison;

/// A range of bytes of the source.
pub type Span = Range<usize>;

/// What a token is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A keyword or name: starts with a letter.
    Word,
    /// Starts with a digit or a minus sign; may carry a unit.
    Number,
    /// In single quotes; two of them stand for one.
    Quoted,
    /// A quote that is never closed.
    Unclosed,
    /// `,`
    Comma,
    /// A comparison.
    Comparison(Comparison),
    /// `;` or the end of a line.
    End,
    /// Anything else.
    Unknown,
}

/// A piece of the source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Token {
    pub(crate) kind: Kind,
    pub(crate) span: Span,
}
