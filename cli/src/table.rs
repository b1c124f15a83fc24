//! Tables of text.

use std::fmt;

const COLUMN_GAP: &str = "  ";

/// A table with a head and left-aligned columns.
#[derive(Debug)]
pub(crate) struct Table {
    lines: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub(crate) fn new(head: &[&str]) -> Self {
        let head = head.iter().map(ToString::to_string).collect();
        Self { lines: vec![head] }
    }

    /// Appends a row, one cell for each column of the head.
    pub(crate) fn push<const COLUMNS: usize>(&mut self, cells: [String; COLUMNS]) {
        self.lines.push(cells.into());
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.lines.first().map_or(0, Vec::len);
        (0..columns)
            .map(|column| {
                let cells = self.lines.iter().filter_map(|line| line.get(column));
                cells
                    .map(|cell| cell.chars().count())
                    .max()
                    .unwrap_or_default()
            })
            .collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for line in &self.lines {
            let cells: Vec<String> = line
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            writeln!(formatter, "{}", cells.join(COLUMN_GAP).trim_end())?;
        }
        Ok(())
    }
}
