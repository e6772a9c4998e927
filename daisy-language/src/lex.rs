//! Splits a source into tokens.

use winnow::{
    LocatingSlice, Parser, Result,
    ascii::till_line_ending,
    combinator::{alt, delimited, opt, preceded, repeat},
    token::{any, one_of, take_while},
};

use crate::{
    Comparison,
    token::{Token, TokenKind},
};

type Input<'s> = LocatingSlice<&'s str>;

/// Returns the tokens of `source`, without blanks, comments and escaped line ends.
///
/// Never fails: any other character becomes a [`TokenKind::Unknown`], which the parser reports.
pub(crate) fn lex(source: &str) -> Vec<Token> {
    let mut input = LocatingSlice::new(source);
    let mut tokens = Vec::new();
    loop {
        let blanks: Result<()> = repeat(0.., blank).parse_next(&mut input);
        if blanks.is_err() || input.is_empty() {
            return tokens;
        }
        let token: Result<_> = token.with_span().parse_next(&mut input);
        let Ok((kind, span)) = token else { return tokens };
        tokens.push(Token { kind, span });
    }
}

fn blank(input: &mut Input<'_>) -> Result<()> {
    alt((
        take_while(1.., [' ', '\t', '\r']).void(),
        ("\\", opt('\r'), '\n').void(),
        ('#', till_line_ending).void(),
    ))
    .parse_next(input)
}

fn token(input: &mut Input<'_>) -> Result<TokenKind> {
    alt((
        word.value(TokenKind::Word),
        number.value(TokenKind::Number),
        quoted.value(TokenKind::Quoted),
        unclosed_quote.value(TokenKind::UnclosedQuote),
        comparison.map(TokenKind::Comparison),
        ','.value(TokenKind::Comma),
        one_of([';', '\n']).value(TokenKind::StatementEnd),
        any.value(TokenKind::Unknown),
    ))
    .parse_next(input)
}

fn word(input: &mut Input<'_>) -> Result<()> {
    (one_of(|c: char| c.is_ascii_alphabetic()), take_while(0.., is_word_part))
        .void()
        .parse_next(input)
}

fn is_word_part(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/')
}

fn number(input: &mut Input<'_>) -> Result<()> {
    (opt('-'), one_of(|c: char| c.is_ascii_digit()), take_while(0.., is_word_part))
        .void()
        .parse_next(input)
}

fn quoted(input: &mut Input<'_>) -> Result<()> {
    let part = alt((take_while(1.., |c| c != '\'' && c != '\n').void(), "''".void()));
    let parts = repeat::<_, _, (), _, _>(0.., part);
    delimited('\'', parts, '\'').parse_next(input)
}

fn unclosed_quote(input: &mut Input<'_>) -> Result<()> {
    preceded('\'', till_line_ending).void().parse_next(input)
}

fn comparison(input: &mut Input<'_>) -> Result<Comparison> {
    alt((
        "!=".value(Comparison::NotEqual),
        "<=".value(Comparison::AtMost),
        ">=".value(Comparison::AtLeast),
        "=".value(Comparison::Equal),
        "<".value(Comparison::Below),
        ">".value(Comparison::Above),
    ))
    .parse_next(input)
}
