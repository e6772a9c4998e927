//! Reads the fields of a mapping one by one, and collects the errors in them.

use std::{fmt::Display, str::FromStr, time::Duration};

use serde_saphyr::Spanned;

use crate::{
    finding::Finding,
    node::{Node, Position},
};

/// The errors found so far.
#[derive(Debug, Default)]
pub(crate) struct Findings(pub(crate) Vec<Finding>);

impl Findings {
    /// Adds a finding at `position`.
    pub(crate) fn add(&mut self, position: Position, message: String) {
        self.0.push(Finding { line: position.line, column: position.column, message });
    }
}

/// A value with its position.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Located<T> {
    pub(crate) position: Position,
    pub(crate) value: T,
}

/// The fields of one mapping that have not been read yet.
#[derive(Debug)]
pub(crate) struct Fields {
    position: Position,
    rest: Vec<(Spanned<String>, Spanned<Node>)>,
}

impl Fields {
    /// Creates the fields of `node`, and adds a finding if it is not a mapping. Findings call the
    /// mapping `name`.
    pub(crate) fn new(node: Spanned<Node>, name: &str, findings: &mut Findings) -> Fields {
        let position = Position::from(&node);
        let rest = match node.value {
            Node::Mapping(entries) => entries,
            other => {
                let found = other.kind_text();
                findings.add(position, format!("{name}: found {found}, expected a mapping"));
                Vec::new()
            }
        };
        Fields { position, rest }
    }

    /// Returns the position at which the mapping starts.
    pub(crate) fn position(&self) -> Position {
        self.position
    }

    /// Removes and returns the node of an optional field; adds a finding if the field is given
    /// more than once.
    pub(crate) fn try_node(
        &mut self,
        name: &str,
        findings: &mut Findings,
    ) -> Option<Spanned<Node>> {
        let index = self.rest.iter().position(|(key, _)| key.value == name)?;
        let (_, node) = self.rest.remove(index);
        while let Some(duplicate) = self.rest.iter().position(|(key, _)| key.value == name) {
            let (key, _) = self.rest.remove(duplicate);
            findings.add(Position::from(&key), format!("{name}: given twice"));
        }
        Some(node)
    }

    /// Removes and returns the node of a required field; adds a finding if it is missing.
    pub(crate) fn node(&mut self, name: &str, findings: &mut Findings) -> Option<Spanned<Node>> {
        let node = self.try_node(name, findings);
        if node.is_none() {
            findings.add(self.position, format!("{name}: missing"));
        }
        node
    }

    /// Parses the value of an optional field.
    pub(crate) fn try_value<T: FromStr<Err: Display>>(
        &mut self,
        name: &str,
        expected: &str,
        findings: &mut Findings,
    ) -> Option<Located<T>> {
        let node = self.try_node(name, findings)?;
        parse(node, name, expected, findings)
    }

    /// Parses the value of a required field.
    pub(crate) fn value<T: FromStr<Err: Display>>(
        &mut self,
        name: &str,
        expected: &str,
        findings: &mut Findings,
    ) -> Option<Located<T>> {
        let node = self.node(name, findings)?;
        parse(node, name, expected, findings)
    }

    /// Returns the items of an optional list.
    pub(crate) fn list(&mut self, name: &str, findings: &mut Findings) -> Vec<Spanned<Node>> {
        let Some(node) = self.try_node(name, findings) else { return Vec::new() };
        let position = Position::from(&node);
        match node.value {
            Node::List(items) => items,
            Node::Null => Vec::new(),
            other => {
                findings
                    .add(position, format!("{name}: found {}, expected a list", other.kind_text()));
                Vec::new()
            }
        }
    }

    /// Reads an optional number into `target`; adds a finding if it is less than `min`.
    pub(crate) fn number<T>(&mut self, name: &str, min: T, target: &mut T, findings: &mut Findings)
    where
        T: FromStr<Err: Display> + PartialOrd + Display + Copy,
    {
        let Some(Located { position, value }) = self.try_value(name, "a whole number", findings)
        else {
            return;
        };
        if value < min {
            findings.add(position, format!("{name}: {value} is less than the minimum, {min}"));
            return;
        }
        *target = value;
    }

    /// Reads an optional number of milliseconds, at least 1, into `target`.
    pub(crate) fn millis(&mut self, name: &str, target: &mut Duration, findings: &mut Findings) {
        let mut millis = u64::try_from(target.as_millis()).unwrap_or(u64::MAX);
        self.number(name, 1, &mut millis, findings);
        *target = Duration::from_millis(millis);
    }

    /// Adds a finding for each field that has not been read; these are unknown.
    pub(crate) fn finish(self, known: &[&str], findings: &mut Findings) {
        for (key, _) in self.rest {
            let name = &key.value;
            let known = known.join(", ");
            findings.add(Position::from(&key), format!("{name}: unknown; known here: {known}"));
        }
    }
}

/// Parses the value of a scalar node, or adds a finding.
pub(crate) fn parse<T: FromStr<Err: Display>>(
    node: Spanned<Node>,
    name: &str,
    expected: &str,
    findings: &mut Findings,
) -> Option<Located<T>> {
    let position = Position::from(&node);
    let Node::Scalar(text) = node.value else {
        findings.add(
            position,
            format!("{name}: found {}, expected {expected}", node.value.kind_text()),
        );
        return None;
    };
    match text.parse() {
        Ok(value) => Some(Located { position, value }),
        Err(e) => {
            findings.add(position, format!("{name}: found \"{text}\", expected {expected} ({e})"));
            None
        }
    }
}
