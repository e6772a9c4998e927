//! Takes the fields of a mapping one by one and collects what is wrong with them.

use std::{fmt::Display, str::FromStr, time::Duration};

use serde_saphyr::Spanned;

use crate::{
    finding::Finding,
    node::{Node, Place},
};

/// Everything found so far.
#[derive(Debug, Default)]
pub(crate) struct Findings(pub(crate) Vec<Finding>);

impl Findings {
    /// Adds a finding at `place`.
    pub(crate) fn add(&mut self, place: Place, message: String) {
        self.0.push(Finding { line: place.line, column: place.column, message });
    }
}

/// A value and where it stood.
#[derive(Debug, Clone, Copy)]
pub(crate) struct At<T> {
    pub(crate) place: Place,
    pub(crate) value: T,
}

/// The fields of one mapping that are not taken yet.
#[derive(Debug)]
pub(crate) struct Fields {
    place: Place,
    rest: Vec<(Spanned<String>, Spanned<Node>)>,
}

impl Fields {
    /// The fields of `node`; a finding if it is no mapping.
    pub(crate) fn new(node: Spanned<Node>, what: &str, findings: &mut Findings) -> Fields {
        let place = Place::from(&node);
        let rest = match node.value {
            Node::Mapping(entries) => entries,
            other => {
                let found = other.kind();
                findings.add(place, format!("{what}: found {found}, expected a mapping"));
                Vec::new()
            }
        };
        Fields { place, rest }
    }

    /// Where the mapping starts.
    pub(crate) fn place(&self) -> Place {
        self.place
    }

    /// The node of an optional field; a finding if the field is given twice.
    pub(crate) fn try_node(
        &mut self,
        name: &str,
        findings: &mut Findings,
    ) -> Option<Spanned<Node>> {
        let at = self.rest.iter().position(|(key, _)| key.value == name)?;
        let (_, node) = self.rest.remove(at);
        while let Some(again) = self.rest.iter().position(|(key, _)| key.value == name) {
            let (key, _) = self.rest.remove(again);
            findings.add(Place::from(&key), format!("{name}: given twice"));
        }
        Some(node)
    }

    /// The node of a required field.
    pub(crate) fn node(&mut self, name: &str, findings: &mut Findings) -> Option<Spanned<Node>> {
        let node = self.try_node(name, findings);
        if node.is_none() {
            findings.add(self.place, format!("{name}: missing"));
        }
        node
    }

    /// The parsed value of an optional field.
    pub(crate) fn try_value<T: FromStr<Err: Display>>(
        &mut self,
        name: &str,
        expected: &str,
        findings: &mut Findings,
    ) -> Option<At<T>> {
        let node = self.try_node(name, findings)?;
        parse(node, name, expected, findings)
    }

    /// The parsed value of a required field.
    pub(crate) fn value<T: FromStr<Err: Display>>(
        &mut self,
        name: &str,
        expected: &str,
        findings: &mut Findings,
    ) -> Option<At<T>> {
        let node = self.node(name, findings)?;
        parse(node, name, expected, findings)
    }

    /// The items of an optional list.
    pub(crate) fn list(&mut self, name: &str, findings: &mut Findings) -> Vec<Spanned<Node>> {
        let Some(node) = self.try_node(name, findings) else { return Vec::new() };
        let place = Place::from(&node);
        match node.value {
            Node::List(items) => items,
            Node::Null => Vec::new(),
            other => {
                findings.add(place, format!("{name}: found {}, expected a list", other.kind()));
                Vec::new()
            }
        }
    }

    /// Overwrites `into` with a number that must be at least `min`.
    pub(crate) fn number<T>(&mut self, name: &str, min: T, into: &mut T, findings: &mut Findings)
    where
        T: FromStr<Err: Display> + PartialOrd + Display + Copy,
    {
        let Some(At { place, value }) = self.try_value(name, "a whole number", findings) else {
            return;
        };
        if value < min {
            findings.add(place, format!("{name}: {value} is below the least, {min}"));
            return;
        }
        *into = value;
    }

    /// Overwrites `into` with a number of milliseconds, at least 1.
    pub(crate) fn millis(&mut self, name: &str, into: &mut Duration, findings: &mut Findings) {
        let mut millis = u64::try_from(into.as_millis()).unwrap_or(u64::MAX);
        self.number(name, 1, &mut millis, findings);
        *into = Duration::from_millis(millis);
    }

    /// A finding for each field that nobody took.
    pub(crate) fn finish(self, known: &[&str], findings: &mut Findings) {
        for (key, _) in self.rest {
            let name = &key.value;
            let known = known.join(", ");
            findings.add(Place::from(&key), format!("{name}: unknown; known here: {known}"));
        }
    }
}

/// The value of a scalar node, or a finding.
pub(crate) fn parse<T: FromStr<Err: Display>>(
    node: Spanned<Node>,
    name: &str,
    expected: &str,
    findings: &mut Findings,
) -> Option<At<T>> {
    let place = Place::from(&node);
    let Node::Scalar(text) = node.value else {
        findings.add(place, format!("{name}: found {}, expected {expected}", node.value.kind()));
        return None;
    };
    match text.parse() {
        Ok(value) => Some(At { place, value }),
        Err(e) => {
            findings.add(place, format!("{name}: found \"{text}\", expected {expected} ({e})"));
            None
        }
    }
}
