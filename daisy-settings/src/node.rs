//! A YAML document as a tree of nodes with their positions.
//!
//! Deserializing directly into the settings would stop at the first error. With the tree, all
//! errors are found in one pass.

use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;

/// A position in the text; lines and columns count from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Position {
    pub(crate) line: u64,
    pub(crate) column: u64,
}

impl<T> From<&Spanned<T>> for Position {
    fn from(spanned: &Spanned<T>) -> Position {
        Position { line: spanned.referenced.line(), column: spanned.referenced.column() }
    }
}

/// The content of a node.
#[derive(Debug, Clone)]
pub(crate) enum Node {
    /// No value after the colon.
    Null,
    /// A value that is neither a list nor a mapping, as text.
    Scalar(String),
    /// A list.
    List(Vec<Spanned<Node>>),
    /// A mapping, in the order of the text.
    Mapping(Vec<(Spanned<String>, Spanned<Node>)>),
}

impl Node {
    /// Returns the kind of the node, for messages.
    pub(crate) fn kind_text(&self) -> &'static str {
        match self {
            Node::Null => "nothing",
            Node::Scalar(_) => "a value",
            Node::List(_) => "a list",
            Node::Mapping(_) => "a mapping",
        }
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(de: D) -> Result<Node, D::Error> {
        de.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value, a list or a mapping")
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(Node::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(Node::Mapping(entries))
    }
}
