//! Tokens of the language.

use std::ops::Range;

use crate::Comparison;

/// A byte range of the source.
pub type Span = Range<usize>;

/// The kind of a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TokenKind {
    /// A keyword or name, which starts with a letter.
    Word,
    /// A number, which starts with a digit or a minus sign, with or without a unit.
    Number,
    /// A text in single quotes; two quotes inside it mean one.
    Quoted,
    /// A text that lacks its closing quote.
    UnclosedQuote,
    /// `,`
    Comma,
    /// A comparison operator other than `like`.
    Comparison(Comparison),
    /// The end of a statement: `;` or the end of a line.
    StatementEnd,
    /// Any other character.
    Unknown,
}

/// A token, with its span in the source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Token {
    pub(crate) kind: TokenKind,
    pub(crate) span: Span,
}
