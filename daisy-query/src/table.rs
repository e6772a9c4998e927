//! The table that answers a statement.

use std::fmt;

/// Rows under named columns.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    /// The columns' names.
    pub columns: Vec<&'static str>,
    /// The rows, each with one cell per column; `-` means that a value is unknown or does not
    /// apply.
    pub rows: Vec<Vec<String>>,
}

/// The text of a cell whose value is unknown or does not apply.
pub(crate) const NONE: &str = "-";

impl Table {
    /// Creates a table without rows.
    pub(crate) fn new(columns: &[&'static str]) -> Table {
        Table { columns: columns.to_vec(), rows: Vec::new() }
    }

    /// Adds a row of two cells.
    pub(crate) fn add_line(&mut self, label: &str, text: impl Into<String>) {
        self.rows.push(vec![label.to_owned(), text.into()]);
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
    /// Formats the columns side by side, each as wide as its widest cell.
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
