//! The operators' language of daisyshift: lexer, parser, typed statements, findings.

#![deny(missing_docs, unsafe_code)]
