//! Reads the tokens of one statement, and collects findings.

use daisy_model::Name;

use crate::{
    Comparison, Finding, Span,
    token::{Token, TokenKind},
};

/// A position in the tokens of one statement.
///
/// Methods that expect a token return `None` if it is not there, after adding a finding.
#[derive(Debug)]
pub(crate) struct Cursor<'s> {
    source: &'s str,
    tokens: &'s [Token],
    at: usize,
    findings: Vec<Finding>,
}

impl<'s> Cursor<'s> {
    /// Creates a cursor at the first of `tokens`, which must not be empty.
    pub(crate) fn new(source: &'s str, tokens: &'s [Token]) -> Cursor<'s> {
        Cursor { source, tokens, at: 0, findings: Vec::new() }
    }

    pub(crate) fn into_findings(self) -> Vec<Finding> {
        self.findings
    }

    pub(crate) fn is_at_end(&self) -> bool {
        self.at >= self.tokens.len()
    }

    pub(crate) fn has_findings(&self) -> bool {
        !self.findings.is_empty()
    }

    /// Returns the text of the current token, or an empty text at the end.
    pub(crate) fn text(&self) -> &'s str {
        &self.source[self.span()]
    }

    /// Returns the span of the current token, or an empty span after the last token at the end.
    pub(crate) fn span(&self) -> Span {
        match self.tokens.get(self.at) {
            Some(token) => token.span.clone(),
            None => {
                let end = self.tokens.last().map_or(0, |it| it.span.end);
                end..end
            }
        }
    }

    pub(crate) fn kind(&self) -> Option<TokenKind> {
        self.tokens.get(self.at).map(|it| it.kind)
    }

    pub(crate) fn skip(&mut self) {
        self.at += 1;
    }

    /// Returns whether the current token is the word `word`.
    pub(crate) fn is_word(&self, word: &str) -> bool {
        self.kind() == Some(TokenKind::Word) && self.text() == word
    }

    /// Returns whether the current token is one of `words`.
    pub(crate) fn is_one_of(&self, words: &[&str]) -> bool {
        words.iter().any(|word| self.is_word(word))
    }

    /// Consumes the current token if it is the word `word`; returns whether it was.
    pub(crate) fn accept(&mut self, word: &str) -> bool {
        let found = self.is_word(word);
        if found {
            self.skip();
        }
        found
    }

    /// Consumes the current token if it is a comma; returns whether it was.
    pub(crate) fn accept_comma(&mut self) -> bool {
        let found = self.kind() == Some(TokenKind::Comma);
        if found {
            self.skip();
        }
        found
    }

    /// Adds a finding that `expected` was expected at the current token.
    pub(crate) fn fail<T>(&mut self, expected: impl Into<String>) -> Option<T> {
        let span = self.span();
        self.fail_at(span, expected)
    }

    /// Adds a finding that `expected` was expected at `span`.
    pub(crate) fn fail_at<T>(&mut self, span: Span, expected: impl Into<String>) -> Option<T> {
        self.findings.push(Finding::new(self.source, span, expected.into()));
        None
    }

    /// Consumes the word `word`.
    pub(crate) fn expect(&mut self, word: &str) -> Option<()> {
        if self.accept(word) { Some(()) } else { self.fail(format!("'{word}'")) }
    }

    /// Consumes one of `words`, and returns it.
    pub(crate) fn expect_one_of<'w>(&mut self, words: &[&'w str]) -> Option<&'w str> {
        match words.iter().find(|word| self.is_word(word)) {
            Some(word) => {
                self.skip();
                Some(word)
            }
            None => self.fail(format_alternatives(words)),
        }
    }

    /// Consumes a name; findings call its kind `kind_name`.
    pub(crate) fn name(&mut self, kind_name: &str) -> Option<Name> {
        let text = self.text();
        match Name::new(text) {
            Ok(name) if self.kind() == Some(TokenKind::Word) => {
                self.skip();
                Some(name)
            }
            Err(e) if self.kind() == Some(TokenKind::Word) => {
                self.fail(format!("the name of a {kind_name}; {e}"))
            }
            _ => self.fail(format!("the name of a {kind_name}")),
        }
    }

    /// Consumes a word or number for which `parse` returns a value.
    pub(crate) fn value<T>(
        &mut self,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let is_unquoted = matches!(self.kind(), Some(TokenKind::Word | TokenKind::Number));
        match parse(self.text()) {
            Some(value) if is_unquoted => {
                self.skip();
                Some(value)
            }
            _ => self.fail(expected),
        }
    }

    /// Consumes a comparison operator.
    pub(crate) fn comparison(&mut self) -> Option<Comparison> {
        if self.accept("like") {
            return Some(Comparison::Like);
        }
        match self.kind() {
            Some(TokenKind::Comparison(comparison)) => {
                self.skip();
                Some(comparison)
            }
            _ => self.fail("'=', '!=', '<', '<=', '>', '>=' or 'like'"),
        }
    }

    /// Consumes a word, a number or a quoted text.
    pub(crate) fn literal(&mut self) -> Option<Box<str>> {
        let text = self.text();
        let literal = match self.kind() {
            Some(TokenKind::Word | TokenKind::Number) => text.into(),
            Some(TokenKind::Quoted) => text[1..text.len() - 1].replace("''", "'").into(),
            Some(TokenKind::UnclosedQuote) => return self.fail("a closing quote on the same line"),
            _ => return self.fail("a word, a number or a text in single quotes"),
        };
        self.skip();
        Some(literal)
    }

    /// Skips to the next of `words`, or to the end, so that parsing can continue after a finding.
    pub(crate) fn skip_to(&mut self, words: &[&str]) {
        while !self.is_at_end() && !self.is_one_of(words) {
            self.skip();
        }
    }

    /// Adds a finding if any tokens are left.
    pub(crate) fn finish(&mut self) -> Option<()> {
        if self.is_at_end() { Some(()) } else { self.fail("the end of the statement") }
    }
}

/// Formats a list of alternatives, such as `'a', 'b' or 'c'`.
pub(crate) fn format_alternatives(words: &[&str]) -> String {
    match words {
        [] => "nothing".to_owned(),
        [only] => format!("'{only}'"),
        [first @ .., last] => {
            let first: Vec<String> = first.iter().map(|word| format!("'{word}'")).collect();
            format!("{} or '{last}'", first.join(", "))
        }
    }
}
