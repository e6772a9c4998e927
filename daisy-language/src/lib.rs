//! The operators' language of daisyshift: lexer, parser, typed statements, and findings.
//!
//! [`parse`] returns either all statements of a source, or all errors in it. The `Display` text of
//! a [`Statement`] parses back to the same statement.

#![deny(missing_docs, unsafe_code)]

mod column;
mod cursor;
mod display;
mod finding;
mod lex;
mod parse;
mod statement;
mod token;
mod value;

pub use crate::{
    column::TableKind,
    finding::{Finding, Findings},
    parse::{MAX_LEN, parse, parse_located},
    statement::{
        Comparison, Count, Filter, LocatedStatement, OrderBy, Show, Statement, TaskRef, Why,
    },
    token::Span,
    value::{Amount, parse_amount},
};
