//! Walks over the tokens of one statement and collects findings.

use daisy_model::Name;

use crate::{
    Comparison, Finding, Span,
    token::{Kind, Token},
};

/// A place among the tokens of one statement.
///
/// Methods that expect something give `None` after they have noted a finding.
#[derive(Debug)]
pub(crate) struct Cursor<'s> {
    source: &'s str,
    tokens: &'s [Token],
    at: usize,
    findings: Vec<Finding>,
}

impl<'s> Cursor<'s> {
    /// A cursor at the first of `tokens`, of which there is at least one.
    pub(crate) fn new(source: &'s str, tokens: &'s [Token]) -> Cursor<'s> {
        Cursor { source, tokens, at: 0, findings: Vec::new() }
    }

    pub(crate) fn into_findings(self) -> Vec<Finding> {
        self.findings
    }

    pub(crate) fn is_done(&self) -> bool {
        self.at >= self.tokens.len()
    }

    pub(crate) fn has_findings(&self) -> bool {
        !self.findings.is_empty()
    }

    /// The text of the present token, empty at the end.
    pub(crate) fn text(&self) -> &'s str {
        &self.source[self.span()]
    }

    /// The place of the present token; empty, after the last one, at the end.
    pub(crate) fn span(&self) -> Span {
        match self.tokens.get(self.at) {
            Some(token) => token.span.clone(),
            None => {
                let end = self.tokens.last().map_or(0, |it| it.span.end);
                end..end
            }
        }
    }

    pub(crate) fn kind(&self) -> Option<Kind> {
        self.tokens.get(self.at).map(|it| it.kind)
    }

    pub(crate) fn skip(&mut self) {
        self.at += 1;
    }

    /// Whether the present token is the word `word`.
    pub(crate) fn is_word(&self, word: &str) -> bool {
        self.kind() == Some(Kind::Word) && self.text() == word
    }

    /// Whether the present token is one of `words`.
    pub(crate) fn is_any(&self, words: &[&str]) -> bool {
        words.iter().any(|word| self.is_word(word))
    }

    /// Takes the word `word` if it is there.
    pub(crate) fn accept(&mut self, word: &str) -> bool {
        let found = self.is_word(word);
        if found {
            self.skip();
        }
        found
    }

    /// Takes a comma if it is there.
    pub(crate) fn accept_comma(&mut self) -> bool {
        let found = self.kind() == Some(Kind::Comma);
        if found {
            self.skip();
        }
        found
    }

    /// Notes that `expected` should stand at the present token.
    pub(crate) fn fail<T>(&mut self, expected: impl Into<String>) -> Option<T> {
        let span = self.span();
        self.fail_at(span, expected)
    }

    /// Notes that `expected` should stand at `span`.
    pub(crate) fn fail_at<T>(&mut self, span: Span, expected: impl Into<String>) -> Option<T> {
        self.findings.push(Finding::new(self.source, span, expected.into()));
        None
    }

    /// Takes the word `word`.
    pub(crate) fn expect(&mut self, word: &str) -> Option<()> {
        if self.accept(word) { Some(()) } else { self.fail(format!("'{word}'")) }
    }

    /// Takes one of `words`.
    pub(crate) fn one_of<'w>(&mut self, words: &[&'w str]) -> Option<&'w str> {
        match words.iter().find(|word| self.is_word(word)) {
            Some(word) => {
                self.skip();
                Some(word)
            }
            None => self.fail(alternatives(words)),
        }
    }

    /// Takes a name of `what`.
    pub(crate) fn name(&mut self, what: &str) -> Option<Name> {
        let text = self.text();
        match Name::new(text) {
            Ok(name) if self.kind() == Some(Kind::Word) => {
                self.skip();
                Some(name)
            }
            Err(e) if self.kind() == Some(Kind::Word) => {
                self.fail(format!("the name of a {what}; {e}"))
            }
            _ => self.fail(format!("the name of a {what}")),
        }
    }

    /// Takes a word or number that `read` understands.
    pub(crate) fn value<T>(
        &mut self,
        expected: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let plain = matches!(self.kind(), Some(Kind::Word | Kind::Number));
        match read(self.text()) {
            Some(value) if plain => {
                self.skip();
                Some(value)
            }
            _ => self.fail(expected),
        }
    }

    /// Takes a comparison.
    pub(crate) fn comparison(&mut self) -> Option<Comparison> {
        if self.accept("like") {
            return Some(Comparison::Like);
        }
        match self.kind() {
            Some(Kind::Comparison(comparison)) => {
                self.skip();
                Some(comparison)
            }
            _ => self.fail("'=', '!=', '<', '<=', '>', '>=' or 'like'"),
        }
    }

    /// Takes a word, a number or a quoted text.
    pub(crate) fn literal(&mut self) -> Option<Box<str>> {
        let text = self.text();
        let literal = match self.kind() {
            Some(Kind::Word | Kind::Number) => text.into(),
            Some(Kind::Quoted) => text[1..text.len() - 1].replace("''", "'").into(),
            Some(Kind::Unclosed) => return self.fail("a closing quote on the same line"),
            _ => return self.fail("a word, a number or a text in single quotes"),
        };
        self.skip();
        Some(literal)
    }

    /// Goes on to the next of `words`, or to the end.
    pub(crate) fn recover(&mut self, words: &[&str]) {
        while !self.is_done() && !self.is_any(words) {
            self.skip();
        }
    }

    /// Notes a finding if anything is left.
    pub(crate) fn finish(&mut self) -> Option<()> {
        if self.is_done() { Some(()) } else { self.fail("the end of the statement") }
    }
}

/// `'a', 'b' or 'c'`.
pub(crate) fn alternatives(words: &[&str]) -> String {
    match words {
        [] => "nothing".to_owned(),
        [only] => format!("'{only}'"),
        [first @ .., last] => {
            let first: Vec<String> = first.iter().map(|word| format!("'{word}'")).collect();
            format!("{} or '{last}'", first.join(", "))
        }
    }
}
