//! Errors in a source, with their positions.

use std::fmt;

use crate::Span;

/// An error in a source, with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The line, from 1.
    pub line: u32,
    /// The column in characters, from 1.
    pub column: u32,
    /// The byte range of the error in the source; empty if it is at the end of a statement.
    pub span: Span,
    /// What was found there.
    pub found: Box<str>,
    /// What was expected there.
    pub expected: Box<str>,
}

impl Finding {
    /// Creates a finding at `span` of `source`.
    pub(crate) fn new(source: &str, span: Span, expected: String) -> Finding {
        let before = &source[..span.start];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        let found = match source[span.clone()].trim() {
            "" => "the end of the statement".into(),
            text => format!("'{text}'").into(),
        };
        Finding {
            line: 1 + before.matches('\n').count() as u32,
            column: 1 + source[line_start..span.start].chars().count() as u32,
            span,
            found,
            expected: expected.into(),
        }
    }

    /// Formats the finding with the line of `source` that has the error, and carets below the
    /// error.
    ///
    /// `source` must be the text that was parsed.
    pub fn render(&self, source: &str) -> String {
        let line = source.lines().nth(self.line as usize - 1).unwrap_or_default();
        let number = self.line.to_string();
        let margin = " ".repeat(number.len());
        let indent: String = line
            .chars()
            .take(self.column as usize - 1)
            .map(|c| if c == '\t' { '\t' } else { ' ' })
            .collect();
        let marked = source.get(self.span.clone()).unwrap_or_default();
        let width = marked.lines().next().unwrap_or_default().chars().count().max(1);
        let carets = "^".repeat(width);
        format!("{self}\n{margin} |\n{number} | {line}\n{margin} | {indent}{carets}\n")
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Finding { line, column, found, expected, .. } = self;
        write!(f, "line {line}, column {column}: found {found}, expected {expected}")
    }
}

/// All findings of a source, combined into one error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Formats all findings as [`Finding::render`] does, separated by empty lines.
    pub fn render(&self, source: &str) -> String {
        let rendered: Vec<String> = self.0.iter().map(|it| it.render(source)).collect();
        rendered.join("\n")
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            finding.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
