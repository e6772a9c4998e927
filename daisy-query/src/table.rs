//! The answer to a statement.

use std::fmt;

/// Rows under named columns.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    /// The columns' names.
    pub columns: Vec<&'static str>,
    /// One text for each column; `-` stands for what is not known or does not apply.
    pub rows: Vec<Vec<String>>,
}

/// What stands in a cell that is not known or does not apply.
pub(crate) const NONE: &str = "-";

impl Table {
    /// A table without rows.
    pub(crate) fn new(columns: &[&'static str]) -> Table {
        Table { columns: columns.to_vec(), rows: Vec::new() }
    }

    /// Adds a row of two cells.
    pub(crate) fn say(&mut self, what: &str, words: impl Into<String>) {
        self.rows.push(vec![what.to_owned(), words.into()]);
    }

    fn widths(&self) -> Vec<usize> {
        let mut widths: Vec<usize> = self.columns.iter().map(|it| it.len()).collect();
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        widths
    }
}

impl fmt::Display for Table {
    /// Columns side by side, as wide as their widest cell.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        let header: Vec<String> = self.columns.iter().map(|it| (*it).to_owned()).collect();
        write_row(f, &header, &widths)?;
        for row in &self.rows {
            write_row(f, row, &widths)?;
        }
        Ok(())
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, row: &[String], widths: &[usize]) -> fmt::Result {
    let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
    let line = cells.collect::<Vec<String>>().join("  ");
    writeln!(f, "{}", line.trim_end())
}
