//! Text tables for terminals.

use std::fmt;

/// Number of spaces between two columns.
const COLUMN_GAP: usize = 2;

/// Rows of text, aligned by column.
#[derive(Debug)]
pub(crate) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with a header row.
    pub(crate) fn new(titles: &[&str]) -> Self {
        Self { rows: vec![titles.iter().map(|title| (*title).to_owned()).collect()] }
    }

    /// Creates a table of names and values, without a header row.
    pub(crate) fn from_pairs(pairs: &[(&str, String)]) -> Self {
        let rows = pairs.iter().map(|(name, value)| vec![(*name).to_owned(), value.clone()]);
        Self { rows: rows.collect() }
    }

    pub(crate) fn push_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn column_widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        (0..columns)
            .map(|column| {
                let cells = self.rows.iter().filter_map(|row| row.get(column));
                cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
            })
            .collect()
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.column_widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}{:COLUMN_GAP$}", ""));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
