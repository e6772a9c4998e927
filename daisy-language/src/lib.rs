//! The operators' language of daisyshift: lexer, parser, typed statements, findings.
//!
//! [`parse`] reads statements and gives either all of them or all that is wrong with them.
//! The `Display` of a [`Statement`] parses back to the same statement.

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
    value::{Amount, amount},
};
